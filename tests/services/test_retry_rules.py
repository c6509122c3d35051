"""A request is sent again only where that is safe and paid for."""

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


class RetryRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(ratio=0.2, burst=50.0)
        self.rules = RetryPolicy(self.budget)
        self.record = AttemptHistory()

    def decide(self, route, outcome: HopOutcome, left_s: float = 0.5) -> bool:
        self.record.add_outcome(outcome)
        return self.rules.decide(route, "shop", self.record, outcome, left_s).retry

    def test_what_may_have_run_is_not_sent_again_unless_idempotent(self) -> None:
        self.assertFalse(self.decide(ONCE, LOST))

    def test_an_idempotent_request_is_sent_again(self) -> None:
        self.assertTrue(self.decide(IDEMPOTENT, LOST))

    def test_a_later_refusal_does_not_undo_that_it_may_have_run(self) -> None:
        self.record.add_outcome(LOST)
        self.assertFalse(self.decide(ONCE, REFUSED))

    def test_refusals_that_no_upstream_saw_cost_nothing(self) -> None:
        before = self.budget.tokens("shop")
        self.assertTrue(self.decide(ONCE, REFUSED))
        self.assertEqual(self.budget.tokens("shop"), before)

    def test_refusals_end(self) -> None:
        choices = [self.decide(ONCE, REFUSED) for _ in range(MAX_URGENT_REFUSALS)]
        self.assertFalse(choices[-1])

    def test_upstreams_that_saw_it_are_bounded_by_the_route(self) -> None:
        self.assertTrue(self.decide(IDEMPOTENT, REJECTED))
        self.assertFalse(self.decide(IDEMPOTENT, REJECTED))

    def test_nothing_is_sent_again_without_time(self) -> None:
        self.assertFalse(self.decide(IDEMPOTENT, REFUSED, left_s=0.001))


class RetryBudgetTest(unittest.TestCase):
    def test_all_daemons_together_stay_within_ratio_and_burst(self) -> None:
        for count in (1, 14, 89, 720):
            repeats = 0
            for _ in range(count):
                budget = RetryBudget(ratio=0.2, burst=50.0)
                budget.set_daemon_count(count)
                for _ in range(100):
                    budget.on_request("shop")
                    repeats += budget.try_spend("shop")
            self.assertLessEqual(repeats, 0.2 * 100 * count + 50.0)

    def test_services_have_budgets_of_their_own(self) -> None:
        budget = RetryBudget(ratio=0.2, burst=1.0)
        self.assertTrue(budget.try_spend("shop"))
        self.assertFalse(budget.try_spend("shop"))
        self.assertTrue(budget.try_spend("stock"))
