"""A request is retried only if that is safe and within the retry budget."""

from __future__ import annotations

import unittest

from fulmarstile_services.document import Repeatability
from fulmarstile_services.retry_budget import RetryBudget
from fulmarstile_services.retry_policy import MAX_URGENT_REFUSALS, AttemptHistory, RetryPolicy
from fulmarstile_testing.builders.services import make_route
from fulmarstile_wire.services import HopOutcome
from fulmarstile_wire.verdict import Verdict

REFUSED = HopOutcome(Verdict.NOT_RUN, "queue-full")
REJECTED = HopOutcome(Verdict.NOT_RUN, "overloaded", reached_upstream=True)
LOST = HopOutcome(Verdict.MAY_HAVE_RUN, "connection-lost", reached_upstream=True)
ONCE = make_route(repeatability=Repeatability.AT_MOST_ONCE)
IDEMPOTENT = make_route()


class RetryPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(ratio=0.2, burst=50.0)
        self.policy = RetryPolicy(self.budget)
        self.history = AttemptHistory()

    def decide(self, route, outcome: HopOutcome, remaining_s: float = 0.5) -> bool:
        self.history.add_outcome(outcome)
        return self.policy.decide(route, "shop", self.history, outcome, remaining_s).retry

    def test_an_at_most_once_request_that_may_have_run_is_not_retried(self) -> None:
        self.assertFalse(self.decide(ONCE, LOST))

    def test_an_idempotent_request_that_may_have_run_is_retried(self) -> None:
        self.assertTrue(self.decide(IDEMPOTENT, LOST))

    def test_a_later_refusal_does_not_undo_that_an_earlier_attempt_may_have_run(self) -> None:
        self.history.add_outcome(LOST)
        self.assertFalse(self.decide(ONCE, REFUSED))

    def test_retrying_a_request_that_no_upstream_received_is_free(self) -> None:
        before = self.budget.tokens("shop")
        self.assertTrue(self.decide(ONCE, REFUSED))
        self.assertEqual(self.budget.tokens("shop"), before)

    def test_the_number_of_refusals_is_limited(self) -> None:
        choices = [self.decide(ONCE, REFUSED) for _ in range(MAX_URGENT_REFUSALS)]
        self.assertFalse(choices[-1])

    def test_the_route_limits_how_many_upstreams_receive_a_request(self) -> None:
        self.assertTrue(self.decide(IDEMPOTENT, REJECTED))
        self.assertFalse(self.decide(IDEMPOTENT, REJECTED))

    def test_a_request_is_not_retried_shortly_before_its_deadline(self) -> None:
        self.assertFalse(self.decide(IDEMPOTENT, REFUSED, remaining_s=0.001))


class RetryBudgetTest(unittest.TestCase):
    def test_all_daemons_together_stay_within_ratio_and_burst(self) -> None:
        for count in (1, 14, 89, 720):
            retries = 0
            for _ in range(count):
                budget = RetryBudget(ratio=0.2, burst=50.0)
                budget.set_daemon_count(count)
                for _ in range(100):
                    budget.on_request("shop")
                    retries += budget.try_spend("shop")
            self.assertLessEqual(retries, 0.2 * 100 * count + 50.0)

    def test_each_service_has_its_own_budget(self) -> None:
        budget = RetryBudget(ratio=0.2, burst=1.0)
        self.assertTrue(budget.try_spend("shop"))
        self.assertFalse(budget.try_spend("shop"))
        self.assertTrue(budget.try_spend("stock"))
