"""Calls go to the upstreams with the shortest wait by the balancer's own measurements."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_calls.balancing import (
    BalancerSettings,
    CallSample,
    RandomBalancer,
    RoundRobinBalancer,
    TwoChoicesBalancer,
)
from fulmarstile_testing.builders.calls import make_endpoint, make_pool
from fulmarstile_testing.virtual_pool import VirtualInstance, VirtualPool

ANY_ZONE = make_pool(prefer_availability_zone=False)
FAILED = CallSample(0.001, failed=True)


def make_balancer(seed: int = 1) -> TwoChoicesBalancer:
    return TwoChoicesBalancer(BalancerSettings(), "be-bru", random.Random(seed))


def run_load(balancers, instances, calls_per_s: float, pool=ANY_ZONE) -> VirtualPool:
    """Runs calls through balancers; only those after a warm-up are counted."""
    virtual_pool = VirtualPool(balancers, instances, 1, pool)
    virtual_pool.run(calls_per_s, 5.0)
    virtual_pool.reset_counts()
    virtual_pool.run(calls_per_s, 20.0)
    return virtual_pool


def local_call_fraction(virtual_pool: VirtualPool) -> float:
    """Returns the share of the calls that went to upstreams in the own availability zone."""
    return (virtual_pool.sent[0] + virtual_pool.sent[3]) / sum(virtual_pool.sent.values())


class SpeedAndSizeTest(unittest.TestCase):
    """Upstreams of different speed and number of slots."""

    def _compare(self, instances) -> tuple[VirtualPool, list[VirtualPool]]:
        chosen = run_load([make_balancer(seed) for seed in range(4)], instances(), 1700.0)
        baselines = [
            run_load([RandomBalancer(random.Random(2))], instances(), 1700.0),
            run_load([RoundRobinBalancer()], instances(), 1700.0),
        ]
        return chosen, baselines

    def test_slow_upstreams_get_fewer_calls_and_none_is_refused(self):
        def make_instances():
            return [VirtualInstance(n, service_s=0.01 * (n + 1)) for n in range(7)]

        chosen, baselines = self._compare(make_instances)
        self.assertEqual(chosen.refused, 0)
        for baseline in baselines:
            self.assertGreater(baseline.refused, 0)
            self.assertLess(chosen.p99_s, baseline.p99_s / 2)

    def test_small_upstreams_get_fewer_calls_and_none_is_refused(self):
        def make_instances():
            return [VirtualInstance(n, slots=(4, 10, 20)[n % 3]) for n in range(6)]

        chosen, baselines = self._compare(make_instances)
        self.assertEqual(chosen.refused, 0)
        for baseline in baselines:
            self.assertGreater(baseline.refused, 0)


class EjectionTest(unittest.TestCase):
    """Failing upstreams are ejected, but never too many at the same time."""

    def test_failing_third_of_the_upstreams_gets_almost_no_calls(self):
        instances = [VirtualInstance(n, failing=1.0 if n < 2 else 0.0) for n in range(6)]
        virtual_pool = run_load([make_balancer()], instances, 1000.0)
        self.assertLess(virtual_pool.failed, 0.01 * virtual_pool.good)

    def test_recovered_upstream_gets_its_share_back(self):
        instances = [VirtualInstance(n, failing=1.0 if n == 0 else 0.0) for n in range(4)]
        virtual_pool = run_load([make_balancer()], instances, 500.0)
        instances[0].failing = 0.0
        virtual_pool.run(500.0, 60.0)
        virtual_pool.reset_counts()
        virtual_pool.run(500.0, 10.0)
        self.assertGreater(virtual_pool.sent[0], 0.15 * virtual_pool.good)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        count=st.integers(min_value=1, max_value=8),
        events=st.lists(
            st.tuples(st.integers(0, 7), st.sampled_from(("fail", "refuse", "succeed", "wait"))),
            max_size=120,
        ),
        excluded=st.sets(st.integers(0, 7)),
    )
    def test_no_reports_ever_empty_a_pool(self, count, events, excluded):
        balancer = make_balancer()
        balancer.replace_endpoints([make_endpoint(n) for n in range(count)], 0.0)
        now = 0.0
        for number, event in events:
            now += 1.0 if event == "wait" else 0.0
            sample = CallSample(0.01, failed=event == "fail", refused=event == "refuse")
            balancer.on_started(f"daemon-{number:03}", now)
            balancer.on_finished(f"daemon-{number:03}", sample, now)
            self.assertLessEqual(balancer.count_ejected("reservations", now), count // 2)
            self.assertIsNotNone(balancer.choose(make_pool(), now))
        exclude = frozenset(f"daemon-{n:03}" for n in excluded)
        chosen = balancer.choose(make_pool(), now, exclude)
        if any(n not in excluded for n in range(count)):
            self.assertIsNotNone(chosen)
            self.assertNotIn(chosen.daemon_id, exclude)
        else:
            self.assertIsNone(chosen)

    def test_refusal_for_lack_of_capacity_diverts_calls_without_an_ejection(self):
        balancer = make_balancer()
        balancer.replace_endpoints([make_endpoint(n) for n in range(2)], 0.0)
        for _ in range(50):
            balancer.on_started("daemon-000", 0.0)
            balancer.on_finished("daemon-000", CallSample(0.0, refused=True), 0.0)
        self.assertEqual(balancer.count_ejected("reservations", 0.0), 0)
        chosen = {balancer.choose(make_pool(), 0.1).daemon_id for _ in range(50)}
        self.assertEqual(chosen, {"daemon-001"})
        later = {balancer.choose(make_pool(), 5.0).daemon_id for _ in range(50)}
        self.assertEqual(later, {"daemon-000", "daemon-001"})


class AvailabilityZoneTest(unittest.TestCase):
    """Upstreams in the own availability zone are preferred while they have capacity."""

    def _run_load(self, calls_per_s: float) -> VirtualPool:
        zones = ("be-bru", "be-ant", "be-lie")
        instances = [VirtualInstance(n, availability_zone=zones[n % 3]) for n in range(6)]
        balancers = [make_balancer(seed) for seed in range(8)]
        return run_load(balancers, instances, calls_per_s, make_pool())

    def test_own_availability_zone_is_preferred_at_low_load(self):
        self.assertGreater(local_call_fraction(self._run_load(500.0)), 0.8)

    def test_calls_spill_over_when_the_own_availability_zone_is_full(self):
        virtual_pool = self._run_load(2200.0)
        self.assertLess(virtual_pool.refused, 0.01 * virtual_pool.good)
        self.assertLess(local_call_fraction(virtual_pool), 0.5)


class SlowStartTest(unittest.TestCase):
    """A new upstream gets its share of the calls gradually."""

    def test_share_of_a_new_upstream_grows(self):
        balancer = make_balancer()
        pool = make_pool(prefer_availability_zone=False, slow_start_ms=10_000)
        instances = [VirtualInstance(n) for n in range(4)]
        virtual_pool = VirtualPool([balancer], instances[:3], 1, pool)
        virtual_pool.run(500.0, 15.0)
        virtual_pool.replace_instances(instances)
        shares = []
        for _ in range(3):
            virtual_pool.reset_counts()
            virtual_pool.run(500.0, 2.0 if not shares else 8.0)
            shares.append(virtual_pool.sent[3] / sum(virtual_pool.sent.values()))
        self.assertLess(shares[0], 0.1)
        self.assertLess(shares[0], shares[1])
        self.assertGreater(shares[2], 0.2)
