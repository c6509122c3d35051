"""A changed address of an upstream applies to the incarnation that runs."""

from __future__ import annotations

import unittest
from dataclasses import replace

import trio

from fulmarstile_testing.builders.service_mesh import ServiceClient, connect, serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import ServiceUpstream

TIMEOUT_S = 10.0
DOCUMENT = make_document(make_route(timeout_s=20.0, target_latency_s=20.0))
WAIT_MS = 20_000


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


if __name__ == "__main__":
    unittest.main()
