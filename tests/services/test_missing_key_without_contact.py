"""A missing key is not rejected for good while a newer version may need none."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_services.document_contact import MAX_SILENT_S
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_customer, make_document, make_route

CONTACT_S = 1.0


class MissingKeyTest(unittest.TestCase):
    def test_a_missing_key_is_not_rejected_for_good_without_contact(self) -> None:
        document = make_document(
            make_route(prefix="/a/"), customers=(make_customer("baker", "key-1"),)
        )

        async def run() -> None:
            async with serve_mesh("shop", document=document) as mesh:
                node = mesh.nodes[0]
                self.assertEqual((await node.call("/a/b")).status, 401)
                mesh.set_store_down(True)
                await trio.sleep(MAX_SILENT_S + CONTACT_S)
                self.assertEqual((await node.call("/a/b")).status, 503)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
