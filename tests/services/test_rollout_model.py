"""Orders that cannot be carried out are rejected, and states merge alike everywhere."""

from __future__ import annotations

import itertools
import math
import unittest

from fulmarstile_services.rollouts.model import RolloutOrder, RolloutOrderError, merge_states
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState


def build_state(phase: RolloutPhase = RolloutPhase.CANARY, **changes: object) -> RolloutState:
    values = {"service": "planning", "order_offset": 7, "target_version": "v2"}
    values |= {"duration_ms": 12_000, "age_ms": 500, "phase": phase}
    return RolloutState(**(values | changes))


class RolloutOrderTest(unittest.TestCase):
    def test_an_order_that_cannot_be_carried_out_is_rejected(self) -> None:
        for version, duration_s, service in (
            ("", 12.0, "planning"),
            ("v2", 0.0, "planning"),
            ("v2", -1.0, "planning"),
            ("v2", math.nan, "planning"),
            ("v2", math.inf, "planning"),
            ("v2", 12.0, "unknown"),
        ):
            with self.subTest(version=version, duration_s=duration_s, service=service):
                order = RolloutOrder(service, version, duration_s, 7)
                self.assertRaises(RolloutOrderError, order.validate, {"planning"})

    def test_a_valid_order_is_accepted(self) -> None:
        RolloutOrder("planning", "v2", 12.0, 7).validate({"planning"})


class MergeStatesTest(unittest.TestCase):
    def test_states_merge_alike_in_any_order(self) -> None:
        states = [
            None,
            build_state(share=0.1, canaries=("a",)),
            build_state(share=0.2, canaries=("b",), age_ms=700),
            build_state(promote_at_ms=11_200),
            build_state(promote_at_ms=11_300, age_ms=400),
            build_state(RolloutPhase.PROMOTED, promote_at_ms=11_200),
            build_state(RolloutPhase.COMPLETED),
            build_state(RolloutPhase.ROLLED_BACK),
            build_state(RolloutPhase.COMPLETED, is_recorded=True),
            build_state(order_offset=8),
        ]
        for first, second, third in itertools.product(states, repeat=3):
            left = merge_states(merge_states(first, second), third)
            right = merge_states(first, merge_states(third, second))
            self.assertEqual(left, right)

    def test_an_unrecorded_roll_back_outranks_a_promotion_and_an_unrecorded_completion(
        self,
    ) -> None:
        back = build_state(RolloutPhase.ROLLED_BACK)
        for phase in (RolloutPhase.CANARY, RolloutPhase.PROMOTED, RolloutPhase.COMPLETED):
            self.assertEqual(merge_states(build_state(phase), back), back)

    def test_the_recorded_decision_outranks_an_unrecorded_roll_back(self) -> None:
        recorded = build_state(RolloutPhase.COMPLETED, is_recorded=True)
        back = build_state(RolloutPhase.ROLLED_BACK)
        self.assertEqual(merge_states(back, recorded), recorded)

    def test_the_newer_order_replaces_a_final_state(self) -> None:
        old = build_state(RolloutPhase.ROLLED_BACK, is_recorded=True)
        new = build_state(order_offset=8)
        self.assertEqual(merge_states(new, old), new)
