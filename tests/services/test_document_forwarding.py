"""Daemons forward a large document only to those that the store hasn't delivered it to."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services.documents import ActiveDocument, ActiveRoutes
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import FakePlatform

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument

DOCUMENT_BYTES = 150_000
BURST_INTERVAL_S = 0.2
SETTLE_S = 1.0
"""Time after which a daemon that lacks a document is sent it, in seconds."""


class HolderFixture:
    """A document holder that is offered large documents."""

    def __init__(self) -> None:
        documents: dict[bytes, ServiceDocument] = {}
        settings = make_node_settings("d-1", "shop", "zone-a", "")
        platform = FakePlatform(settings, FakeKeyedLog(), documents)
        self.holder = ActiveDocument(platform, ActiveRoutes(), EventLog("d-1"))
        self._documents = documents

    def offer(self, version: int) -> None:
        raw = b"%d".ljust(DOCUMENT_BYTES) % version
        self._documents[raw] = make_document(make_route(), version=version)
        self.holder.apply_if_newer(raw, "store")


class DocumentForwardingTest(unittest.TestCase):
    def test_a_large_document_is_forwarded_only_to_a_daemon_that_lacks_it_for_a_while(self) -> None:
        async def run() -> None:
            fixture = HolderFixture()
            holder = fixture.holder
            self.assertFalse(holder.should_send(-1))
            fixture.offer(1)
            self.assertFalse(holder.should_send(-1))
            await trio.sleep(SETTLE_S)
            self.assertTrue(holder.should_send(-1))
            self.assertFalse(holder.should_send(1))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_in_a_burst_only_a_daemon_that_is_far_behind_is_sent_the_document(self) -> None:
        async def run() -> None:
            fixture = HolderFixture()
            for version in range(1, 21):
                fixture.offer(version)
                await trio.sleep(BURST_INTERVAL_S)
            self.assertFalse(fixture.holder.should_send(19))
            self.assertTrue(fixture.holder.should_send(20 - int(SETTLE_S / BURST_INTERVAL_S) - 1))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
