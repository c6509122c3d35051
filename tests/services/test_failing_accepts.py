"""An error while a connection is accepted costs neither the daemon nor other connections."""

from __future__ import annotations

import errno
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

import trio

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._request_server import RequestServer
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_http.listener import ConnectionListener, OutOfDescriptorsError
from fulmarstile_services.document import RequestLimits
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect

if TYPE_CHECKING:
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest

ERROR = LookupError("an error of the test")
TIMEOUT_S = 10.0


class FailingAcceptTest(unittest.TestCase):
    def check(self, connection_limit: int) -> None:
        """Checks that a request in flight is answered beside a connection that fails."""
        released = trio.Event()
        handled = trio.Event()

        async def handle(request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
            handled.set()
            await released.wait()
            return CallerResponse(200, [], b"")

        async def run() -> None:
            server = RequestServer(
                handle,
                RequestLimits,
                connection_limit,
                ByteBudget(1 << 20),
                EventLog("d"),
                b"request-id",
            )
            statuses: list[int] = []

            async def call(address: str) -> None:
                async with ServiceClient(await connect(address)) as client:
                    statuses.append((await client.call("/a")).status)

            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(server.serve, "127.0.0.1:0")
                    async with trio.open_nursery() as calls:
                        calls.start_soon(call, address)
                        await handled.wait()
                        with mock.patch.object(RequestServer, "_evict_idle", side_effect=ERROR):
                            stream = await connect(address)
                            self.assertEqual(await stream.receive_some(1), b"")
                            await stream.aclose()
                        released.set()
                    await call(address)
                    nursery.cancel_scope.cancel()
            self.assertEqual(statuses, [200, 200])

        with self.assertLogs(level="ERROR"):
            trio.run(run)

    def test_an_error_while_a_connection_is_evicted_costs_only_the_new_one(self) -> None:
        self.check(connection_limit=1)

    def test_an_error_while_descriptors_are_short_costs_no_request(self) -> None:
        accept = ConnectionListener.accept
        streams = iter([False, True])

        async def accept_or_fail(listener: ConnectionListener) -> Any:
            stream = await accept(listener)
            if next(streams, False):
                stream.close()
                raise OutOfDescriptorsError(errno.EMFILE, "an error of the test")
            return stream

        with mock.patch.object(ConnectionListener, "accept", accept_or_fail):
            self.check(connection_limit=10)


if __name__ == "__main__":
    unittest.main()
