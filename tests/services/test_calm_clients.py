"""Clients inside the limits are served in calm, however slowly or oddly they send."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Final

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

BUDGET_BYTES: Final = 64 * 1024 * 1024
TIMEOUT_S: Final = 60.0
"""Timeout of the route, in seconds."""
PAUSE_S: Final = 0.25
POST: Final = b"POST /a HTTP/1.1\r\nhost: shop.example\r\n"
CHUNKED: Final = POST + b"transfer-encoding: chunked\r\n"
PIECE: Final = b"x" * 5_000
"""Sent each `PAUSE_S`: 20 KB/s."""
PIECES: Final = 200
LARGE_BODY: Final = b"x" * 4_000_000
LATE_S: Final = 8.0
"""Time after its head at which a body begins, within the limit of the time without input."""
BLANK_LINES: Final = b"\r\n\r\n" * 20_000


async def echo_size(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    return CallerResponse(200, body=b"%d" % len(request.body))


class CalmClientsTest(unittest.TestCase):
    def serve(self, parts: Iterable[tuple[float, bytes]], requests: int = 1) -> bytes:
        """Sends parts of requests after pauses, and another request on the same connection.

        Returns:
            All that was received.
        """
        budget = ByteBudget(BUDGET_BYTES)

        async def run() -> bytes:
            server = RequestServer(
                echo_size,
                RequestLimits,
                100,
                budget,
                EventLog("d"),
                b"request-id",
                find_wait_s=lambda _: TIMEOUT_S,
            )
            async with trio.open_nursery() as nursery:
                caller = await connect(await nursery.start(server.serve, "127.0.0.1:0"))
                for pause_s, data in parts:
                    await trio.sleep(pause_s)
                    await caller.send_all(data)
                await self._receive_until(caller, b"HTTP/1.1 200", requests)
                await caller.send_all(POST + b"content-length: 4\r\n\r\nlast")
                received = await self._receive_until(caller, b"\r\n\r\n4", 1)
                caller.socket.close()
                while server.connections:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return received

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.002))
        self.assertEqual(budget.used_bytes, 0)
        return self.received

    def setUp(self) -> None:
        self.received = b""

    async def _receive_until(self, caller: trio.SocketStream, end: bytes, count: int) -> bytes:
        start = len(self.received)
        while self.received.count(end, start) < count:
            data = await caller.receive_some()
            self.assertTrue(data, self.received)
            self.received += data
        return self.received

    def check(self, parts: Iterable[tuple[float, bytes]], size: int) -> None:
        received = self.serve(parts)
        self.assertIn(b"\r\n\r\n%d" % size, received)

    def test_a_slow_steady_body_is_served(self) -> None:
        size = len(PIECE) * PIECES
        head = POST + b"content-length: %d\r\n\r\n" % size
        self.check([(0.0, head), *[(PAUSE_S, PIECE)] * PIECES], size)

    def test_a_slow_steady_chunked_body_is_served(self) -> None:
        chunk = b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"
        parts = [(0.0, CHUNKED + b"\r\n"), *[(PAUSE_S, chunk)] * PIECES, (0.0, b"0\r\n\r\n")]
        self.check(parts, len(PIECE) * PIECES)

    def test_chunks_of_one_byte_are_served(self) -> None:
        self.check([(0.0, CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")], 50_000)

    def test_single_bytes_are_served(self) -> None:
        data = CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 20 + b"0\r\n\r\n"
        self.check([(0.01, data[at : at + 1]) for at in range(len(data))], 20)

    def test_trailers_are_served(self) -> None:
        trailers = b"".join(b"t%d: a\r\n" % number for number in range(200))
        body = b"%x\r\n" % len(LARGE_BODY) + LARGE_BODY + b"\r\n0\r\n" + trailers + b"\r\n"
        self.check([(0.0, CHUNKED + b"trailer: t1\r\n\r\n" + body)], len(LARGE_BODY))

    def test_a_body_of_blank_lines_is_served(self) -> None:
        chunk = b"%x\r\n" % len(BLANK_LINES) + BLANK_LINES + b"\r\n0\r\n\r\n"
        self.check([(0.0, CHUNKED + b"\r\n" + chunk)], len(BLANK_LINES))

    def test_a_body_that_waits_for_its_continuation_and_comes_late_is_served(self) -> None:
        head = POST + b"expect: 100-continue\r\ncontent-length: %d\r\n\r\n" % len(PIECE)
        self.check([(0.0, head), (LATE_S, PIECE)], len(PIECE))
        self.assertEqual(self.received.count(b"HTTP/1.1 100"), 1)

    def test_a_slow_body_behind_another_request_is_served(self) -> None:
        size = len(PIECE) * PIECES
        first = POST + b"content-length: 0\r\n\r\n" + POST + b"content-length: %d\r\n\r\n" % size
        received = self.serve([(0.0, first), *[(PAUSE_S, PIECE)] * PIECES], requests=2)
        self.assertIn(b"\r\n\r\n%d" % size, received)

    def test_a_body_past_its_deadline_is_refused_as_not_run(self) -> None:
        head = POST + b"content-length: %d\r\n\r\n" % len(LARGE_BODY)
        ran: list[ReceivedRequest] = []

        async def record(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
            ran.append(request)
            return CallerResponse(200)

        async def run() -> bytes:
            server = RequestServer(
                record,
                RequestLimits,
                100,
                ByteBudget(BUDGET_BYTES),
                EventLog("d"),
                b"request-id",
                find_wait_s=lambda _: 1.0,
            )
            async with trio.open_nursery() as nursery:
                caller = await connect(await nursery.start(server.serve, "127.0.0.1:0"))
                await caller.send_all(head)
                for _ in range(4):
                    await caller.send_all(PIECE)
                    await trio.sleep(PAUSE_S)
                await trio.sleep(PAUSE_S)
                await caller.send_all(PIECE)
                received = await caller.receive_some()
                nursery.cancel_scope.cancel()
            return received

        received = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.002))
        self.assertTrue(received.startswith(b"HTTP/1.1 408"), received)
        self.assertEqual(ran, [])


if __name__ == "__main__":
    unittest.main()
