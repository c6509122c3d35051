"""Clients that don't stay inside the limits neither end the daemon nor fill its machine."""

from __future__ import annotations

import tempfile
import unittest
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter.names import HEARTBEAT_PATH
from fulmarstile_adapter_testing.abusive_clients import (
    Abuse,
    encode_chunks,
    encode_head,
    fill_head,
)
from fulmarstile_adapter_testing.guarded_daemon import LowLimits, open_guarded_daemon

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from fulmarstile_adapter_testing.guarded_daemon import Outcome
    from fulmarstile_adapter_testing.vm import PlatformVm

CROWD = 32
LARGE_CROWD = 64
HANG_S = 110.0
"""Time after which a daemon that doesn't answer is taken to hang, in seconds."""
PIECE = 64 * 1024
ENDLESS_REPEATS = 64
"""Pieces of 64 KiB that one client sends of what has no end: 4 MiB."""
CHUNKED = encode_head("/photo/1", "transfer-encoding: chunked")
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
LIMITS = LowLimits()
SHORT_BODY_BYTES = LIMITS.max_body_bytes - 2
LARGE_CHUNK_BYTES = 32 * 1024

TRAILER_LINE = Abuse(CHUNKED + LAST_CHUNK + b"x-more: ", b"a" * PIECE, ENDLESS_REPEATS)
TRAILER_LINES = Abuse(
    CHUNKED + LAST_CHUNK, (b"x-more: " + b"a" * 1_000 + b"\r\n") * 64, ENDLESS_REPEATS
)
CHUNK_EXTENSION = Abuse(CHUNKED + b"5;", b"a" * PIECE, ENDLESS_REPEATS)
SMALL_CHUNKS = Abuse(CHUNKED + encode_chunks(SHORT_BODY_BYTES, 2))
LARGE_CHUNKS = Abuse(CHUNKED + encode_chunks(SHORT_BODY_BYTES, LARGE_CHUNK_BYTES))
SHORT_LENGTH = Abuse(
    encode_head("/photo/1", f"content-length: {LIMITS.max_body_bytes}") + b"x" * SHORT_BODY_BYTES
)
LONG_ANSWER = encode_head("/read/1?size=2000000", method="GET")
UNREAD_ANSWERS = Abuse(LONG_ANSWER, LONG_ANSWER, 20, is_reading=False)
SLOWLY_READ_ANSWERS = Abuse(LONG_ANSWER, LONG_ANSWER, 40, is_reading=False, slow_reads=250)
PIPELINED_ANSWER = encode_head("/read/1?size=400000", method="GET")
UNREAD_PIPELINED_ANSWERS = Abuse(PIPELINED_ANSWER * 8, PIPELINED_ANSWER, 40, is_reading=False)

FORWARDED_REQUEST = b"\x96\x01"
"""First bytes of a request that another daemon forwards, behind its length."""


class OutsideLimitsTestCase(unittest.TestCase):
    """Sends what a crowd sends, and checks what must hold on a machine of any speed."""

    def check(
        self,
        place: Callable[[PlatformVm], Mapping[tuple[str, int], Sequence[Abuse]]],
        limits: LowLimits = LIMITS,
    ) -> None:
        async def run(folder: Path) -> Outcome:
            with trio.fail_after(HANG_S):
                async with open_guarded_daemon(limits, folder) as daemon:
                    for address, abuses in place(daemon.vm).items():
                        await daemon.process.crowd.open(address, abuses)
                    await daemon.process.settle()
                    return await daemon.process.judge()

        with tempfile.TemporaryDirectory() as folder:
            outcome = trio.run(run, Path(folder))
        print(f"{self.id()}: {outcome}")
        self.assertTrue(outcome.is_running, outcome)
        self.assertEqual(outcome.status, HTTPStatus.OK, outcome)
        self.assertLessEqual(outcome.descriptors, limits.max_fds, outcome)
        self.assertLessEqual(outcome.peak_bytes, limits.memory_bytes, outcome)

    def check_outbound(self, *abuses: Abuse, limits: LowLimits = LIMITS) -> None:
        self.check(lambda vm: {vm.outbound: abuses}, limits)


class EndlessTrailerLineTest(OutsideLimitsTestCase):
    def test_one_trailer_line_without_end_stays_within_the_memory(self) -> None:
        self.check_outbound(*[TRAILER_LINE] * CROWD)


class EndlessTrailerLinesTest(OutsideLimitsTestCase):
    def test_trailer_lines_without_end_stay_within_the_memory(self) -> None:
        self.check_outbound(*[TRAILER_LINES] * CROWD)


class EndlessChunkExtensionTest(OutsideLimitsTestCase):
    def test_a_chunk_extension_without_end_stays_within_the_memory(self) -> None:
        self.check_outbound(*[CHUNK_EXTENSION] * CROWD)


class SmallChunksTest(OutsideLimitsTestCase):
    def test_bodies_in_chunks_of_two_bytes_stay_within_the_memory(self) -> None:
        self.check_outbound(*[SMALL_CHUNKS] * LARGE_CROWD)


class LargeChunksTest(OutsideLimitsTestCase):
    def test_bodies_in_large_chunks_that_stop_short_stay_within_the_memory(self) -> None:
        self.check_outbound(*[LARGE_CHUNKS] * LARGE_CROWD)


class ShortLengthTest(OutsideLimitsTestCase):
    def test_bodies_that_stop_short_of_their_length_stay_within_the_memory(self) -> None:
        self.check_outbound(*[SHORT_LENGTH] * LARGE_CROWD)

    def test_bodies_of_16_mib_that_stop_short_stay_within_a_memory_of_128_mb(self) -> None:
        limits = LowLimits(memory_mb=128, max_body_bytes=16 << 20)
        size = limits.max_body_bytes
        head = encode_head("/photo/1", f"content-length: {size}")
        self.check_outbound(*[Abuse(head + b"x" * (size - 2))] * 8, limits=limits)


class UnreadAnswersTest(OutsideLimitsTestCase):
    def test_long_answers_that_nobody_reads_stay_within_the_memory(self) -> None:
        self.check_outbound(*[UNREAD_ANSWERS] * LARGE_CROWD)

    def test_long_answers_that_are_read_slowly_stay_within_the_memory(self) -> None:
        self.check_outbound(*[SLOWLY_READ_ANSWERS] * LARGE_CROWD)

    def test_unread_answers_to_pipelined_requests_stay_within_the_memory(self) -> None:
        self.check_outbound(*[UNREAD_PIPELINED_ANSWERS] * LARGE_CROWD)


class LargeHeadsTest(OutsideLimitsTestCase):
    def test_unfinished_heads_stay_within_the_memory(self) -> None:
        limits = LowLimits(memory_mb=80, max_header_bytes=1024 * 1024)
        head = fill_head(
            limits.max_header_bytes, b"x-more: " + b"a" * 90 + b"\r\n", is_complete=False
        )
        self.check_outbound(*[Abuse(head)] * LARGE_CROWD, limits=limits)

    def test_large_heads_at_work_at_once_stay_within_the_memory(self) -> None:
        limits = LowLimits(memory_mb=80)
        head = fill_head(limits.max_header_bytes, b"a:b\r\n", is_complete=True)
        self.check_outbound(*[Abuse(head)] * LARGE_CROWD, limits=limits)


class AllTogetherTest(OutsideLimitsTestCase):
    def test_all_forms_together_stay_within_the_memory(self) -> None:
        limits = LowLimits(memory_mb=80)
        line, size = b"a:b\r\n", limits.max_header_bytes
        heads = [Abuse(fill_head(size, line, is_complete=each)) for each in (False, True)]
        forms = (TRAILER_LINE, TRAILER_LINES, CHUNK_EXTENSION, SMALL_CHUNKS, LARGE_CHUNKS)
        forms += (SHORT_LENGTH, UNREAD_ANSWERS, UNREAD_PIPELINED_ANSWERS, *heads)
        self.check_outbound(*forms * 6, limits=limits)


class LocalAddressesTest(OutsideLimitsTestCase):
    def check_local(self, make_abuse: Callable[[bytes], Abuse], crowd: int) -> None:
        announcement = encode_head(f"{HEARTBEAT_PATH}i-1", "transfer-encoding: chunked")
        other = encode_head("/", "transfer-encoding: chunked")
        self.check(
            lambda vm: {
                vm.control: [make_abuse(announcement)] * crowd,
                vm.readiness: [make_abuse(other)] * crowd,
                vm.metrics: [make_abuse(other)] * crowd,
            },
            LowLimits(memory_mb=80),
        )

    def test_bodies_in_chunks_of_two_bytes_stay_within_the_memory(self) -> None:
        chunks = encode_chunks(64 * 1024 - 2, 2)
        self.check_local(lambda head: Abuse(head + chunks), 16)

    def test_endless_trailers_and_extensions_stay_within_the_memory(self) -> None:
        more = TRAILER_LINE.repeated
        self.check_local(lambda head: Abuse(head + LAST_CHUNK + b"x: ", more, 64), 8)
        self.check_local(lambda head: Abuse(head + b"5;", more, 64), 8)


class DaemonsAddressTest(OutsideLimitsTestCase):
    def test_messages_that_stop_short_stay_within_the_memory(self) -> None:
        budget_share = 4_000_000
        partial = Abuse(budget_share.to_bytes(4, "big"), b"x" * (budget_share - 1), 1)
        longest = Abuse((96 * 1024 * 1024 - 1).to_bytes(4, "big"), b"x" * budget_share, 1)
        self.check(lambda vm: {vm.inbound: [partial, longest] * (CROWD // 2)})

    def test_large_requests_that_stop_short_stay_within_a_memory_of_128_mb(self) -> None:
        limits = LowLimits(memory_mb=128, max_body_bytes=16 << 20)
        head = (limits.max_body_bytes + 200).to_bytes(4, "big") + FORWARDED_REQUEST
        partial = Abuse(head, b"x" * limits.max_body_bytes, 1)
        self.check(lambda vm: {vm.inbound: [partial] * 8}, limits)


if __name__ == "__main__":
    unittest.main()
