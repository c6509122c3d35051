"""Requests of callers that send more than the limits allow cost bounded memory."""

from __future__ import annotations

import tracemalloc
import unittest
from itertools import repeat
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_reader import RequestReader
from fulmarstile_http.request_checks import MalformedRequestError
from fulmarstile_services.document import RequestLimits

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_daemon.services._caller_messages import CallerExchange

BUDGET_BYTES = 256 * 1024
MAX_HELD_BYTES = 4 * BUDGET_BYTES
"""Messages get a quarter of the memory, so that what they cost beyond their size fits the rest."""
CONNECTIONS = 128
PIECE = 16 * 1024
LIMITS = RequestLimits()
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
SMALL_CHUNKS = b"2\r\nxx\r\n" * 450
"""Body of 900 bytes; those of all connections fit the share of callers' requests."""


class OpenStream:
    """Stream that delivers given parts and then stays open.

    Args:
        parts: The parts.
        started: Set when the first part arrives.
    """

    def __init__(self, parts: Iterable[bytes], started: trio.Event) -> None:
        self._parts = iter(parts)
        self._started = started

    async def receive(self, size: int = 0) -> bytes:
        """Returns the next part; waits forever behind the last one."""
        await self._started.wait()
        for part in self._parts:
            return part
        await trio.sleep_forever()
        return b""


def fill_head(line: bytes) -> bytes:
    """Returns a head just under the limit, without its last line end."""
    return HEAD + line * ((LIMITS.head_bytes - len(HEAD)) // len(line))


def list_parts(data: bytes) -> list[bytes]:
    return [data[start : start + PIECE] for start in range(0, len(data), PIECE)]


class RequestMemoryTest(unittest.TestCase):
    def check(self, first: bytes, more: bytes = b"", repeats: int = 0) -> None:
        """Reads the same on all connections, and keeps what was read as if at work.

        What idle connections hold is not counted.
        """
        kept: list[CallerExchange | None] = []
        parts = [*list_parts(first), *repeat(more, repeats)]

        async def read(budget: ByteBudget, started: trio.Event) -> None:
            reader = RequestReader(OpenStream(parts, started), lambda: LIMITS, budget)  # type: ignore[arg-type]
            try:
                kept.append(await reader.receive())
            except MalformedRequestError:
                reader.release_partial()
            await trio.sleep_forever()

        async def run() -> int:
            budget, started = ByteBudget(BUDGET_BYTES), trio.Event()
            async with trio.open_nursery() as nursery:
                for _ in range(CONNECTIONS):
                    nursery.start_soon(read, budget, started)
                await trio.testing.wait_all_tasks_blocked()
                idle_bytes = tracemalloc.get_traced_memory()[0]
                started.set()
                await trio.testing.wait_all_tasks_blocked()
                held_bytes = tracemalloc.get_traced_memory()[0] - idle_bytes
                nursery.cancel_scope.cancel()
            return held_bytes

        tracemalloc.start()
        try:
            held_bytes = trio.run(run)
        finally:
            tracemalloc.stop()
        print(f"{self.id()}: {held_bytes} bytes held")
        self.assertLessEqual(held_bytes, MAX_HELD_BYTES)

    def test_one_trailer_line_without_end_is_not_held(self) -> None:
        self.check(CHUNKED + LAST_CHUNK + b"x-more: ", b"a" * PIECE, 16)

    def test_trailer_lines_without_end_are_not_held(self) -> None:
        self.check(CHUNKED + LAST_CHUNK, (b"x-more: " + b"a" * 1_000 + b"\r\n") * 16, 16)

    def test_a_chunk_extension_without_end_is_not_held(self) -> None:
        self.check(CHUNKED + b"5;", b"a" * PIECE, 16)

    def test_chunks_of_two_bytes_are_accounted_at_what_they_cost(self) -> None:
        self.check(CHUNKED + SMALL_CHUNKS)

    def test_unfinished_heads_are_accounted(self) -> None:
        self.check(fill_head(b"x-more: " + b"a" * 90 + b"\r\n"))

    def test_heads_at_work_are_accounted_at_what_they_cost(self) -> None:
        self.check(fill_head(b"a:b\r\n") + b"\r\n")


if __name__ == "__main__":
    unittest.main()
