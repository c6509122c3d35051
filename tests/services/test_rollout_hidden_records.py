"""A decision about a roll-out stands, also if a read of the newest records lacks it."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._rollout_recorder import RolloutRecorder
from fulmarstile_daemon.services._rollout_records import (
    ROLLOUTS_TOPIC,
    RolloutDecision,
    decode_decision,
    encode_decision,
)
from fulmarstile_testing.builders.rollouts import RolloutKnowledge
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.fakes.odd_keyed_log import OddKeyedLog
from fulmarstile_testing.fakes.service_platform import STATUS_TOPIC, FakePlatform
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Callable

ORDER_OFFSET = 7
RECORDED_S = 10.0
"""Time within which a decision must be recorded, in seconds."""
READS_PER_S = 2_000 / 100
"""Reads a second of which the store's limit leaves each of a hundred daemons its share."""


class HiddenDecisionTest(unittest.TestCase):
    """The store holds that the roll-out was rolled back, but its newest records lack that."""

    def setUp(self) -> None:
        self.store = OddKeyedLog()
        self.put_decision("stock", 3, RolloutPhase.COMPLETED, ())
        self.put_decision("shop", ORDER_OFFSET, RolloutPhase.ROLLED_BACK, ("v2",))
        self.store.hidden.add(1)
        self.knowledge = RolloutKnowledge()
        self.rollouts = self.knowledge.rollouts

    def put_decision(
        self, service: str, order_offset: int, phase: RolloutPhase, excluded: tuple[str, ...]
    ) -> None:
        decision = RolloutDecision(
            service=service,
            order_offset=order_offset,
            target_version="v2",
            phase=phase,
            reason="",
            decided_by="other",
            excluded=excluded,
        )
        self.store.put(ROLLOUTS_TOPIC, service, encode_decision(decision))

    def run_recorder(self, start: Callable[[RolloutRecorder], None]) -> None:
        async def run() -> None:
            platform = FakePlatform(make_node_settings("d-1", "shop", "a", ""), self.store, {})
            recorder = RolloutRecorder(
                "d-1", self.rollouts, platform, random.Random(1), self.knowledge.log
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(recorder.run, self.store)
                start(recorder)
                await trio.sleep(RECORDED_S)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def record_completion(self) -> list[RolloutPhase]:
        """Lets an evaluator record a completion; returns the decisions about the service."""
        rollout = self.knowledge.order(offset=ORDER_OFFSET)
        now = self.rollouts.now()
        rollout.proposal = rollout.make_state(RolloutPhase.COMPLETED, "", now)
        self.run_recorder(lambda recorder: recorder.record(rollout))
        records = self.store.list_records(ROLLOUTS_TOPIC)
        return [decode_decision(record).phase for record in records if record.key == "shop"]

    def test_a_decision_that_the_newest_records_lack_is_not_replaced(self) -> None:
        self.assertEqual(self.record_completion(), [RolloutPhase.ROLLED_BACK])
        rollout = self.rollouts.find("shop")
        assert rollout is not None
        self.assertIs(rollout.phase, RolloutPhase.ROLLED_BACK)
        self.assertEqual(self.store.list_records(STATUS_TOPIC), [])

    def test_a_withdrawn_version_stays_withdrawn_after_a_start(self) -> None:
        self.run_recorder(lambda _: None)
        self.assertFalse(self.rollouts.rules("shop").allows("v2"))

    def test_a_decision_is_recorded_where_records_behind_the_newest_have_expired(self) -> None:
        self.store.put(ROLLOUTS_TOPIC, "removed", b"")
        self.store.hidden = {2}
        self.store.forget_history(ROLLOUTS_TOPIC)
        rollout = self.knowledge.order(offset=ORDER_OFFSET + 1)
        rollout.proposal = rollout.make_state(RolloutPhase.COMPLETED, "", self.rollouts.now())
        self.run_recorder(lambda recorder: recorder.record(rollout))
        newest = decode_decision(self.store.list_records(ROLLOUTS_TOPIC)[-1])
        self.assertEqual(newest.order_offset, ORDER_OFFSET + 1)

    def test_nothing_is_recorded_while_the_store_does_not_return_what_it_has(self) -> None:
        for claims_more in (False, True):
            with self.subTest(claims_more):
                self.setUp()
                self.store.is_hasty, self.store.claims_more = True, claims_more
                self.assertEqual(self.record_completion(), [RolloutPhase.ROLLED_BACK])
                self.assertLess(self.store.calls / RECORDED_S, READS_PER_S)


if __name__ == "__main__":
    unittest.main()
