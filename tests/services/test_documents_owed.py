"""Large documents go from daemon to daemon only where the store does not deliver them."""

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
STORM_GAP_S = 0.2
BOUND_S = 1.0
"""Time after which a daemon that was missed out is sent a document, in seconds."""


class PublishedDocument:
    """An active document that is offered newer, large versions."""

    def __init__(self) -> None:
        documents: dict[bytes, ServiceDocument] = {}
        settings = make_node_settings("d-1", "shop", "zone-a", "")
        platform = FakePlatform(settings, FakeKeyedLog(), documents)
        self.document = ActiveDocument(platform, ActiveRoutes(), EventLog("d-1"))
        self._documents = documents

    def offer(self, version: int) -> None:
        raw = b"%d".ljust(DOCUMENT_BYTES) % version
        self._documents[raw] = make_document(make_route(), version=version)
        self.document.apply_if_newer(raw, "store")


class DocumentsOwedTest(unittest.TestCase):
    def test_a_large_document_is_owed_to_a_daemon_that_lacks_it_for_a_while(self) -> None:
        async def run() -> None:
            published = PublishedDocument()
            document = published.document
            self.assertFalse(document.should_send(-1))
            published.offer(1)
            self.assertFalse(document.should_send(-1))
            await trio.sleep(BOUND_S)
            self.assertTrue(document.should_send(-1))
            self.assertFalse(document.should_send(1))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_in_a_storm_only_a_daemon_that_is_far_behind_is_owed_the_document(self) -> None:
        async def run() -> None:
            published = PublishedDocument()
            for version in range(1, 21):
                published.offer(version)
                await trio.sleep(STORM_GAP_S)
            self.assertFalse(published.document.should_send(19))
            self.assertTrue(published.document.should_send(20 - int(BOUND_S / STORM_GAP_S) - 1))

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
