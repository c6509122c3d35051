"""What the clients of the small HTTP server make it hold is bounded."""

from __future__ import annotations

import tracemalloc
import unittest

import trio
import trio.testing

from fulmarstile_platform.http_server import HttpAnswer, HttpRequest, listen_http, serve_http

BODY_BYTES = 64 * 1024
TINY_CHUNKS = b"2\r\nab\r\n" * (BODY_BYTES // 2)
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
HELD_BYTES = 16 * BODY_BYTES
"""Bound of what may be allocated for a body: itself, its copy, and what is being parsed."""


async def answer(request: HttpRequest) -> HttpAnswer:
    return HttpAnswer(body=b"%d" % len(request.body))


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


if __name__ == "__main__":
    unittest.main()
