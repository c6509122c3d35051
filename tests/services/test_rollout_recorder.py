"""Records of roll-outs: a final status is never replaced, and an error doesn't end the daemon."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from unittest.mock import MagicMock

import trio
import trio.testing

from fulmarstile_daemon.services._known_rollout import KnownRollout
from fulmarstile_daemon.services._rollout_recorder import RolloutRecorder
from fulmarstile_daemon.services._rollout_records import (
    ROLLOUTS_TOPIC,
    RolloutDecision,
    encode_decision,
)
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.ports import ReceivedOrder
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import STATUS_TOPIC, FakePlatform
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState

if TYPE_CHECKING:
    from collections.abc import Callable

ORDER = RolloutOrder("shop", "v2", 12.0, 7)


class RolloutRecorderTest(unittest.TestCase):
    def report_start(self, decided_offset: int | None) -> list[str]:
        """Lets an evaluator report the start; returns the statuses in the store."""
        store = FakeKeyedLog()
        if decided_offset is not None:
            decision = RolloutDecision(
                service="shop",
                order_offset=decided_offset,
                target_version="v2",
                phase=RolloutPhase.ROLLED_BACK,
                reason="bad",
                decided_by="other",
            )
            store.put(ROLLOUTS_TOPIC, "shop", encode_decision(decision))
            store.put(STATUS_TOPIC, "shop", b"rolled-back v2")

        async def run() -> None:
            platform = FakePlatform(make_node_settings("d-1", "shop", "a", ""), store, {})
            rollouts = MagicMock(has_decisions=True)
            recorder = RolloutRecorder("d-1", rollouts, platform, random.Random(1), EventLog("d-1"))
            async with trio.open_nursery() as nursery:
                await nursery.start(recorder.run, store)
                recorder.report_start(KnownRollout(ReceivedOrder(ORDER), 0.0), 1, is_new=False)
                await trio.sleep(10.0)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return [record.value.decode() for record in store.list_records(STATUS_TOPIC)]

    def test_an_evaluator_that_does_not_know_the_decision_yet_does_not_replace_its_status(
        self,
    ) -> None:
        self.assertEqual(self.report_start(ORDER.offset), ["rolled-back v2"])

    def test_the_status_of_an_earlier_order_is_replaced(self) -> None:
        self.assertEqual(self.report_start(ORDER.offset - 1), ["rolled-back v2", "canary v2"])

    def test_a_missing_status_is_written(self) -> None:
        self.assertEqual(self.report_start(None), ["canary v2"])


class FailingRecorderTest(unittest.TestCase):
    """The tasks of the recorder run in the main nursery of the daemon."""

    def check_failure(
        self,
        start: Callable[[RolloutRecorder, KnownRollout], None],
        *,
        rollouts: MagicMock | None = None,
        platform: MagicMock | None = None,
    ) -> None:
        """Checks that an error is logged, and that the recorder goes on."""

        async def run() -> None:
            recorder = RolloutRecorder(
                "d-1",
                rollouts or MagicMock(has_decisions=True),
                platform or MagicMock(),
                random.Random(1),
                EventLog("d-1"),
            )
            rollout = KnownRollout(ReceivedOrder(ORDER), 0.0)
            rollout.proposal = RolloutState(
                "shop", ORDER.offset, "v2", 12_000, 9_000, RolloutPhase.COMPLETED
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(recorder.run, FakeKeyedLog())
                start(recorder, rollout)
                await trio.sleep(10.0)
                nursery.cancel_scope.cancel()
            self.assertFalse(rollout.is_recording)

        with self.assertLogs(level="ERROR"):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_an_error_while_decisions_are_read_is_not_the_end(self) -> None:
        rollouts = MagicMock(has_decisions=False)

        def fail_once(_: object) -> None:
            if rollouts.has_decisions:
                return
            rollouts.has_decisions = True
            raise LookupError("an error of the test")

        rollouts.on_decisions = fail_once
        self.check_failure(lambda *_: None, rollouts=rollouts)

    def test_an_error_while_a_decision_is_recorded_is_not_the_end(self) -> None:
        rollouts = MagicMock(has_decisions=True)
        rollouts.make_rules.side_effect = LookupError("an error of the test")
        self.check_failure(RolloutRecorder.record, rollouts=rollouts)

    def test_an_error_while_a_status_is_written_is_not_the_end(self) -> None:
        platform = MagicMock()
        platform.encode_rollout_status.side_effect = LookupError("an error of the test")
        self.check_failure(
            lambda recorder, rollout: recorder.report_start(rollout, 0, is_new=True),
            platform=platform,
        )
