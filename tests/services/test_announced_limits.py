"""An upstream gets no more requests than the rate limit that it names, summed over all daemons."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

if TYPE_CHECKING:
    from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode

LIMIT_PER_S = 8.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5.0
"""Requests that the users' rule allows in a window."""
INTERVAL_S = 0.04
"""Time between the requests of each entry daemon, in seconds."""


async def send_calls(node: ServiceNode, for_s: float, statuses: list[int]) -> None:
    """Sends requests at an even rate, each on its own connection."""

    async def call(number: int) -> None:
        answer = await node.call("/a", request_id=f"{node.address}-{number}")
        statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        for number in range(int(for_s / INTERVAL_S)):
            nursery.start_soon(call, number)
            await trio.sleep(INTERVAL_S)


def count_most(node: ServiceNode, since: float) -> int:
    """Returns the most requests that an upstream got in a window that begins after a time."""
    times = [each.arrived_at for each in node.upstream.record.requests if each.arrived_at >= since]
    return max(
        (sum(start <= time < start + WINDOW_S for time in times) for start in times), default=0
    )


async def load(mesh: ServiceMesh, entries: list[ServiceNode], for_s: float) -> list[int]:
    """Sends requests at several daemons at once; returns the statuses of the answers."""
    statuses: list[int] = []
    async with trio.open_nursery() as nursery:
        for entry in entries:
            nursery.start_soon(send_calls, entry, for_s, statuses)
    return statuses


class AnnouncedLimitTest(unittest.TestCase):
    def test_an_upstream_gets_no_more_than_its_limit_from_all_daemons_together(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "web", "web", "shop", "shop") as mesh:
                limited = mesh.nodes[3]
                limited.upstream.rate_limit = LIMIT_PER_S
                await load(mesh, mesh.nodes[:3], 0.5)
                since = trio.current_time()
                statuses = await load(mesh, mesh.nodes[:3], WINDOW_S)
                self.assertLessEqual(count_most(limited, since), ALLOWED)
                self.assertGreater(len(limited.upstream.record.requests), 0)
                self.assertEqual(set(statuses), {200})

        trio.run(run)

    def test_a_limit_holds_when_the_daemon_beside_its_upstream_restarts(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "web", "shop") as mesh:
                limited = mesh.nodes[2]
                limited.upstream.rate_limit = 1.0
                await load(mesh, mesh.nodes[:2], 0.3)
                mesh.set_store_down(True)
                await limited.kill()
                since = trio.current_time()
                again = await mesh.start_node(
                    "daemon-3", upstream=limited.upstream, earlier=limited, announced=False
                )
                await again.announce(sequence=2)
                await again.announce(sequence=3)
                statuses = await load(mesh, mesh.nodes[:2], 1.5)
                self.assertLessEqual(count_most(limited, since), 1.5 * 1.0 * 4.0 + 5.0)
                self.assertIn(200, statuses)

        trio.run(run)

    def test_what_exceeds_the_limit_is_refused_as_not_run_with_a_retry_delay(self) -> None:
        async def run() -> None:
            route = make_route(timeout_s=5.0)
            async with serve_mesh("web", "shop", document=make_document(route)) as mesh:
                limited = mesh.nodes[1]
                limited.upstream.rate_limit = 2.0
                await load(mesh, mesh.nodes[:1], 0.2)
                statuses = await load(mesh, mesh.nodes[:1], 1.0)
                self.assertEqual(set(statuses), {200, 503})
                answers = [
                    await mesh.nodes[0].call("/a", request_id=f"late-{number}", wait_ms=5_000)
                    for number in range(5)
                ]
                refused = [answer for answer in answers if answer.status == 503]
                self.assertTrue(refused)
                self.assertTrue(all(float(answer.headers[b"retry-after"]) for answer in refused))

        trio.run(run)

    def test_a_large_body_is_refused_before_it_is_sent(self) -> None:
        async def run() -> None:
            document = make_document(make_route(timeout_s=10.0, target_latency_s=1.2))
            async with serve_mesh("web", "shop", document=document, link_kbps=8_000) as mesh:
                limited = mesh.nodes[1]
                limited.upstream.rate_limit = 0.25
                for number in range(2):
                    await mesh.nodes[0].call("/a", request_id=f"first-{number}")
                offers = []
                limited.daemon.body_admission.offer = lambda *offer: offers.append(offer)
                answer = await mesh.nodes[0].call("/a", "POST", body=b"x" * 200_000)
                self.assertEqual((answer.status, offers), (503, []))
                self.assertIn(b"rate-limited", answer.body)

        trio.run(run)

    def test_a_limit_ends_when_responses_no_longer_name_it(self) -> None:
        async def run() -> None:
            async with serve_mesh("web", "shop") as mesh:
                limited = mesh.nodes[1]
                limited.upstream.rate_limit = 4.0
                await load(mesh, mesh.nodes[:1], 0.5)
                limited.upstream.rate_limit = None
                await load(mesh, mesh.nodes[:1], 1.5)
                statuses = await load(mesh, mesh.nodes[:1], 0.5)
                self.assertEqual(set(statuses), {200})

        trio.run(run)
