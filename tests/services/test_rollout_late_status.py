"""A status that the store writes late doesn't replace a later one."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._rollout_recorder import RolloutRecorder
from fulmarstile_testing.builders.rollouts import RolloutKnowledge
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.fakes.late_keyed_log import LateKeyedLog
from fulmarstile_testing.fakes.service_platform import STATUS_TOPIC, FakePlatform
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._known_rollout import KnownRollout

LATE_S = 3.0
"""Time after which a write without an answer is done, in seconds."""
WRITTEN_S = 5.0
"""Time within which a status must be written, in seconds."""


class LateStatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = LateKeyedLog()
        self.knowledge = RolloutKnowledge()

    def run_recorder(self, scenario: Callable[[RolloutRecorder], Awaitable[None]]) -> None:
        async def run() -> None:
            platform = FakePlatform(make_node_settings("d-1", "shop", "a", ""), self.store, {})
            recorder = RolloutRecorder(
                "d-1", self.knowledge.rollouts, platform, random.Random(1), self.knowledge.log
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(recorder.run, self.store)
                await scenario(recorder)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def complete(self, recorder: RolloutRecorder, rollout: KnownRollout) -> None:
        now = self.knowledge.rollouts.now()
        rollout.proposal = rollout.make_state(RolloutPhase.COMPLETED, "", now)
        recorder.record(rollout)

    def find_status(self) -> str:
        return self.store.list_records(STATUS_TOPIC)[-1].value.decode()

    def test_a_status_done_late_does_not_replace_that_of_the_end(self) -> None:
        """Guards against an operator that waits for a roll-out that has ended."""

        async def scenario(recorder: RolloutRecorder) -> None:
            rollout = self.knowledge.order("v2")
            self.store.late_topics.add(STATUS_TOPIC)
            recorder.report_start(rollout, 0, is_new=True)
            await trio.sleep(0.1)
            self.store.late_topics.clear()
            self.complete(recorder, rollout)
            await trio.sleep(LATE_S)
            self.assertEqual(self.find_status(), "completed v2")
            self.store.do_late()
            await trio.sleep(WRITTEN_S)
            self.assertEqual(self.find_status(), "completed v2")

        self.run_recorder(scenario)

    def test_a_status_done_late_does_not_replace_that_of_the_next_order(self) -> None:
        """Guards against an operator that takes the next roll-out for completed."""

        async def scenario(recorder: RolloutRecorder) -> None:
            rollout = self.knowledge.order("v2", offset=1)
            self.store.late_topics.add(STATUS_TOPIC)
            self.complete(recorder, rollout)
            await trio.sleep(0.1)
            self.store.late_topics.clear()
            recorder.report_start(self.knowledge.order("v3", offset=2), 0, is_new=True)
            await trio.sleep(LATE_S)
            self.assertEqual(self.find_status(), "canary v3")
            self.store.do_late()
            await trio.sleep(WRITTEN_S)
            self.assertEqual(self.find_status(), "canary v3")

        self.run_recorder(scenario)


if __name__ == "__main__":
    unittest.main()
