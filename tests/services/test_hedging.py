"""An idempotent request whose answer is late is also sent to a second upstream."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_services.document import Repeatability
from fulmarstile_services.hedging import HedgeTimer
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

ONCE = make_route(repeatability=Repeatability.AT_MOST_ONCE)


class HedgeTimerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timer = HedgeTimer()

    def test_a_route_without_samples_is_not_hedged(self) -> None:
        self.assertIsNone(self.timer.delay_s(make_route()))

    def test_the_delay_is_above_the_usual_latency(self) -> None:
        for number in range(100):
            self.timer.observe(make_route(), 0.1 + number % 2 * 0.02)
        delay_s = self.timer.delay_s(make_route())
        self.assertGreater(delay_s, 0.12)
        self.assertLess(delay_s, 0.2)

    def test_routes_that_allow_only_one_run_or_attempt_are_never_hedged(self) -> None:
        for _ in range(100):
            self.timer.observe(ONCE, 0.1)
        self.assertIsNone(self.timer.delay_s(ONCE))
        self.assertIsNone(self.timer.delay_s(make_route(max_attempts=1)))


class HedgingTest(unittest.TestCase):
    def test_requests_to_a_silent_upstream_are_answered_by_another(self) -> None:
        async def run() -> None:
            document = make_document(make_route(timeout_s=8.0, target_latency_s=8.0))
            async with serve_mesh("stock", "shop", "shop", document=document) as mesh:
                entry = mesh.nodes[0]
                for number in range(15):
                    await entry.call("/a", request_id=f"r{number}")
                silent = [node.upstream.silent_for for node in mesh.nodes[1:]]
                for number in range(3):
                    request_id = f"late-{number}"
                    silent[number % 2].add(request_id)
                    answer = await entry.call("/a", request_id=request_id, wait_ms=8_000)
                    self.assertEqual(answer.status, 200)

        trio.run(run)
