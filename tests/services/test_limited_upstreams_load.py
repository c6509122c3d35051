"""Under load, the rate limits that upstreams name hold, and what they allow is used."""

from __future__ import annotations

import unittest

from fulmarstile_services.balancing import BalancingSettings
from fulmarstile_testing.virtual_service import PlacingResult, ServiceShape, VirtualService

SHAPE = ServiceShape(4, 12, service_s=0.12, speeds=(0.7, 1.2, 1.2), target_s=0.4, zones=4)
ENTRIES = 12
LIMITED = 2
DURATION_S = 20.0
WINDOW_S = 4.0


class LimitedUpstreamsLoadTest(unittest.TestCase):
    def play(self, load: float, rate_limit: float, seed: int) -> tuple[PlacingResult, float]:
        """Plays a load; returns what callers got and the requests per second at the limited."""
        service = VirtualService(SHAPE, BalancingSettings(), ENTRIES, seed)
        limited = service.limit_upstreams(LIMITED, rate_limit)
        result = service.run(load, DURATION_S)
        for name in limited:
            times = service.starts[name]
            most = max(sum(start <= time < start + WINDOW_S for time in times) for start in times)
            self.assertLessEqual(most, 1.5 * rate_limit * WINDOW_S + 5.0)
        return result, sum(len(service.starts[name]) for name in limited) / DURATION_S

    def test_under_overload_the_limits_hold_and_nearly_all_that_they_allow_is_used(self) -> None:
        for seed in (1, 2, 3):
            result, used_per_s = self.play(load=0.8, rate_limit=16.0, seed=seed)
            self.assertGreater(used_per_s, 0.9 * LIMITED * 16.0)
            self.assertEqual(result.asked, result.in_target + result.late + result.refused)

    def test_tiny_limits_hold_with_many_daemons(self) -> None:
        result, _ = self.play(load=0.8, rate_limit=0.5, seed=1)
        self.assertGreater(result.in_target, 0.3 * result.asked)

    def test_while_the_others_have_room_few_requests_are_refused(self) -> None:
        result, _ = self.play(load=0.2, rate_limit=5.0, seed=1)
        self.assertLess(result.refused + result.late, 0.05 * result.asked)
