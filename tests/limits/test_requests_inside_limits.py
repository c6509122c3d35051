"""A single request inside the limits is served at its full size, whatever its form."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter_testing.abusive_clients import (
    encode_chunks,
    encode_head,
    fill_head,
    send_request,
)
from fulmarstile_adapter_testing.guarded_daemon import LowLimits, open_guarded_daemon

HANG_S = 110.0
"""Time after which a daemon that doesn't answer is taken to hang, in seconds."""
CHUNKED = encode_head("/photo/1", "transfer-encoding: chunked")
LARGE_CHUNK_BYTES = 32 * 1024
LIMITS = LowLimits()
SITE_128_MB = LowLimits(memory_mb=128, max_body_bytes=16 << 20)
SITE_150_MB = LowLimits(memory_mb=150, max_body_bytes=16 << 20)


class InsideLimitsTest(unittest.TestCase):
    def check(self, request: bytes, limits: LowLimits) -> None:
        async def run(folder: Path) -> tuple[bytes, int]:
            with trio.fail_after(HANG_S):
                async with open_guarded_daemon(limits, folder) as daemon:
                    return (
                        await send_request(daemon.vm.outbound, request),
                        daemon.process.peak_bytes,
                    )

        with tempfile.TemporaryDirectory() as folder:
            answer, peak_bytes = trio.run(run, Path(folder))
        print(f"{self.id()}: {answer[:24]!r}, peak {peak_bytes / 1e6:.0f} MB, {limits}")
        self.assertEqual(answer.split(b" ")[1], b"200", answer)
        self.assertLessEqual(peak_bytes, limits.memory_bytes)

    def check_length(self, limits: LowLimits) -> None:
        size = limits.max_body_bytes
        self.check(encode_head("/photo/1", f"content-length: {size}") + b"x" * size, limits)

    def check_chunks(self, chunk_bytes: int, limits: LowLimits) -> None:
        chunks = encode_chunks(limits.max_body_bytes, chunk_bytes)
        self.check(CHUNKED + chunks + b"0\r\n\r\n", limits)

    def test_a_body_of_the_largest_size_is_served(self) -> None:
        self.check_length(LIMITS)

    def test_a_body_of_the_largest_size_in_large_chunks_is_served(self) -> None:
        self.check_chunks(LARGE_CHUNK_BYTES, LIMITS)

    def test_a_body_of_the_largest_size_in_chunks_of_two_bytes_is_served(self) -> None:
        self.check_chunks(2, LIMITS)

    def test_a_head_just_under_the_limit_is_served(self) -> None:
        head = fill_head(LIMITS.max_header_bytes, b"x-m: " + b"a" * 90 + b"\r\n", is_complete=True)
        self.check(head.replace(b"delay_ms=8000", b"delay_ms=1"), LIMITS)

    def test_a_body_of_16_mib_is_served_on_a_machine_of_128_mb(self) -> None:
        self.check_length(SITE_128_MB)

    def test_a_body_of_16_mib_in_large_chunks_is_served_on_a_machine_of_128_mb(self) -> None:
        self.check_chunks(LARGE_CHUNK_BYTES, SITE_128_MB)

    def test_a_body_of_16_mib_in_chunks_of_two_bytes_is_served_on_a_machine_of_128_mb(
        self,
    ) -> None:
        self.check_chunks(2, SITE_128_MB)

    def test_a_body_of_16_mib_is_served_on_a_machine_of_150_mb(self) -> None:
        self.check_length(SITE_150_MB)

    def test_a_body_of_16_mib_in_large_chunks_is_served_on_a_machine_of_150_mb(self) -> None:
        self.check_chunks(LARGE_CHUNK_BYTES, SITE_150_MB)

    def test_a_body_of_16_mib_in_chunks_of_two_bytes_is_served_on_a_machine_of_150_mb(
        self,
    ) -> None:
        self.check_chunks(2, SITE_150_MB)


if __name__ == "__main__":
    unittest.main()
