"""Documents take effect in order of their versions, whether from the store or other daemons."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import DOCUMENT_KEY, DOCUMENT_TOPIC

APPLY_S = 2.0
"""Time from the acknowledgement of a version until it must be in force, in seconds."""
QUIET_S = 0.5
"""Time after which a long poll waits for the next record, in seconds."""


async def wait_version(node, version: int) -> None:
    with trio.fail_after(APPLY_S):
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

    def test_a_version_is_not_lost_to_an_older_one_that_the_store_holds_behind_it(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                await trio.sleep(QUIET_S)
                mesh.put_document(make_document(make_route(), version=45))
                mesh.put_document(make_document(make_route(prefix="/old/"), version=44))
                await wait_version(mesh.nodes[0], 45)

        trio.run(run)

    def test_a_version_is_not_lost_to_a_record_behind_it_that_holds_no_document(self) -> None:
        for value in (b"no document", b""):

            async def run(value: bytes = value) -> None:
                async with serve_mesh("shop") as mesh:
                    await trio.sleep(QUIET_S)
                    mesh.put_document(make_document(make_route(), version=45))
                    mesh.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, value)
                    await wait_version(mesh.nodes[0], 45)

            with self.subTest(value):
                trio.run(run)

    def test_a_daemon_that_starts_gets_the_version_that_an_older_one_hides_in_the_store(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                for version in (45, 44):
                    mesh.put_document(make_document(make_route(), version=version))
                    await wait_version(mesh.nodes[0], 45)
                    await trio.sleep(QUIET_S)
                await wait_version(await mesh.start_node("late"), 45)

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
