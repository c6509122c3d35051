"""Requests are queued only while they can be answered usefully; retry delays stay short."""

from __future__ import annotations

import unittest

from fulmarstile_services.wait_policy import retry_after_s, useful_wait_s
from fulmarstile_testing.builders.services import make_route

LARGE = 300_000


class WaitPolicyTest(unittest.TestCase):
    def test_the_least_urgent_requests_wait_only_while_they_can_be_on_time(self) -> None:
        route = make_route(priority=2, target_latency_s=0.4)
        self.assertLess(useful_wait_s(route, 2.5, 0), 0.4)

    def test_an_urgent_request_with_a_short_target_may_be_a_little_late(self) -> None:
        route = make_route(priority=1, target_latency_s=0.06)
        self.assertGreater(useful_wait_s(route, 0.4, 0), 0.06)
        self.assertLessEqual(useful_wait_s(route, 0.4, 0), 0.2)

    def test_a_large_request_waits_longer_than_a_small_one(self) -> None:
        route = make_route(priority=1, target_latency_s=0.3)
        self.assertGreater(useful_wait_s(route, 1.2, LARGE), useful_wait_s(route, 1.2, 0))

    def test_no_request_waits_past_its_deadline(self) -> None:
        for priority in (0, 1, 2):
            route = make_route(priority=priority, target_latency_s=0.4)
            self.assertLessEqual(useful_wait_s(route, 0.01, LARGE), 0.01)

    def test_a_retry_delay_leaves_time_to_answer_the_retry(self) -> None:
        route = make_route(target_latency_s=0.4)
        self.assertLessEqual(retry_after_s(route, 5.0, 2.0), 0.1)
        self.assertGreater(retry_after_s(route, 0.0, 2.0), 0.0)
