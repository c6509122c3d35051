"""A call made by an upstream is matched to its parent request by the id of that request."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_wire.services import HopRequest

HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, False, 1_000)


def make_request(request_id: bytes, arrived_at: float) -> ReceivedRequest:
    headers = MessageHeaders([(b"host", b"shop.example"), (HEADER_NAMES.request_id, request_id)])
    return ReceivedRequest(b"GET", b"/a?delay_ms=200", headers, b"", arrived_at)


class UpstreamCallTest(unittest.TestCase):
    def test_a_call_has_a_parent_only_while_the_parent_request_runs(self) -> None:
        async def run() -> None:
            upstream = ServiceUpstream(HEADER_NAMES, "upstream-1")
            local = make_local_upstream()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(upstream.serve)
                local.apply_announcement(make_announcement(), upstream.address)
                deadline = trio.current_time() + 5.0
                request = make_request(b"parent", trio.current_time())
                async with trio.open_nursery() as calls:
                    calls.start_soon(local.run, HOP, request, deadline, deadline, AttemptProgress())
                    while not local.running:
                        await trio.sleep(0.01)
                    self.assertIs(local.find_parent_class(b"parent.call"), SlotClass.URGENT)
                    self.assertIsNone(local.find_parent_class(b"other.call"))
                    self.assertIsNone(local.find_parent_class(b"parent"))
                self.assertIsNone(local.find_parent_class(b"parent.call"))
                nursery.cancel_scope.cancel()

        trio.run(run)
