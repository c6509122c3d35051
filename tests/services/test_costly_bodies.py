"""Bodies that take much parsing don't hold up other requests."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_reader import RequestReader
from fulmarstile_http.byte_stream import READ_SIZE
from fulmarstile_http.messages import encode_chunk
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.turn_counter import TurnCounter

HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
EMPTY_LINES = b"\r\n" * (READ_SIZE // 2)
TINY_CHUNKS = encode_chunk(b"ab") * (READ_SIZE // 7)
CALLERS = 20
READS = 2


class BodyStream:
    """Stream on which a whole body waits, as much as one read returns at a time."""

    def __init__(self, data: bytes) -> None:
        self._reads = iter([HEAD, *[data] * READS, encode_chunk(b"")])

    async def receive(self) -> bytes:
        await trio.lowlevel.checkpoint()
        return next(self._reads)


async def count_turns(data: bytes, callers: int) -> int:
    """Reads a body from each of some callers, and counts the turns of another task meanwhile."""
    other = TurnCounter()
    lock = trio.Lock()

    async def read() -> None:
        budget = ByteBudget(1 << 30)
        reader = RequestReader(BodyStream(data), RequestLimits, budget, costly_input=lock)
        exchange = await reader.receive()
        assert exchange is not None and exchange.request is not None

    async with trio.open_nursery() as nursery:
        nursery.start_soon(other.run)
        async with trio.open_nursery() as readers:
            for _ in range(callers):
                readers.start_soon(read)
        nursery.cancel_scope.cancel()
    return other.turns


class CostlyBodiesTest(unittest.TestCase):
    def test_a_body_of_empty_lines_lets_other_requests_run_between(self) -> None:
        turns = trio.run(count_turns, encode_chunk(EMPTY_LINES), 1)
        self.assertGreaterEqual(turns, READS * READ_SIZE // 4 // 128)

    def test_many_bodies_in_tiny_chunks_are_parsed_one_slice_at_a_time(self) -> None:
        turns = trio.run(count_turns, TINY_CHUNKS, CALLERS)
        self.assertGreaterEqual(turns, CALLERS * READS)


if __name__ == "__main__":
    unittest.main()
