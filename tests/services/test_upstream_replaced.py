"""What a request began at an upstream doesn't touch the one that replaces it at its address.

Addresses are used again by upstreams of other services, which take a request for theirs if they
are named in it.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.connection_pool import ConnectionPool
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import HopRequest
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._call import AttemptResult
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_http.client_connection import ClientConnection

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000)
REQUEST_HEADERS = [(b"host", b"shop.example"), (HEADER_NAMES.request_id, b"request-1")]
SUCCESSOR_HOP = HopRequest(
    "stock", "upstream-2", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000
)
SUCCESSOR = make_announcement(upstream_id="upstream-2", born_ms=1 << 50, service="stock")


class UpstreamReplacedTest(unittest.TestCase):
    def test_a_request_is_not_run_by_another_service_at_the_same_address(self) -> None:
        async def run() -> None:
            successor = ServiceUpstream(HEADER_NAMES, SUCCESSOR.upstream_id)
            local = make_local_upstream()
            acquire = ConnectionPool.acquire

            async def acquire_late(pool: ConnectionPool, fresh_s: float) -> ClientConnection:
                connection = await acquire(pool, fresh_s)
                local.apply_announcement(SUCCESSOR, successor.address)
                return connection

            async with trio.open_nursery() as nursery:
                nursery.start_soon(successor.serve)
                local.apply_announcement(make_announcement(), successor.address)
                with mock.patch.object(ConnectionPool, "acquire", acquire_late):
                    result = await self.run_request(local, HOP)
                self.assertIs(result.outcome.verdict, Verdict.NOT_RUN)
                self.assertEqual(successor.record.count_runs("request-1"), 0)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_connection_refused_by_its_predecessor_does_not_keep_requests_from_it(self) -> None:
        async def run() -> None:
            successor = ServiceUpstream(HEADER_NAMES, SUCCESSOR.upstream_id)
            local = make_local_upstream()

            async def replace_and_fail(_: ConnectionPool, __: float) -> ClientConnection:
                local.apply_announcement(SUCCESSOR, successor.address)
                raise ExchangeError("connection refused")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(successor.serve)
                local.apply_announcement(make_announcement(), successor.address)
                with mock.patch.object(ConnectionPool, "acquire", replace_and_fail):
                    result = await self.run_request(local, HOP)
                self.assertIs(result.outcome.verdict, Verdict.NOT_RUN)
                result = await self.run_request(local, SUCCESSOR_HOP)
                self.assertIs(result.outcome.verdict, Verdict.RAN, result.outcome.reason)
                nursery.cancel_scope.cancel()

        trio.run(run)

    async def run_request(self, local: LocalUpstream, hop: HopRequest) -> AttemptResult:
        now = trio.current_time()
        request = ReceivedRequest(b"GET", b"/a", MessageHeaders(REQUEST_HEADERS), b"", now)
        return await local.run(hop, request, now + 5.0, now + 5.0, AttemptProgress())


if __name__ == "__main__":
    unittest.main()
