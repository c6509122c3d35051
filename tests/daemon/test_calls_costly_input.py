"""Input that takes much parsing doesn't hold up other calls."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.calls import CallSettings
from fulmarstile_daemon.calls._caller import CallerConnection
from fulmarstile_http.byte_stream import READ_SIZE
from fulmarstile_http.messages import encode_chunk
from fulmarstile_platform.message_memory import MessageMemory
from fulmarstile_testing.builders.call_proxies import MESH_KEY
from fulmarstile_testing.turn_counter import TurnCounter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
TINY_CHUNKS = encode_chunk(b"ab") * (READ_SIZE // 7)
LINES = 7_000
LONG_HEAD = b"GET / HTTP/1.1\r\nhost: a\r\n" + b"a:\r\n" * LINES + b"\r\n"
CALLERS = 20
CHUNKS_IN_A_STEP = 256
"""Chunks that may be parsed in one step; each takes some 5 us."""
BODY_LIMIT = 1 << 20


class PreparedStream:
    """Stream on which a whole request waits, as much as one read returns at a time."""

    def __init__(self, *reads: bytes) -> None:
        self._reads = iter(reads)

    async def receive(self) -> bytes:
        await trio.lowlevel.checkpoint()
        return next(self._reads)


async def receive_tiny_chunks(turns: trio.Lock) -> None:
    stream = PreparedStream(HEAD, TINY_CHUNKS, encode_chunk(b""))
    caller = CallerConnection(stream, CallSettings(MESH_KEY), turns, MessageMemory(BODY_LIMIT << 6))
    await caller.receive_request()
    body, _ = await caller.receive_small_body(BODY_LIMIT)
    assert len(body) == READ_SIZE // 7 * 2


async def receive_long_head(turns: trio.Lock) -> None:
    caller = CallerConnection(
        PreparedStream(LONG_HEAD), CallSettings(MESH_KEY), turns, MessageMemory(BODY_LIMIT << 6)
    )
    assert await caller.receive_request() is not None


async def count_turns(receive: Callable[[trio.Lock], Awaitable[None]]) -> int:
    """Counts the turns of another task while some callers' requests are received."""
    other = TurnCounter()
    turns = trio.Lock()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(other.run)
        async with trio.open_nursery() as receivers:
            for _ in range(CALLERS):
                receivers.start_soon(receive, turns)
        nursery.cancel_scope.cancel()
    return other.turns


class CostlyInputTest(unittest.TestCase):
    def test_bodies_in_tiny_chunks_are_parsed_a_part_at_a_time_and_one_at_a_time(self) -> None:
        chunks = CALLERS * (READ_SIZE // 7)
        self.assertGreaterEqual(
            trio.run(count_turns, receive_tiny_chunks), chunks // CHUNKS_IN_A_STEP
        )

    def test_heads_of_thousands_of_lines_are_parsed_one_at_a_time(self) -> None:
        self.assertGreaterEqual(trio.run(count_turns, receive_long_head), CALLERS)

    def test_a_refused_body_in_tiny_chunks_is_not_parsed_to_its_end_in_one_step(self) -> None:
        async def run() -> int:
            stream = PreparedStream(HEAD + TINY_CHUNKS)
            caller = CallerConnection(
                stream, CallSettings(MESH_KEY), trio.Lock(), MessageMemory(BODY_LIMIT)
            )
            await caller.receive_request()
            http = caller._http
            with mock.patch.object(http, "next_event", wraps=http.next_event) as next_event:
                caller._discard_received_body()
            return next_event.call_count

        self.assertLessEqual(trio.run(run), CHUNKS_IN_A_STEP)


if __name__ == "__main__":
    unittest.main()
