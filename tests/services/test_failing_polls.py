"""An error while a roll-out is followed ends neither the daemon nor the following."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import trio
import trio.testing

from fulmarstile_daemon.services._known_rollout import KnownRollout
from fulmarstile_daemon.services._rollout_polls import RolloutPolls
from fulmarstile_daemon.services.ports import ReceivedOrder
from fulmarstile_services.directory import Directory
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_testing.builders.services import make_member

ORDER = RolloutOrder("shop", "v2", 12.0, 7)
FOLLOWED_S = 5.0


class FailingPollsTest(unittest.TestCase):
    def follow(self, rollouts: mock.Mock, recorder: mock.Mock) -> int:
        """Follows a roll-out for a while; returns how often it was polled."""
        rollouts.now = trio.current_time
        polled = mock.AsyncMock(return_value=False)

        async def run() -> None:
            polls = RolloutPolls(
                rollouts,
                Directory(make_member("daemon-1")),
                mock.MagicMock(),
                mock.MagicMock(),
                recorder,
                mock.MagicMock(),
                random.Random(1),
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(polls.run)
                rollouts.on_active(KnownRollout(ReceivedOrder(ORDER), 0.0))
                await trio.sleep(FOLLOWED_S)
                nursery.cancel_scope.cancel()

        with (
            mock.patch.object(RolloutPolls, "_poll_once", polled),
            self.assertLogs(level="ERROR"),
        ):
            trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return polled.await_count

    def test_an_error_between_two_polls_does_not_end_the_daemon(self) -> None:
        answers = iter([True, LookupError("an error of the test")])

        def is_current(_: KnownRollout) -> bool:
            answer = next(answers, True)
            if isinstance(answer, Exception):
                raise answer
            return answer

        rollouts = mock.MagicMock(is_current=is_current)
        self.assertGreater(self.follow(rollouts, mock.MagicMock()), 1)

    def test_an_error_at_the_end_of_a_roll_out_does_not_end_the_daemon(self) -> None:
        answers = iter([True, False])
        rollouts = mock.MagicMock(is_current=lambda _: next(answers, True))
        recorder = mock.MagicMock()
        recorder.ensure_status.side_effect = LookupError("an error of the test")
        self.assertEqual(self.follow(rollouts, recorder), 1)
        recorder.ensure_status.assert_called_once()


if __name__ == "__main__":
    unittest.main()
