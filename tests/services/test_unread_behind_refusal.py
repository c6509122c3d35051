"""A stopping daemon answers a request that has arrived whole, of which it has read a part."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

WORK_S = 0.5
"""Longer than the whole request takes to arrive, in seconds."""
TIMEOUT_S = 3.0
BODY = b"x" * 120_000  # More than is read ahead, less than the kernel buffers.
FIRST = b"GET /a HTTP/1.1\r\nhost: s\r\n\r\n"
SECOND = b"POST /b HTTP/1.1\r\nhost: s\r\ncontent-length: %d\r\n\r\n" % len(BODY) + BODY


async def handle(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    await trio.sleep(WORK_S)
    return CallerResponse(200, [], b"")


class UnreadBehindRefusalTest(unittest.TestCase):
    def test_a_request_read_in_part_behind_another_one_is_answered_if_it_has_arrived_whole(
        self,
    ) -> None:
        async def run() -> bytes:
            server = RequestServer(
                handle, RequestLimits, 10, ByteBudget(1 << 24), EventLog("d"), b"request-id"
            )
            received = b""
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, "127.0.0.1:0")
                async with await connect(address) as caller:
                    await caller.send_all(FIRST + SECOND)
                    with trio.fail_after(TIMEOUT_S):
                        while not server.arriving:
                            await trio.sleep(0.01)
                        await trio.sleep(WORK_S / 2)
                        server.begin_closing()
                        server.refuse_unreceived()
                        while data := await caller.receive_some():
                            received += data
                nursery.cancel_scope.cancel()
            return received

        answers = trio.run(run)
        self.assertEqual(answers.count(b"HTTP/1.1 "), 2, answers)


if __name__ == "__main__":
    unittest.main()
