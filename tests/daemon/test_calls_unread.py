"""A proxy closes a connection by what has arrived on it, not by what it has read so far."""

from __future__ import annotations

import math
import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.calls._caller import CallerConnection
from fulmarstile_testing.builders.call_proxies import make_request, serve_daemon

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.calls import CallProxy
    from fulmarstile_daemon.calls._caller import ReceivedRequest

TIMEOUT_S = 3.0
ROUNDS = 12
"""Times that a close meets a request; trio runs their tasks in either order."""


def read_until_end(caller: socket.socket) -> bytes:
    """Reads until the connection ends; a reset ends it like a close."""
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except (ConnectionResetError, TimeoutError):
        return received
    return received


class UnreadCallsTest(unittest.TestCase):
    def call_and_close(self, request: bytes, close: Callable[[CallProxy], object]) -> bytes:
        """Returns what a caller receives whose request arrives just before its proxy closes."""

        async def run() -> bytes:
            async with serve_daemon() as daemon:
                host, _, port = daemon.proxy.address.rpartition(":")
                with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as caller:
                    while not daemon.proxy.dump().caller_connections:
                        await trio.sleep(0.01)
                    caller.sendall(request)
                    close(daemon.proxy)
                    caller.settimeout(0.5)
                    return await trio.to_thread.run_sync(read_until_end, caller)

        return trio.run(run)

    def test_a_request_that_arrives_before_its_connection_is_idle_for_too_long_is_answered(
        self,
    ) -> None:
        answer = self.call_and_close(make_request(), lambda proxy: proxy._close_idle(math.inf))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_a_connection_whose_request_has_arrived_is_not_evicted(self) -> None:
        answer = self.call_and_close(make_request(), lambda proxy: proxy._evict_idle())
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)

    def test_a_draining_proxy_answers_all_requests_that_arrive_in_one_write(self) -> None:
        answers = self.call_and_close(make_request() * 2, lambda proxy: proxy.begin_draining())
        self.assertEqual(answers.count(b"HTTP/1.1 "), 2, answers)

    def check_second_of_one_write(self, close: Callable[[CallProxy], object]) -> None:
        """Checks that the second request of one write is answered if its connection is closed now.

        Args:
            close: Called after the answer to the first request.
        """
        receive_request = CallerConnection.receive_request

        async def run() -> bytes:
            async with serve_daemon() as daemon:

                async def receive(caller: CallerConnection) -> ReceivedRequest | None:
                    if daemon.proxy.counters.answers == 1:
                        trio.lowlevel.spawn_system_task(close_now)
                    return await receive_request(caller)

                async def close_now() -> None:
                    close(daemon.proxy)

                host, _, port = daemon.proxy.address.rpartition(":")
                with (
                    mock.patch.object(CallerConnection, "receive_request", receive),
                    socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as caller,
                ):
                    caller.sendall(make_request() + make_request(headers={"Connection": "close"}))
                    return await trio.to_thread.run_sync(read_until_end, caller)

        for _ in range(ROUNDS):
            answers = trio.run(run)
            self.assertEqual(answers.count(b"HTTP/1.1 200 "), 2, answers)

    def test_a_connection_whose_next_request_was_read_is_not_evicted(self) -> None:
        self.check_second_of_one_write(lambda proxy: proxy._evict_idle())

    def test_a_connection_whose_next_request_was_read_is_not_idle_for_too_long(self) -> None:
        self.check_second_of_one_write(lambda proxy: proxy._close_idle(math.inf))


if __name__ == "__main__":
    unittest.main()
