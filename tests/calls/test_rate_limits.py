"""Rate limits per customer."""

from __future__ import annotations

import unittest

from fulmarstile_calls.rate_limiter import RateLimiter
from fulmarstile_calls.request import RefusalReason
from fulmarstile_config.document import Limit
from fulmarstile_testing.builders.calls import make_route
from fulmarstile_wire.verdict import Verdict


class RateLimiterTest(unittest.TestCase):
    """Token buckets take changed limits from the document without being refilled."""

    def setUp(self):
        self.limiter = RateLimiter(max_buckets=4)

    def _count_passed(self, route, calls: int, now: float) -> int:
        return sum(self.limiter.check(route, now) is None for _ in range(calls))

    def test_burst_passes_and_the_rest_is_refused_with_a_retry_delay(self):
        route = make_route(limit=Limit("standard", calls_per_s=2.0, burst=5))
        self.assertEqual(self._count_passed(route, 8, 0.0), 5)
        refusal = self.limiter.check(route, 0.0)
        self.assertEqual(
            (refusal.reason, refusal.verdict), (RefusalReason.RATE_LIMITED, Verdict.NOT_RUN)
        )
        self.assertIsNone(self.limiter.check(route, refusal.retry_after_s))

    def test_new_limit_applies_at_once_without_refilling_the_bucket(self):
        before = make_route(limit=Limit("standard", calls_per_s=1.0, burst=5))
        after = make_route(limit=Limit("standard", calls_per_s=100.0, burst=50))
        self.assertEqual(self._count_passed(before, 9, 0.0), 5)
        self.assertEqual(self._count_passed(after, 9, 0.0), 0)
        self.assertEqual(self._count_passed(after, 99, 0.1), 10)

    def test_customers_have_separate_buckets_and_their_number_is_bounded(self):
        limit = Limit("standard", calls_per_s=1.0, burst=1)
        routes = [make_route(customer=f"customer-{n}", limit=limit) for n in range(9)]
        for route in routes:
            self.assertEqual(self._count_passed(route, 2, 0.0), 1)
        self.assertEqual(self.limiter.bucket_count, 4)

    def test_route_without_a_limit_passes_and_a_clock_step_back_adds_no_tokens(self):
        self.assertIsNone(self.limiter.check(make_route(), 0.0))
        route = make_route(limit=Limit("standard", calls_per_s=1.0, burst=1))
        self.assertEqual(self._count_passed(route, 2, 10.0), 1)
        self.assertEqual(self._count_passed(route, 2, 5.0), 0)
