"""Goodput, fairness and priorities under overload, in virtual time."""

from __future__ import annotations

import unittest

from fulmarstile_calls.admission import (
    AdmissionSettings,
    FairAdmission,
    FifoAdmission,
    UnboundedAdmission,
)
from fulmarstile_config.document import Priority
from fulmarstile_testing.virtual_upstream import Load, LoadResult, VirtualUpstream

SETTINGS = AdmissionSettings(slots=10, queue_limit=50, connections=130)
CAPACITY_CALLS_PER_S = 500
"""Ten slots at 20 ms a request."""
DURATION_S = 30
MAX_GOODPUT_CHANGE = 0.05
MAX_P99_FACTOR = 2.0
MIN_OVERLOAD_GOODPUT = 0.9
MAX_REFUSAL_S = 1.0


def run_loads(admission_type, *loads: Load, seed: int = 1) -> dict[str, LoadResult]:
    return VirtualUpstream(admission_type(SETTINGS), seed).run(loads, DURATION_S)


def total_good(results: dict[str, LoadResult]) -> float:
    return sum(result.good for result in results.values()) / DURATION_S


class FairnessTest(unittest.TestCase):
    """A flood of one customer's requests does not affect the other customers."""

    def _compare(self, admission_type, seed: int) -> tuple[float, float]:
        """Returns the loss of goodput and the growth of the 99th percentile for customer a."""
        share = CAPACITY_CALLS_PER_S / 4
        others = [Load(name, 0.8 * share) for name in "abc"]
        calm = run_loads(admission_type, *others, Load("d", 0.8 * share), seed=seed)["a"]
        flood = run_loads(admission_type, *others, Load("d", 10 * share), seed=seed)["a"]
        calm_rate = calm.good / calm.offered
        flood_rate = flood.good / flood.offered
        return 1 - flood_rate / calm_rate, flood.p99_s / calm.p99_s

    def test_customer_at_ten_times_its_share_does_not_affect_another(self):
        for seed in range(3):
            change, factor = self._compare(FairAdmission, seed)
            with self.subTest(seed=seed):
                self.assertLessEqual(change, MAX_GOODPUT_CHANGE)
                self.assertLessEqual(factor, MAX_P99_FACTOR)

    def test_fifo_baseline_lets_the_flood_affect_another(self):
        change, _ = self._compare(FifoAdmission, 0)
        self.assertGreater(change, MAX_GOODPUT_CHANGE)

    def test_weights_divide_the_slots_under_overload(self):
        flood = 2 * CAPACITY_CALLS_PER_S
        results = run_loads(FairAdmission, Load("a", flood, weight=3.0), Load("b", flood))
        self.assertAlmostEqual(results["a"].good / results["b"].good, 3.0, delta=0.3)

    def test_customer_with_slow_requests_is_charged_for_the_slot_time(self):
        flood = 2 * CAPACITY_CALLS_PER_S
        results = run_loads(FairAdmission, Load("a", flood, service_s=0.1), Load("b", flood))
        self.assertAlmostEqual(results["b"].good / results["a"].good, 5.0, delta=1.0)


class OverloadTest(unittest.TestCase):
    """Overload leads to refusals, not to a loss of goodput."""

    def test_goodput_at_three_times_overload_stays_near_capacity(self):
        for timeout_s in (0.06, 0.2, 1.0, 10.0):
            loads = [Load(name, CAPACITY_CALLS_PER_S, timeout_s=timeout_s) for name in "abc"]
            results = run_loads(FairAdmission, *loads)
            with self.subTest(timeout_s=timeout_s):
                minimum = MIN_OVERLOAD_GOODPUT * CAPACITY_CALLS_PER_S
                self.assertGreaterEqual(total_good(results), minimum)

    def test_unbounded_baseline_collapses_at_three_times_overload(self):
        loads = [Load(name, CAPACITY_CALLS_PER_S) for name in "abc"]
        results = run_loads(UnboundedAdmission, *loads)
        self.assertLess(total_good(results), MIN_OVERLOAD_GOODPUT * CAPACITY_CALLS_PER_S)

    def test_retry_storm_is_shed_without_collapse(self):
        loads = [Load(name, CAPACITY_CALLS_PER_S / 2, retries=8) for name in "abcd"]
        results = run_loads(FairAdmission, *loads)
        minimum = MIN_OVERLOAD_GOODPUT * CAPACITY_CALLS_PER_S
        self.assertGreaterEqual(total_good(results), minimum)

    def test_refusals_are_answered_before_the_deadline(self):
        results = run_loads(FairAdmission, Load("a", 3 * CAPACITY_CALLS_PER_S, timeout_s=0.1))
        self.assertGreater(results["a"].refused, 0)
        self.assertLess(results["a"].slowest_refusal_s, 0.1)


class PriorityTest(unittest.TestCase):
    """Priority classes of one customer."""

    def test_critical_requests_are_served_first_in_a_flood_of_low_ones(self):
        critical = Load("a", 0.2 * CAPACITY_CALLS_PER_S, priority=Priority.CRITICAL)
        low = Load("a", 3 * CAPACITY_CALLS_PER_S, priority=Priority.LOW)
        alone = run_loads(FairAdmission, critical)["a/critical"]
        flooded = run_loads(FairAdmission, critical, low)["a/critical"]
        self.assertGreaterEqual(flooded.good / flooded.offered, 1 - MAX_GOODPUT_CHANGE)
        self.assertLessEqual(flooded.p99_s, MAX_P99_FACTOR * alone.p99_s)

    def test_low_requests_are_not_starved_by_a_flood_of_critical_ones(self):
        critical = Load("a", 3 * CAPACITY_CALLS_PER_S, priority=Priority.CRITICAL)
        low = Load("a", 0.2 * CAPACITY_CALLS_PER_S, priority=Priority.LOW)
        results = run_loads(FairAdmission, critical, low)
        self.assertGreater(results["a/low"].good, 0.02 * total_good(results) * DURATION_S)
