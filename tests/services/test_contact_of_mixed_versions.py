"""Contact to the store is not missed beside daemons that do not tell of theirs."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import msgspec
import trio

from fulmarstile_testing.virtual_documents import VirtualDocumentFleet, run_document_fleet

if TYPE_CHECKING:
    from fulmarstile_wire.documents import DocumentReply, DocumentRequest
    from fulmarstile_wire.services import Member

SIZE = 12
NEW = ("d-0", "d-3")
"""Daemons of the present version; the others are of an earlier one."""
CALM_S = 10.0


class OlderDaemonsTest(unittest.TestCase):
    def test_a_daemon_whose_reader_is_of_an_earlier_version_is_not_silent_in_calm(self) -> None:
        """Guards against 503 for good in place of 404 and 401 while daemons are replaced."""
        silent: set[str] = set()

        async def run(fleet: VirtualDocumentFleet) -> None:
            query = fleet.query

            async def query_older(
                member: Member, request: DocumentRequest, timeout_s: float
            ) -> DocumentReply:
                reply = await query(member, request, timeout_s)
                if member.name in NEW:
                    return reply
                return msgspec.structs.replace(reply, heard_ms=None)

            fleet.query = query_older
            fleet.publish()
            await trio.sleep(CALM_S)
            for name in NEW:
                node = fleet.nodes[name]
                self.assertEqual(node.document.version, 1)
                if node.document.contact.is_silent(node.read_clock()):
                    silent.add(name)

        run_document_fleet(SIZE, 0.0, run)
        self.assertEqual(silent, set())


if __name__ == "__main__":
    unittest.main()
