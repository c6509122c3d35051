"""A VM that is suspended or late in a shutdown doesn't get more time than its platform gives it."""

from __future__ import annotations

import unittest
from unittest.mock import AsyncMock, Mock

import trio
import trio.testing

from fulmarstile_daemon.services._graceful_shutdown import GracefulShutdown
from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services.event_log import EventLog

GRACE_S = 6.0
SUSPENDED_S = 2.0
LATE_S = 0.6
"""Time for which the event loop is late in the last phase of a shutdown, in seconds."""
HALTS_S = (0.0, 0.1, 0.28, 0.5)
LONG_HALT_S = 0.9
VERY_LONG_HALT_S = 2.0
"""Halt of more than the last sixth of the grace period, in seconds: no time of the end is right
whenever the signal was sent."""
CUT_AFTER_S = 5.0
"""Time after SIGTERM from which the rules allow a request at work to be broken off, in seconds."""
LOSS_SLACK_S = 0.2
"""Time before the end of a process from which requests that it has not passed on don't count, in
seconds."""
LAST_ACCEPTED_S = 3.0
"""Time after SIGTERM up to which the rules allow a request to be cut off, in seconds."""


class VmClock:
    """Clock that goes on while the VM is suspended, unlike that of the event loop."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.suspended_s


def make_shutdown(clock: VmClock) -> GracefulShutdown:
    """Returns the shutdown of a daemon at which a request is in flight all the time."""
    log = EventLog("daemon-1")
    callers = Mock(
        in_flight=1, arriving=0, connections=1, finish=AsyncMock(), wait_answered=AsyncMock()
    )
    callers.is_quiet.return_value = False
    peers = Mock(in_flight=0, is_quiet=True, has_unsent=False, end=AsyncMock())
    announcements = Mock(stop=AsyncMock())
    parts = (callers, peers, Mock(), Mock(), Mock(), Mock(), announcements)
    return GracefulShutdown(*parts, LoopLateness(log), log, clock)


class StoppingSuspendedTest(unittest.TestCase):
    def stop(self, suspended_after_s: float) -> tuple[float, float]:
        """Stops a daemon, whose VM is suspended meanwhile.

        Args:
            suspended_after_s: Time from SIGTERM to the suspension, in seconds.

        Returns:
            The duration of the shutdown in seconds, and the time after SIGTERM up to which calls
            of running requests are accepted once the VM runs again.
        """
        clock = VmClock()
        shutdown = make_shutdown(clock)
        accepted_s = 0.0

        async def suspend(sent_at: float) -> None:
            nonlocal accepted_s
            await trio.sleep(suspended_after_s)
            clock.suspended_s += SUSPENDED_S
            await trio.sleep(0.2)
            loop_time = shutdown._entry.stop_times.accepts_nested_until
            accepted_s = loop_time + clock.suspended_s - sent_at

        async def run() -> float:
            sent_at = clock()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(suspend, sent_at)
                await shutdown.run(GRACE_S, sent_at)
            return clock() - sent_at

        duration_s = trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return duration_s, accepted_s

    def test_a_suspension_while_callers_are_served_does_not_delay_the_end(self) -> None:
        duration_s, accepted_s = self.stop(1.0)
        self.assertLess(duration_s, GRACE_S)
        self.assertLessEqual(accepted_s, LAST_ACCEPTED_S)

    def test_a_suspension_while_requests_drain_does_not_delay_the_end(self) -> None:
        duration_s, _ = self.stop(3.7)
        self.assertLess(duration_s, GRACE_S)

    def stop_after_halt(self, halt_s: float) -> tuple[float, float]:
        """Stops a daemon whose process was halted, with SIGTERM at some time in the halt.

        Args:
            halt_s: Duration of the halt, in seconds.

        Returns:
            The times from the begin of the halt to when requests at work are broken off, and to
            the end of the shutdown, in seconds.
        """
        shutdown = make_shutdown(VmClock())
        broken_off = []
        shutdown._callers.expire_all = lambda: broken_off.append(trio.current_time())

        async def run() -> tuple[float, float]:
            halted_at = trio.current_time()
            await trio.sleep(halt_s)
            await shutdown.run(GRACE_S, halted_at, halt_s)
            return broken_off[0] - halted_at, trio.current_time() - halted_at

        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_no_request_that_waits_begins_at_the_upstream_once_only_running_ones_are_finished(
        self,
    ) -> None:
        shutdown = make_shutdown(VmClock())
        shutdown._announcements.stop = trio.sleep_forever
        events: list[str] = []
        shutdown._upstream.stop = lambda: events.append("upstream stopped")
        shutdown._callers.finish.side_effect = lambda _: events.append("finishing")
        halt_s = HALTS_S[-1]

        async def run() -> None:
            await shutdown.run(GRACE_S, trio.current_time() - halt_s, halt_s)

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(events[:2], ["upstream stopped", "finishing"])

    def check_halt(self, halt_s: float) -> None:
        """Checks both ends of the halt: the process can't tell when the signal was sent."""
        broken_off_s, duration_s = self.stop_after_halt(halt_s)
        self.assertLess(duration_s, GRACE_S)
        self.assertGreaterEqual(broken_off_s - halt_s, CUT_AFTER_S - 1e-6)

    def test_a_signal_sent_at_either_end_of_a_halt_breaks_off_no_request_early(self) -> None:
        for halt_s in HALTS_S:
            with self.subTest(halt_s):
                self.check_halt(halt_s)

    def test_a_signal_sent_at_either_end_of_a_long_halt_breaks_off_no_request_early(self) -> None:
        self.check_halt(LONG_HALT_S)

    def test_nothing_but_work_of_upstreams_is_left_when_a_halted_process_may_be_killed(
        self,
    ) -> None:
        shutdown = make_shutdown(VmClock())
        shutdown._callers.finish.side_effect = trio.sleep
        is_accepted = []

        async def run() -> None:
            halted_at = trio.current_time()
            await trio.sleep(LONG_HALT_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shutdown.run, GRACE_S, halted_at, LONG_HALT_S)
                await trio.sleep_until(halted_at + GRACE_S - LOSS_SLACK_S)
                for part in (shutdown._entry, shutdown._hops):
                    now = trio.current_time()
                    is_accepted.append(part.stop_times.accepts(deadline=now + 0.01, now=now))
                shutdown._callers.finish.assert_called_once()
                shutdown._callers.expire_all.assert_not_called()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(is_accepted, [False, False])

    def test_a_process_that_was_halted_for_very_long_ends_in_time(self) -> None:
        _, duration_s = self.stop_after_halt(VERY_LONG_HALT_S)
        self.assertLess(duration_s, GRACE_S)

    def accept_after_halt(self, halt_s: float) -> list[bool]:
        """Stops a daemon whose process was halted, with SIGTERM at some time in the halt.

        Args:
            halt_s: Duration of the halt, in seconds.

        Returns:
            Whether it accepts a request that ends in time, one that may outlast it, and such a call
            of a running request.
        """
        shutdown = make_shutdown(VmClock())
        is_accepted = []

        async def run() -> None:
            halted_at = trio.current_time()
            await trio.sleep(halt_s)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(shutdown.run, GRACE_S, halted_at, halt_s)
                await trio.testing.wait_all_tasks_blocked()
                now, accepts = trio.current_time(), shutdown._entry.stop_times.accepts
                is_accepted.append(accepts(now + 1.0, now))
                is_accepted.append(accepts(now + GRACE_S, now))
                is_accepted.append(accepts(now + GRACE_S, now, is_nested=True))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return is_accepted

    def test_a_request_that_outlasts_a_process_halted_for_very_long_is_not_begun_and_cut(
        self,
    ) -> None:
        self.assertEqual(self.accept_after_halt(VERY_LONG_HALT_S), [True, False, False])
        self.assertEqual(self.accept_after_halt(HALTS_S[-1]), [True, True, True])

    def test_an_event_loop_that_is_late_in_the_last_phase_does_not_delay_the_end(self) -> None:
        """The last phase must not wait for its whole time limits if it begins too late for them."""
        mock_clock = trio.testing.MockClock(autojump_threshold=0)

        async def run() -> float:
            shutdown = make_shutdown(VmClock())
            shutdown._callers.expire_all = lambda: mock_clock.jump(LATE_S)
            shutdown._callers.wait_answered = trio.sleep_forever
            shutdown._callers.finish = trio.sleep
            shutdown._peers.end = trio.sleep_forever
            sent_at = trio.current_time()
            await shutdown.run(GRACE_S, sent_at)
            return trio.current_time() - sent_at

        self.assertLess(trio.run(run, clock=mock_clock), GRACE_S)


if __name__ == "__main__":
    unittest.main()
