"""Every version of a large document is in force on every daemon in time, also on slow links."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_testing.virtual_documents import run_document_fleet

if TYPE_CHECKING:
    from fulmarstile_testing.virtual_documents import VirtualDocumentFleet

APPLY_S = 2.5
"""Time from the acknowledgement of a version until it must be in force, in seconds."""
REVOKE_S = 5.0
SETTLE_S = 4.0
LEFT_BY_REQUESTS = 0.2
"""Share of a link that a document gets beside the requests of a busy VM."""
KBIT = 125
"""Bytes."""


async def publish_series(fleet: VirtualDocumentFleet, for_s: float, gap_s: float) -> list[str]:
    """Publishes versions in quick succession, and lists the daemons that are late at any time."""
    late: list[str] = []

    async def publish() -> None:
        ends_at = trio.current_time() + for_s
        while trio.current_time() < ends_at:
            fleet.publish()
            await trio.sleep(gap_s)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(publish)
        late += await fleet.observe(lambda: fleet.list_late(APPLY_S), for_s + SETTLE_S)
    return late


class DocumentDelayTest(unittest.TestCase):
    def test_versions_in_quick_succession_are_in_force_in_time_where_knowledge_must_be_recent(
        self,
    ) -> None:
        late: list[str] = []

        async def run(fleet: VirtualDocumentFleet) -> None:
            late.extend(await publish_series(fleet, for_s=8.0, gap_s=0.35))

        run_document_fleet(20, REVOKE_S, run, link_bytes_per_s=5_000 * KBIT, document_bytes=170_000)
        self.assertEqual(late[:5], [])

    def test_versions_in_quick_succession_are_in_force_in_time_on_links_that_requests_fill(
        self,
    ) -> None:
        late: list[str] = []

        async def run(fleet: VirtualDocumentFleet) -> None:
            late.extend(await publish_series(fleet, for_s=10.0, gap_s=0.43))

        run_document_fleet(
            20,
            0.0,
            run,
            link_bytes_per_s=LEFT_BY_REQUESTS * 7_000 * KBIT,
            fast_links=2,
            document_bytes=120_000,
        )
        self.assertEqual(late[:5], [])


if __name__ == "__main__":
    unittest.main()
