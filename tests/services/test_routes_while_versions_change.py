"""A route that both versions have never disappears, not even while the newer one is applied."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_services.document import WeightedDestination
from fulmarstile_services.routing_table import RoutingTable
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

VERSIONS = 40
VERSION_GAP_S = 0.02
CALLERS = 4
PATH_FORMS = ("/a/", "/a/?b=/c/", "/a/b//c", "/a//", "/a/./b", "/a/../a", "/a/%2F%61", "/a/b?c?d")
"""Targets that begin with the prefix `/a/` as they are written."""
OTHER_FORMS = ("/a", "/a?b=/a/", "/A/", "/%61/", "//a/", "/b/a/", "/ab/")
"""Targets that don't."""


def make_version(version: int):
    """Makes a version that moves the route, and that has others in one version of two."""
    service = ("shop", "stock")[version % 2]
    destinations = (WeightedDestination(service, 1.0),)
    routes = [make_route(prefix="/a/", destinations=destinations)]
    if version % 2:
        routes.insert(0, make_route(prefix="/a/b/c/"))
        routes.append(make_route(host="other.example", prefix="/a/"))
    return make_document(*routes, version=version)


class RoutesWhileVersionsChangeTest(unittest.TestCase):
    def test_a_route_of_every_version_is_never_missing(self) -> None:
        statuses: list[int] = []

        async def call_until(ended: trio.Event, address: str) -> None:
            async with ServiceClient(await connect(address)) as client:
                while not ended.is_set():
                    statuses.append((await client.call("/a/b")).status)

        async def run() -> None:
            async with serve_mesh("shop", "stock", document=make_version(1)) as mesh:
                ended = trio.Event()
                async with trio.open_nursery() as nursery:
                    for number in range(CALLERS):
                        address = mesh.nodes[number % 2].address
                        nursery.start_soon(call_until, ended, address)
                    for version in range(2, 2 + VERSIONS):
                        mesh.put_document(make_version(version))
                        await trio.sleep(VERSION_GAP_S)
                    ended.set()

        trio.run(run)
        self.assertGreater(len(statuses), VERSIONS)
        self.assertEqual(set(statuses), {200})

    def test_a_path_is_matched_as_it_is_written(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", document=make_version(2)) as mesh:
                (node,) = mesh.nodes
                await node.announce(service="stock", sequence=2)
                for target in (*PATH_FORMS, *OTHER_FORMS):
                    status = (await node.call(target)).status
                    with self.subTest(target):
                        self.assertEqual(status == 404, target in OTHER_FORMS)

        trio.run(run)

    def test_the_longest_prefix_is_that_of_the_request_s_own_host(self) -> None:
        table = RoutingTable(
            make_document(
                make_route(prefix="/"),
                make_route(host="other.example", prefix="/a/b/"),
                make_route(host="other.example", prefix="/c/"),
            )
        )
        found = table.find("shop.example", "/a/b/c")
        self.assertEqual(found and found.prefix, "/")
        self.assertIsNone(table.find("other.example", "/a/"))


if __name__ == "__main__":
    unittest.main()
