"""Decisions that the store holds don't undo what is known of a later roll-out."""

from __future__ import annotations

import unittest

from fulmarstile_daemon.services._rollout_records import RolloutDecision
from fulmarstile_testing.builders.rollouts import RolloutKnowledge
from fulmarstile_wire.rollouts import RolloutPhase


def make_decision(order_offset: int, phase: RolloutPhase, target: str) -> RolloutDecision:
    """Makes a decision of another daemon."""
    return RolloutDecision(
        service="shop",
        order_offset=order_offset,
        target_version=target,
        phase=phase,
        reason="",
        decided_by="other",
        excluded=(target,) if phase is RolloutPhase.ROLLED_BACK else (),
        only=target if phase is RolloutPhase.COMPLETED else None,
    )


class EarlierDecisionTest(unittest.TestCase):
    """The store was down when a roll-out ended, so its newest decision is about an earlier one."""

    def setUp(self) -> None:
        self.knowledge = RolloutKnowledge()
        self.knowledge.add_upstreams(old="v1", new="v2")

    def test_a_version_that_was_rolled_back_gets_no_requests(self) -> None:
        self.knowledge.order("v2", offset=2)
        self.knowledge.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.knowledge.choose_names(), ["old"])
        self.knowledge.rollouts.on_decisions([make_decision(1, RolloutPhase.ROLLED_BACK, "v0")])
        self.assertFalse(self.knowledge.rollouts.rules("shop").allows("v2"))
        self.assertEqual(self.knowledge.choose_names(), ["old"])
        self.knowledge.tell(RolloutPhase.ROLLED_BACK, is_recorded=True)
        self.assertEqual(self.knowledge.choose_names(), ["old"])

    def test_a_version_that_was_completed_stays_the_only_one(self) -> None:
        self.knowledge.order("v2", offset=2)
        self.knowledge.tell(RolloutPhase.COMPLETED)
        self.assertEqual(self.knowledge.choose_names(), ["new"])
        self.knowledge.rollouts.on_decisions([make_decision(1, RolloutPhase.COMPLETED, "v1")])
        self.assertEqual(self.knowledge.choose_names(), ["new"])

    def test_a_version_whose_order_was_replaced_gets_no_requests(self) -> None:
        self.knowledge.order("v2", offset=2)
        self.knowledge.tell(RolloutPhase.CANARY)
        self.knowledge.order("v3", offset=3)
        self.assertEqual(self.knowledge.choose_names(), ["old"])
        self.knowledge.rollouts.on_decisions([make_decision(1, RolloutPhase.ROLLED_BACK, "v0")])
        self.assertEqual(self.knowledge.choose_names(), ["old"])
        self.knowledge.tell(RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.knowledge.choose_names(), ["old"])

    def test_a_decision_about_the_newest_order_replaces_what_was_known_before(self) -> None:
        self.knowledge.order("v2", offset=2)
        self.knowledge.tell(RolloutPhase.ROLLED_BACK)
        self.knowledge.rollouts.on_decisions([make_decision(2, RolloutPhase.COMPLETED, "v2")])
        self.assertEqual(self.knowledge.choose_names(), ["new"])

    def test_a_version_in_force_is_not_excluded_by_a_later_order_that_names_it(self) -> None:
        self.knowledge.remove_upstreams("new")
        self.knowledge.order("v1", offset=2)
        self.knowledge.tell(RolloutPhase.ROLLED_BACK)
        self.knowledge.rollouts.on_decisions([make_decision(1, RolloutPhase.COMPLETED, "v1")])
        self.assertEqual(self.knowledge.choose_names(), ["old"])


if __name__ == "__main__":
    unittest.main()
