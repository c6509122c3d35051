"""A body costs memory by its size, however small the chunks are in which it arrives."""

from __future__ import annotations

import tracemalloc
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._exchange import Exchange
from fulmarstile_daemon.services._request_reader import RequestReader
from fulmarstile_http.client_connection import open_connection
from fulmarstile_http.messages import encode_chunk
from fulmarstile_services.document import RequestLimits

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BODY_BYTES = 512 * 1024
CHUNK = encode_chunk(b"ab")
HELD_BYTES = 4 * BODY_BYTES
"""Bound of what may be allocated for a body: itself, its copy, and what is being read."""
REQUEST_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PIECES = [CHUNK * 1_000] * (BODY_BYTES // 2_000)
BODY = b"ab" * (1_000 * len(PIECES))


class ChunkedStream:
    """Stream from which a chunked request is read, piece by piece."""

    def __init__(self) -> None:
        self._pieces = iter([REQUEST_HEAD, *PIECES, encode_chunk(b"")])

    async def receive(self) -> bytes:
        """Returns the next piece."""
        return next(self._pieces)


async def read_request() -> bytes:
    """Reads the body of a request in small chunks."""
    budget = ByteBudget(8 * BODY_BYTES)
    exchange = await RequestReader(ChunkedStream(), RequestLimits, budget).receive()
    assert exchange is not None and exchange.request is not None
    return exchange.request.body


async def answer_in_small_chunks(stream: trio.SocketStream) -> None:
    async with stream:
        await stream.receive_some()
        await stream.send_all(RESPONSE_HEAD)
        for piece in PIECES:
            await stream.send_all(piece)
        await stream.send_all(encode_chunk(b""))


async def read_response() -> bytes:
    """Reads the body of an upstream's answer in small chunks."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, answer_in_small_chunks, listeners)
        connection = await open_connection(f"{host}:{port}", 32 * 1024)
        exchange = Exchange(connection, b"GET", b"/", [], b"", ByteBudget(8 * BODY_BYTES))
        response = await exchange.run()
        connection.close()
        nursery.cancel_scope.cancel()
    return response.body


class SmallChunksTest(unittest.TestCase):
    def check(self, read: Callable[[], Awaitable[bytes]]) -> None:
        tracemalloc.start()
        try:
            body = trio.run(read)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(body, BODY)
        self.assertLessEqual(peak, HELD_BYTES)

    def test_a_request_in_small_chunks_costs_no_more_memory_than_its_size_explains(self) -> None:
        self.check(read_request)

    def test_an_answer_in_small_chunks_costs_no_more_memory_than_its_size_explains(self) -> None:
        self.check(read_response)


if __name__ == "__main__":
    unittest.main()
