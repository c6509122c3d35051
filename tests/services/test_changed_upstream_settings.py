"""A changed address or connection limit of an upstream applies to the incarnation that runs."""

from __future__ import annotations

import unittest
from dataclasses import replace

import trio

from fulmarstile_services.document import ServiceDefinition
from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream

TIMEOUT_S = 10.0
DOCUMENT = make_document(make_route(timeout_s=20.0, target_latency_s=20.0))
WAIT_MS = 20_000
SLOTS = 4
"""Slots that the upstreams of a mesh announce."""


def limit_connections(version: int, limit: int):
    """Makes a version of the document with another connection limit."""
    services = {"shop": ServiceDefinition("shop", "/health", limit)}
    return replace(DOCUMENT, version=version, services=services)


class ChangedAddressTest(unittest.TestCase):
    def test_later_requests_go_to_the_new_address_and_one_in_flight_is_answered(self) -> None:
        async def run() -> None:
            async with (
                serve_mesh("shop", document=DOCUMENT) as mesh,
                trio.open_nursery() as nursery,
            ):
                node = mesh.nodes[0]
                moved = ServiceUpstream(HEADER_NAMES, node.upstream.upstream_id)
                nursery.start_soon(moved.serve)
                with trio.fail_after(TIMEOUT_S):
                    async with ServiceClient(await connect(node.address)) as client:
                        await client.send("/a?delay_ms=500", wait_ms=WAIT_MS)
                        while not node.upstream.record.running:
                            await trio.sleep(0.01)
                        settings = replace(node.platform.settings, upstream_address=moved.address)
                        node.platform.settings = settings
                        node.daemon._reloader.reload()
                        later = await node.call("/a", request_id="request-2")
                        self.assertEqual(later.status, 200)
                        self.assertEqual((await client.receive()).status, 200)
                self.assertEqual(node.upstream.record.count_runs("request-2"), 0)
                self.assertEqual(moved.record.count_runs("request-2"), 1)
                nursery.cancel_scope.cancel()

        trio.run(run)


class ChangedLimitTest(unittest.TestCase):
    def play(self, limits: tuple[int, int], requests: int) -> int:
        """Changes the connection limit, then sends requests at once.

        Returns:
            The number of requests that the upstream ran at once.
        """

        async def run() -> int:
            document = limit_connections(1, limits[0])
            async with serve_mesh("shop", document=document) as mesh:
                node = mesh.nodes[0]
                with trio.fail_after(TIMEOUT_S):
                    mesh.put_document(limit_connections(2, limits[1]))
                    while node.daemon.dump().document_version < 2:
                        await trio.sleep(0.01)
                    statuses: list[int] = []

                    async def call(number: int) -> None:
                        target = f"/a?delay_ms=200&number={number}"
                        answer = await node.call(target, request_id=f"r{number}", wait_ms=WAIT_MS)
                        statuses.append(answer.status)

                    async with trio.open_nursery() as nursery:
                        for number in range(requests):
                            nursery.start_soon(call, number)
                self.assertEqual(statuses, [200] * requests)
                return node.upstream.record.max_running

        return trio.run(run)

    def test_a_lower_limit_is_kept(self) -> None:
        self.assertEqual(self.play((100, 2), SLOTS), 2)

    def test_a_higher_limit_is_used(self) -> None:
        self.assertEqual(self.play((1, 100), SLOTS), SLOTS)


if __name__ == "__main__":
    unittest.main()
