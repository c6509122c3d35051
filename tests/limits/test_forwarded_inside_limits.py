"""A single request inside the limits is served if its upstream is on another VM."""

from __future__ import annotations

import tempfile
import unittest
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter_testing.abusive_clients import encode_chunks, encode_head, send_request
from fulmarstile_adapter_testing.guarded_daemon import LowLimits, open_forwarding_daemons

if TYPE_CHECKING:
    from fulmarstile_adapter_testing.guarded_daemon import Outcome

HANG_S = 110.0
"""Time after which a daemon that doesn't answer is taken to hang, in seconds."""
CHUNKED = encode_head("/photo/1", "transfer-encoding: chunked")
LARGE_CHUNK_BYTES = 32 * 1024
SITE_128_MB = LowLimits(memory_mb=128, max_body_bytes=16 << 20)
SITE_150_MB = LowLimits(memory_mb=150, max_body_bytes=16 << 20)


class ForwardedInsideLimitsTest(unittest.TestCase):
    def check(self, request: bytes, limits: LowLimits) -> None:
        async def run(folder: Path) -> tuple[bytes, list[int]]:
            with trio.fail_after(HANG_S):
                async with open_forwarding_daemons(limits, folder) as daemons:
                    answer = await send_request(daemons.entry.vm.outbound, request)
                    both = (daemons.entry, daemons.other)
                    return answer, [each.process.peak_bytes for each in both]

        with tempfile.TemporaryDirectory() as folder:
            answer, peaks = trio.run(run, Path(folder))
        print(f"{self.id()}: {answer[:24]!r}, peaks {[peak // 1_000_000 for peak in peaks]} MB")
        self.assertEqual(answer.split(b" ")[1], b"200", answer)
        for peak_bytes in peaks:
            self.assertGreater(peak_bytes, 0)
            self.assertLessEqual(peak_bytes, limits.memory_bytes)

    def check_length(self, limits: LowLimits) -> None:
        size = limits.max_body_bytes
        self.check(encode_head("/photo/1", f"content-length: {size}") + b"x" * size, limits)

    def check_chunks(self, chunk_bytes: int, limits: LowLimits) -> None:
        chunks = encode_chunks(limits.max_body_bytes, chunk_bytes)
        self.check(CHUNKED + chunks + b"0\r\n\r\n", limits)

    def test_a_body_of_256_kib_is_served_by_another_vm(self) -> None:
        self.check_length(LowLimits())

    def test_a_body_of_16_mib_is_served_by_another_vm_of_128_mb(self) -> None:
        self.check_length(SITE_128_MB)

    def test_a_body_of_16_mib_in_large_chunks_is_served_by_another_vm_of_128_mb(self) -> None:
        self.check_chunks(LARGE_CHUNK_BYTES, SITE_128_MB)

    def test_a_body_of_16_mib_is_served_by_another_vm_of_150_mb(self) -> None:
        self.check_length(SITE_150_MB)

    def test_a_body_of_16_mib_in_large_chunks_is_served_by_another_vm_of_150_mb(self) -> None:
        self.check_chunks(LARGE_CHUNK_BYTES, SITE_150_MB)

    def test_bodies_of_16_mib_whose_callers_leave_stay_within_a_memory_of_128_mb(self) -> None:
        # Each one stayed in memory until the next collection of garbage.
        size = SITE_128_MB.max_body_bytes
        request = encode_head("/photo/1", f"content-length: {size}") + b"x" * size

        async def run(folder: Path) -> tuple[Outcome, int]:
            with trio.fail_after(HANG_S):
                async with open_forwarding_daemons(SITE_128_MB, folder) as daemons:
                    for _ in range(12):
                        await send_and_leave(daemons.entry.vm.outbound, request)
                    await daemons.entry.process.settle()
                    outcome = await daemons.entry.process.judge()
                    return outcome, daemons.other.process.peak_bytes

        with tempfile.TemporaryDirectory() as folder:
            outcome, other_peak_bytes = trio.run(run, Path(folder))
        print(f"{self.id()}: {outcome}, {other_peak_bytes // 1_000_000} MB")
        self.assertTrue(outcome.is_running, outcome)
        self.assertEqual(outcome.status, 200, outcome)
        self.assertGreater(other_peak_bytes, 0)
        for peak_bytes in (outcome.peak_bytes, other_peak_bytes):
            self.assertLessEqual(peak_bytes, SITE_128_MB.memory_bytes)


async def send_and_leave(address: tuple[str, int], request: bytes) -> None:
    """Sends a request, and closes the connection when it is sent or refused."""
    async with await trio.open_tcp_stream(*address) as stream:
        with suppress(trio.BrokenResourceError):
            await stream.send_all(request)


if __name__ == "__main__":
    unittest.main()
