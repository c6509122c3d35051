"""Retries stay safe and within their budget, even through deep chains of calls."""

from __future__ import annotations

import random
import unittest

from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries import Attempt, FixedRetries, RetryBudgets, RetrySettings
from fulmarstile_config.document import RetryRule
from fulmarstile_testing.builders.calls import make_route
from fulmarstile_testing.virtual_chain import VirtualChain
from fulmarstile_wire.verdict import Verdict

DEPTH = 17
FAILING = 1 / 3
MAX_AMPLIFICATION = 1.1
CALLS = 3_000
RULE = RetryRule("standard", attempts=3, budget_percent=10.0, hedge_after_ms=20)


def make_budgets(**settings) -> RetryBudgets:
    return RetryBudgets(RetrySettings(**settings), random.Random(1))


def decide_retry(policy, route, verdict, attempt=None, reason=RefusalReason.CONNECTION_LOST):
    return policy.decide_retry(route, attempt or Attempt(), verdict, reason, 0.0, 5.0)


class AmplificationTest(unittest.TestCase):
    """Load at every depth while upstreams fail."""

    def _measure_amplification(self, make_policy, seed: int, failing_before_run: float) -> float:
        """Returns the largest number of attempts at any hop, divided by the number of calls."""
        chain = VirtualChain(DEPTH, make_policy, RULE, seed)
        chain.failing = FAILING
        chain.failing_before_run = failing_before_run
        for _ in range(CALLS):
            chain.call()
        return max(chain.attempts) / CALLS

    def test_deep_chain_stays_within_the_budget_while_a_third_of_attempts_fail(self):
        for failing_before_run in (0.0, 0.5, 0.9):
            for seed in range(3):
                amplification = self._measure_amplification(make_budgets, seed, failing_before_run)
                with self.subTest(seed=seed, failing_before_run=failing_before_run):
                    self.assertLessEqual(amplification, MAX_AMPLIFICATION)

    def test_failures_of_only_the_last_hop_are_not_multiplied_through_the_chain(self):
        chain = VirtualChain(DEPTH, make_budgets, RULE, 1)
        for _ in range(CALLS):
            chain.failing = 0.0
            chain.call()
        self.assertEqual(max(chain.attempts), CALLS)
        chain = LastHopFailing(DEPTH, make_budgets, RULE, 1)
        for _ in range(CALLS):
            chain.call()
        self.assertGreater(max(chain.attempts), CALLS)
        self.assertLessEqual(max(chain.attempts) / CALLS, MAX_AMPLIFICATION)

    def test_fixed_retries_baseline_multiplies_the_load(self):
        chain = VirtualChain(6, lambda: FixedRetries(3), RULE, 1)
        chain.failing = FAILING
        chain.failing_before_run = 0.0
        for _ in range(200):
            chain.call()
        self.assertGreater(max(chain.attempts) / 200, 3 * MAX_AMPLIFICATION)


class LastHopFailing(VirtualChain):
    """Chain in which only the last service fails."""

    def _try(self, hop, attempt):
        self.failing = FAILING if hop == len(self.attempts) - 1 else 0.0
        return super()._try(hop, attempt)


class RetryDecisionTest(unittest.TestCase):
    """Which attempts may be retried or hedged."""

    def setUp(self):
        self.policy = make_budgets()
        self.read = make_route(name="read", retry=RULE, idempotent=True)
        self.write = make_route(name="write", retry=RULE)
        self.charge = make_route(name="charge", retry=RULE, idempotent=True, at_most_once=True)
        for route in (self.read, self.write, self.charge):
            for _ in range(100):
                self.policy.on_call(route, Attempt(), 0.0)

    def test_request_that_may_have_run_is_retried_only_if_idempotent(self):
        self.assertTrue(decide_retry(self.policy, self.read, Verdict.MAY_HAVE_RUN).retry)
        self.assertFalse(decide_retry(self.policy, self.write, Verdict.MAY_HAVE_RUN).retry)
        self.assertFalse(decide_retry(self.policy, self.charge, Verdict.MAY_HAVE_RUN).retry)

    def test_request_that_was_not_run_is_retried_on_every_route(self):
        for route in (self.read, self.write, self.charge):
            self.assertTrue(decide_retry(self.policy, route, Verdict.NOT_RUN).retry)

    def test_request_that_ran_or_has_a_final_reason_is_never_retried(self):
        self.assertFalse(decide_retry(self.policy, self.read, Verdict.RAN).retry)
        for reason in (RefusalReason.KEY_IN_PROGRESS, RefusalReason.RATE_LIMITED):
            decision = decide_retry(self.policy, self.read, Verdict.NOT_RUN, reason=reason)
            self.assertFalse(decision.retry)

    def test_call_that_is_itself_a_retry_is_not_retried(self):
        header_values = (("2", "1"), ("1", "0"), ("x", ""), ("", "-1"), ("2", ""), ("", "0"))
        for attempt_value, budget_value in header_values:
            attempt = self.policy.make_first_attempt(attempt_value, budget_value)
            decision = decide_retry(self.policy, self.read, Verdict.NOT_RUN, attempt)
            with self.subTest(attempt=attempt_value, budget=budget_value):
                self.assertFalse(decision.retry)

    def test_inner_hop_retries_only_requests_that_were_not_run(self):
        for attempt_value, budget_value in (("1", "1"), ("1", ""), ("", "1")):
            policy = RetryBudgets(RetrySettings(), random.Random(1))
            inner = policy.make_first_attempt(attempt_value, budget_value)
            with self.subTest(attempt=attempt_value, budget=budget_value):
                self.assertFalse(decide_retry(policy, self.read, Verdict.MAY_HAVE_RUN, inner).retry)
                self.assertTrue(decide_retry(policy, self.read, Verdict.NOT_RUN, inner).retry)

    def test_retry_that_would_pass_the_deadline_is_not_made(self):
        decision = self.policy.decide_retry(
            self.read, Attempt(), Verdict.NOT_RUN, RefusalReason.QUEUE_FULL, 0.0, 0.0
        )
        self.assertFalse(decision.retry)

    def test_only_idempotent_reads_are_hedged_within_the_budget(self):
        first = Attempt()
        self.assertEqual(self.policy.decide_hedge(self.read, first, "GET", 0.0, 1.0), 0.02)
        self.assertIsNone(self.policy.decide_hedge(self.read, first, "POST", 0.0, 1.0))
        self.assertIsNone(self.policy.decide_hedge(self.write, first, "GET", 0.0, 1.0))
        self.assertIsNone(self.policy.decide_hedge(self.charge, first, "GET", 0.0, 1.0))
        hedges = sum(self.policy.start_hedge(self.read, first, 0.0) for _ in range(100))
        self.assertEqual(hedges, 5)
