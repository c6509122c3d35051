"""A request refused as not run while its body arrives must not be run once it is complete."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_services.document import RequestLimits

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

HEAD = b"POST /a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 10\r\n\r\n"
REQUESTS = 40


class IncompleteRequestTest(unittest.TestCase):
    def test_a_request_completed_while_it_is_refused_does_not_run(self) -> None:
        answered: list[ReceivedRequest] = []

        async def answer(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
            answered.append(request)
            await trio.sleep(0.01)
            return CallerResponse(200)

        async def refuse_as_the_rest_arrives(server: RequestServer, address: str) -> bytes:
            host, _, port = address.rpartition(":")
            with socket.create_connection((host, int(port))) as client:
                client.sendall(HEAD + b"x" * 5)
                while not server.arriving:
                    await trio.sleep(0.001)
                client.sendall(b"x" * 5)
                server.refuse_unreceived()
                await trio.sleep(0.03)
                return client.recv(1_000)

        async def run() -> None:
            server = RequestServer(
                answer, RequestLimits, 100, ByteBudget(2_000_000), EventLog("d"), b"request-id"
            )
            async with trio.open_nursery() as nursery:
                address = await nursery.start(server.serve, "127.0.0.1:0")
                for _ in range(REQUESTS):
                    received = await refuse_as_the_rest_arrives(server, address)
                    self.assertTrue(received.startswith(b"HTTP/1.1 503"), received)
                    self.assertEqual(answered, [])
                nursery.cancel_scope.cancel()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
