"""Making room for a new connection costs no request that has arrived, and not the process."""

from __future__ import annotations

import socket
import struct
import unittest
from unittest import mock

import trio
import trio.testing

from fulmarstile_platform import http_server
from fulmarstile_platform.http_server import (
    HttpAnswer,
    HttpRequest,
    encode_answer,
    listen_http,
    serve_http,
)

REQUEST = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
TIMEOUT_S = 2.0
ROUNDS = 40
"""Times that a reset and a new connection meet; trio runs their tasks in either order."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def answer(request: HttpRequest) -> HttpAnswer:
    return encode_answer({})


def read(client: socket.socket) -> bytes:
    try:
        return client.recv(4096)
    except ConnectionResetError:
        return b""


class HttpServerEvictionTest(unittest.TestCase):
    def test_a_connection_whose_request_has_arrived_is_not_closed_for_a_new_one(self) -> None:
        async def run() -> bytes:
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            close_longest_idle = http_server._close_longest_idle
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer, 1)
                with socket.create_connection(address, timeout=TIMEOUT_S) as kept:
                    kept.sendall(REQUEST)
                    self.assertIn(b" 200 ", await trio.to_thread.run_sync(read, kept))

                    def arrive_and_close(connections: set[http_server._Connection]) -> bool:
                        kept.sendall(REQUEST)
                        return close_longest_idle(connections)

                    with (
                        mock.patch.object(http_server, "_close_longest_idle", arrive_and_close),
                        socket.create_connection(address, timeout=TIMEOUT_S),
                    ):
                        received = await trio.to_thread.run_sync(read, kept)
                nursery.cancel_scope.cancel()
            return received

        self.assertIn(b" 200 ", trio.run(run))

    def test_a_new_connection_beside_one_that_is_reset_does_not_end_the_server(self) -> None:
        async def run() -> bytes:
            listeners = await listen_http("127.0.0.1:0")
            address = listeners[0].socket.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(serve_http, listeners, answer, 1)
                kept = socket.create_connection(address, timeout=TIMEOUT_S)
                for _ in range(ROUNDS):
                    await trio.testing.wait_all_tasks_blocked()
                    kept.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    kept.close()
                    kept = socket.create_connection(address, timeout=TIMEOUT_S)
                with kept:
                    kept.sendall(REQUEST)
                    received = await trio.to_thread.run_sync(read, kept)
                nursery.cancel_scope.cancel()
            return received

        self.assertIn(b" 200 ", trio.run(run))


if __name__ == "__main__":
    unittest.main()
