"""A pipelined head that comes too late is refused, and costs no answer before it."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

HEAD = b"GET /a HTTP/1.1\r\nhost: shop.example\r\n\r\n"
TURNS = 20


class LatePipelinedHeadTest(unittest.TestCase):
    def test_a_head_whose_time_ends_while_the_loop_is_late_resets_no_connection(self) -> None:
        clock = trio.testing.MockClock(rate=0.0)
        handled, released = trio.Event(), trio.Event()

        async def handle(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
            handled.set()
            await released.wait()
            return CallerResponse(200)

        async def run() -> bytes:
            server = RequestServer(
                handle, RequestLimits, 100, ByteBudget(1 << 20), EventLog("d"), b"request-id"
            )
            async with trio.open_nursery() as nursery:
                caller = await connect(await nursery.start(server.serve, "127.0.0.1:0"))
                await caller.send_all(HEAD + HEAD[:10])
                await handled.wait()
                await trio.testing.wait_all_tasks_blocked(0.002)
                clock.jump(RequestLimits().head_timeout_s + 1.0)
                # It has arrived when the loop goes on, before its timers are looked at.
                caller.socket._sock.send(HEAD[10:15])
                for _ in range(TURNS):
                    await trio.lowlevel.checkpoint()
                released.set()
                received = b""
                while data := await caller.receive_some():
                    received += data
                nursery.cancel_scope.cancel()
            return received

        received = trio.run(run, clock=clock)
        self.assertEqual(received.count(b"HTTP/1.1 "), 2)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"HTTP/1.1 408", received)


if __name__ == "__main__":
    unittest.main()
