"""What the clients of the small HTTP server make it hold is bounded."""

from __future__ import annotations

import tracemalloc
import unittest
from contextlib import suppress
from unittest import mock

import trio
import trio.testing

from fulmarstile_platform import http_server
from fulmarstile_platform.http_server import (
    MAX_BODY_BYTES,
    HttpAnswer,
    HttpRequest,
    listen_http,
    serve_http,
)
from fulmarstile_platform.message_memory import MessageMemory

BODY_BYTES = 64 * 1024
TINY_CHUNKS = b"2\r\nab\r\n" * (BODY_BYTES // 2)
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
HELD_BYTES = 16 * BODY_BYTES
"""Bound of what may be allocated for a body: itself, its copy, and what is being parsed."""
LARGE_BYTES = 16_000_000
"""Size of an answer, in bytes; more than the buffers of both kernels take."""
CONNECTIONS = 4
CROWD = 16
LARGE = 1 << 20
"""Size of a large body, in bytes."""
LARGE_HEAD = b"PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % LARGE
LARGE_BODY = bytes(LARGE)
SMALL_PUT = b"PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n" + bytes(1000)
HELD_LIMIT_BYTES = 4 * LARGE
STALL_S = 2.0
"""Time after which a body without progress gives way, in seconds."""


async def answer(request: HttpRequest) -> HttpAnswer:
    return HttpAnswer(body=b"%d" % len(request.body))


async def answer_at_length(request: HttpRequest) -> HttpAnswer:
    return HttpAnswer(body=bytes(LARGE_BYTES))


class HttpServerMemoryTest(unittest.TestCase):
    def test_a_body_in_tiny_chunks_costs_no_more_memory_than_its_size_explains(self) -> None:
        async def run() -> int:
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer)
                client = await trio.open_tcp_stream(*address)
                await client.send_all(HEAD + TINY_CHUNKS)
                await trio.testing.wait_all_tasks_blocked(0.1)
                held = tracemalloc.get_traced_memory()[0]
                await client.send_all(b"0\r\n\r\n")
                self.assertIn(b"%d" % BODY_BYTES, await client.receive_some())
                nursery.cancel_scope.cancel()
            return held

        tracemalloc.start()
        try:
            self.assertLessEqual(trio.run(run), HELD_BYTES)
        finally:
            tracemalloc.stop()

    def test_a_client_that_reads_nothing_of_its_answer_is_dropped(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)

        async def run() -> None:
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer_at_length)
                client = await trio.open_tcp_stream(*address)
                await client.send_all(GET)
                await trio.testing.wait_all_tasks_blocked(0.1)
                clock.jump(http_server.SEND_TIMEOUT_S + 1.0)
                await trio.testing.wait_all_tasks_blocked(0.1)
                received = 0
                with suppress(trio.BrokenResourceError):
                    while data := await client.receive_some():
                        received += len(data)
                self.assertLess(received, LARGE_BYTES)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=clock)

    def test_connections_that_wait_to_be_served_are_bounded(self) -> None:
        async def run() -> None:
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            with mock.patch.object(http_server, "_close_longest_idle", return_value=False):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve_http, listeners, answer, CONNECTIONS)
                    clients = [await trio.open_tcp_stream(*address) for _ in range(4 * CONNECTIONS)]
                    await trio.testing.wait_all_tasks_blocked(0.1)
                    self.assertEqual(await clients[-1].receive_some(), b"")
                    nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(rate=0.0))

    def test_bodies_that_stop_short_of_their_end_hold_no_more_than_the_limit_together(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)

        async def run() -> int:
            memory = MessageMemory(HELD_LIMIT_BYTES)
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer, CROWD, MAX_BODY_BYTES, memory)
                before = tracemalloc.get_traced_memory()[0]
                clients = []
                for _ in range(CROWD):
                    clients.append(await trio.open_tcp_stream(*address))
                    await clients[-1].send_all(LARGE_HEAD + LARGE_BODY[1:])
                    await trio.testing.wait_all_tasks_blocked(0.02)
                    clock.jump(STALL_S)
                held = tracemalloc.get_traced_memory()[0] - before
                for client in clients:
                    client.socket.close()
                nursery.cancel_scope.cancel()
            self.assertLessEqual(memory.used_bytes, HELD_LIMIT_BYTES)
            self.assertGreaterEqual(memory.cut_messages, CROWD - HELD_LIMIT_BYTES // LARGE)
            return held

        tracemalloc.start()
        try:
            # A crowd without the limit holds four times as much.
            self.assertLessEqual(trio.run(run, clock=clock), 2 * HELD_LIMIT_BYTES)
        finally:
            tracemalloc.stop()

    def test_a_large_body_is_served_beside_bodies_that_stop_short_of_their_end(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)

        async def run() -> None:
            memory = MessageMemory(LARGE)
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer, CROWD, MAX_BODY_BYTES, memory)
                stalled = await trio.open_tcp_stream(*address)
                await stalled.send_all(LARGE_HEAD + LARGE_BODY[1:])
                await trio.testing.wait_all_tasks_blocked(0.05)
                other = await trio.open_tcp_stream(*address)
                await other.send_all(LARGE_HEAD + LARGE_BODY[: 8 * 1024])
                self.assertIn(b" 503 ", await other.receive_some())
                small = await trio.open_tcp_stream(*address)
                await small.send_all(SMALL_PUT)
                self.assertIn(b" 200 ", await small.receive_some())
                clock.jump(STALL_S)
                client = await trio.open_tcp_stream(*address)
                await client.send_all(LARGE_HEAD + LARGE_BODY)
                self.assertIn(b" 200 ", await client.receive_some())
                self.assertIn(b" 503 ", await stalled.receive_some())
                nursery.cancel_scope.cancel()
            self.assertEqual(memory.used_bytes, 0)

        trio.run(run, clock=clock)

    def test_an_answer_that_nobody_reads_gives_way_to_the_next_one(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)

        async def run() -> None:
            memory = MessageMemory(LARGE_BYTES)
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    serve_http, listeners, answer_at_length, CROWD, MAX_BODY_BYTES, memory
                )
                stalled = []
                for _ in range(2):
                    stalled.append(await trio.open_tcp_stream(*address))
                    await stalled[-1].send_all(GET)
                    await trio.testing.wait_all_tasks_blocked(0.05)
                    self.assertEqual(memory.used_bytes, LARGE_BYTES)
                    clock.jump(STALL_S)
                client = await trio.open_tcp_stream(*address)
                await client.send_all(GET)
                self.assertIn(b" 200 ", await client.receive_some())
                self.assertEqual(memory.cut_messages, 2)
                for client_without_progress in stalled:
                    client_without_progress.socket.close()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=clock)


if __name__ == "__main__":
    unittest.main()
