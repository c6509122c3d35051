"""An evaluator without evidence moves no traffic, and one that is overruled follows the record."""

from __future__ import annotations

import unittest

import msgspec

from fulmarstile_services.rollouts.counter import EvidenceCounter
from fulmarstile_services.rollouts.evaluator import RolloutEvaluator
from fulmarstile_services.rollouts.model import RolloutOrder, ServicePool, ServingUpstream
from fulmarstile_testing.virtual_rollout import BOUNDS
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

DAEMONS = {"d-1": "v1", "d-2": "v1", "d-3": "v2", "d-4": "v2"}
POOL = ServicePool(tuple(ServingUpstream(name, name, DAEMONS[name], 4) for name in DAEMONS))


class EvaluatorRun:
    """Drives an evaluator with four daemons, each of which gets a request every 0.25 s."""

    def __init__(self, duration_s: float = 12.0, without: tuple[str, ...] = ()) -> None:
        self.pool = ServicePool(
            tuple(each for each in POOL.upstreams if each.daemon not in without)
        )
        order = RolloutOrder("planning", "v2", duration_s, 7)
        self.evaluator = RolloutEvaluator(order, BOUNDS, 100.0)
        self.counters = {
            name: EvidenceCounter(name, 1, name, 5, version) for name, version in DAEMONS.items()
        }
        self.states: list[RolloutState] = []
        self.without = without

    def run(self, until_s: float, failing: tuple[str, ...] = (), silent: bool = False) -> None:
        age_s = len(self.states) / 4
        while age_s < until_s:
            for name, counter in self.counters.items():
                if name in self.without:
                    continue
                count = counter.on_failed if name in failing else counter.on_completed
                count("read", 0.01)
                if not silent:
                    self.evaluator.on_evidence(counter.export(age_s, 0, 0), 100.0 + age_s)
            self.states.append(self.evaluator.evaluate(self.pool, 100.0 + age_s))
            age_s = len(self.states) / 4


class EvaluatorTest(unittest.TestCase):
    def test_without_evidence_no_traffic_moves_and_the_order_is_rolled_back(self) -> None:
        run = EvaluatorRun()
        run.run(12.5, silent=True)
        self.assertEqual({state.share for state in run.states}, {0.0})
        self.assertEqual(run.states[-1].phase, RolloutPhase.ROLLED_BACK)
        self.assertEqual(run.states[-1].reason, "no-evidence")

    def test_canaries_stop_when_the_evidence_stops(self) -> None:
        run = EvaluatorRun()
        run.run(4.0)
        self.assertGreater(max(state.share for state in run.states), 0.0)
        run.run(6.0, silent=True)
        self.assertEqual(run.states[-1].share, 0.0)

    def test_a_promotion_is_announced_half_a_second_ahead_and_never_moved(self) -> None:
        run = EvaluatorRun()
        run.run(12.5)
        announced = [state for state in run.states if state.promote_at_ms]
        self.assertEqual(len({state.promote_at_ms for state in announced}), 1)
        self.assertGreaterEqual(announced[0].promote_at_ms - announced[0].age_ms, 500)
        self.assertEqual(run.states[-1].phase, RolloutPhase.COMPLETED)
        self.assertFalse(run.states[-1].is_recorded)

    def test_one_failing_upstream_does_not_roll_back_but_two_do(self) -> None:
        run = EvaluatorRun()
        run.run(6.0, failing=("d-3",))
        self.assertEqual(run.states[-1].phase, RolloutPhase.CANARY)
        run.run(10.0, failing=("d-3", "d-4"))
        self.assertEqual(run.states[-1].phase, RolloutPhase.ROLLED_BACK)

    def test_a_bad_version_with_a_single_upstream_is_rolled_back(self) -> None:
        run = EvaluatorRun(without=("d-4",))
        run.run(10.0, failing=("d-3",))
        self.assertEqual(run.states[-1].phase, RolloutPhase.ROLLED_BACK)

    def test_the_recorded_decision_stands_against_later_evidence(self) -> None:
        run = EvaluatorRun()
        run.run(1.0)
        run.evaluator.record(RolloutPhase.COMPLETED, "good", 101.0)
        run.run(8.0, failing=("d-3", "d-4"))
        self.assertEqual(run.states[-1].phase, RolloutPhase.COMPLETED)
        self.assertTrue(run.states[-1].is_recorded)

    def test_a_roll_back_of_another_evaluator_is_adopted_and_another_order_is_ignored(self) -> None:
        run = EvaluatorRun()
        run.run(1.0)
        back = msgspec.structs.replace(run.states[-1], phase=RolloutPhase.ROLLED_BACK)
        other = msgspec.structs.replace(back, order_offset=8)
        run.evaluator.merge_state(other, 101.0)
        self.assertEqual(run.evaluator.state(101.0).phase, RolloutPhase.CANARY)
        run.evaluator.merge_state(back, 101.0)
        self.assertEqual(run.evaluator.evaluate(POOL, 101.0).phase, RolloutPhase.ROLLED_BACK)

    def test_the_earliest_order_time_that_is_heard_of_counts(self) -> None:
        run = EvaluatorRun()
        run.run(1.0)
        run.evaluator.merge_state(msgspec.structs.replace(run.states[-1], age_ms=3000), 101.0)
        self.assertEqual(run.evaluator.state(101.0).age_ms, 3000)
