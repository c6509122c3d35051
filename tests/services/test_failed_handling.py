"""A fault while one request is handled ends neither its connection nor others unanswered."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest


async def handle(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
    if request.target == b"/fails":
        raise KeyError("a fault in the code")
    if request.target == b"/fails-in-tasks":
        async with trio.open_nursery():
            raise ValueError("a fault in a task")
    return CallerResponse(200, [], b"")


class FailedHandlingTest(unittest.TestCase):
    def test_a_request_whose_handling_fails_gets_an_answer(self) -> None:
        async def run() -> list[int]:
            server = RequestServer(
                handle, RequestLimits, 10, ByteBudget(1 << 20), EventLog("d"), b"request-id"
            )
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, "127.0.0.1:0")
                async with ServiceClient(await connect(address)) as client:
                    targets = ("/fails", "/fails-in-tasks", "/works")
                    answers = [await client.call(target) for target in targets]
                nursery.cancel_scope.cancel()
            return [answer.status for answer in answers if answer.complete]

        with self.assertLogs(level="ERROR"):
            self.assertEqual(trio.run(run), [500, 500, 200])
