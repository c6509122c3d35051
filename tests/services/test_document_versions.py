"""Documents take effect in order of their versions, whether from the store or other daemons."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import DOCUMENT_KEY, DOCUMENT_TOPIC


async def wait_version(node, version: int) -> None:
    with trio.fail_after(5):
        while node.daemon.routes.table is None or node.daemon.routes.table.version != version:
            await trio.sleep(0.01)


class DocumentVersionsTest(unittest.TestCase):
    def test_a_new_version_replaces_the_old_one(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                mesh.put_document(make_document(make_route(prefix="/new/"), version=2))
                await wait_version(mesh.nodes[0], 2)
                self.assertEqual((await mesh.nodes[0].call("/old/")).status, 404)
                self.assertEqual((await mesh.nodes[0].call("/new/a")).status, 200)

        trio.run(run)

    def test_older_versions_and_malformed_documents_are_ignored(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                mesh.put_document(make_document(make_route(), version=5))
                await wait_version(mesh.nodes[0], 5)
                mesh.put_document(make_document(make_route(prefix="/x/"), version=4))
                mesh.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, b"no document")
                mesh.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, b"")
                mesh.put_document(make_document(make_route(), version=6))
                await wait_version(mesh.nodes[0], 6)
                self.assertEqual((await mesh.nodes[0].call("/a")).status, 200)

        trio.run(run)

    def test_a_store_that_lost_its_history_is_read_from_its_newest_records(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                mesh.set_store_down(True)
                for version in range(2, 6):
                    mesh.put_document(make_document(make_route(), version=version))
                mesh.store.forget_history(DOCUMENT_TOPIC)
                mesh.set_store_down(False)
                await wait_version(mesh.nodes[0], 5)

        trio.run(run)

    def test_a_daemon_cut_off_from_the_store_gets_documents_from_other_daemons(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "shop") as mesh:
                cut = mesh.nodes[1]
                cut.platform.store.is_down = True
                cut.platform.store.wake()
                mesh.put_document(make_document(make_route(), version=2))
                await wait_version(mesh.nodes[0], 2)
                await wait_version(cut, 2)

        trio.run(run)
