"""A request is not passed to an upstream that left or was replaced while its connection opened."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import trio
import trio.testing

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import HopRequest
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000)
CONNECT_S = 0.3
REPLACED_AFTER_S = 0.1


async def open_slowly(address: str, *, peer_may_read_late: bool = False) -> ByteStream:
    """Opens a connection late, as if the queue of the listener had been full."""
    await trio.sleep(CONNECT_S)
    return await open_stream(address, peer_may_read_late=peer_may_read_late)


class UpstreamChangedTest(unittest.TestCase):
    def check_not_run(self, later: UpstreamAnnouncement) -> None:
        """Checks that a request is not run if an announcement comes while it connects."""

        async def run() -> None:
            upstream = ServiceUpstream(HEADER_NAMES, later.upstream_id)
            local = make_local_upstream()
            headers = MessageHeaders([(b"host", b"shop.example"), (b"request-id", b"r1")])
            request = ReceivedRequest(b"POST", b"/a", headers, b"", trio.current_time())
            deadline = trio.current_time() + 5.0
            verdicts = []

            async def call() -> None:
                result = await local.run(HOP, request, deadline, deadline, AttemptProgress())
                verdicts.append(result.outcome.verdict)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(upstream.serve)
                local.apply_announcement(make_announcement(), upstream.address)
                async with trio.open_nursery() as calls:
                    calls.start_soon(call)
                    await trio.sleep(REPLACED_AFTER_S)
                    local.apply_announcement(later, upstream.address)
                nursery.cancel_scope.cancel()
            self.assertEqual(upstream.record.requests, [])
            self.assertEqual(verdicts, [Verdict.NOT_RUN])

        with mock.patch("fulmarstile_http.client_connection.open_stream", open_slowly):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def test_a_request_is_not_run_by_the_upstream_of_another_service(self) -> None:
        """Guards against rule ROUTE broken by a slow connection, beside a replacement."""
        self.check_not_run(make_announcement(upstream_id="other", born_ms=2_000, service="stock"))

    def test_a_request_is_not_run_beside_the_slots_of_the_next_incarnation(self) -> None:
        """Guards against one request too many at an upstream that has just started."""
        self.check_not_run(make_announcement(upstream_id="other", born_ms=2_000))

    def test_a_request_is_not_sent_to_an_upstream_that_has_left(self) -> None:
        """Guards against a request that arrives long after a leave, over a slow connection."""
        self.check_not_run(make_announcement(sequence=2, phase=UpstreamPhase.LEAVING))
