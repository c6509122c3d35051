"""Operators see when the event loop was late, and what a daemon left unread at its end."""

from __future__ import annotations

import signal
import threading
import time
import unittest
from typing import TYPE_CHECKING, Any

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services._signals import ReceivedSignal, receive_signals
from fulmarstile_daemon.services.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL_S = 0.05
HELD_S = 0.3
LONG_INTERVAL_S = 0.5
LONG_HALT_S = 0.9
"""Time for which a process runs nothing from the begin of a long interval on, in seconds."""


def compute() -> None:
    """Uses processor time until the event loop is late."""
    ends_at = time.thread_time() + INTERVAL_S + HELD_S
    while time.thread_time() < ends_at:
        pass


class LoopLatenessTest(unittest.TestCase):
    def hold_loop(self, hold: Callable[[], None]) -> tuple[LoopLateness, dict[str, Any]]:
        """Holds up an event loop; returns its lateness and the first event of the log."""
        log = EventLog("daemon-1")
        lateness = LoopLateness(log)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lateness.sleep, INTERVAL_S)
                await trio.testing.wait_all_tasks_blocked()
                hold()

        trio.run(run)
        return lateness, msgspec.json.decode(log._lines[0])

    def test_an_event_loop_that_is_held_up_is_logged_with_its_lateness(self) -> None:
        lateness, event = self.hold_loop(lambda: time.sleep(INTERVAL_S + HELD_S))
        self.assertEqual((event["event"], lateness.times_late), ("loop_late", 1))
        self.assertGreaterEqual(event["late_ms"], HELD_S * 1000 - 1)
        self.assertGreaterEqual(lateness.longest_s, HELD_S - 0.001)

    def test_an_event_loop_that_was_blocked_used_little_processor_time(self) -> None:
        _, event = self.hold_loop(lambda: time.sleep(INTERVAL_S + HELD_S))
        self.assertLess(event["processor_ms"], event["late_ms"] / 2)

    def test_an_event_loop_whose_task_computes_used_as_much_processor_time(self) -> None:
        _, event = self.hold_loop(compute)
        self.assertGreaterEqual(event["processor_ms"], HELD_S * 1000)

    def test_a_signal_in_a_halt_that_began_within_a_wait_is_not_assumed_too_late(self) -> None:
        lateness = LoopLateness(EventLog("daemon-1"))

        async def run() -> tuple[float, ReceivedSignal]:
            with receive_signals(signal.SIGTERM, lateness=lateness) as signals:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(lateness.sleep, LONG_INTERVAL_S)
                    await trio.testing.wait_all_tasks_blocked()
                    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
                    sent_at = read_boot_clock()
                    # Another thread, which doesn't block it, would get a signal of the process.
                    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
                    time.sleep(LONG_HALT_S)
                    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
                    return sent_at, await anext(aiter(signals))

        sent_at, received = trio.run(run)
        self.assertLessEqual(received.sent_at, sent_at)
        self.assertGreaterEqual(received.sent_at + received.uncertainty_s, sent_at + LONG_HALT_S)

    def test_an_event_loop_in_time_is_not_logged(self) -> None:
        log = EventLog("daemon-1")
        lateness = LoopLateness(log)
        trio.run(lateness.sleep, INTERVAL_S)
        self.assertEqual((lateness.times_late, len(log._lines)), (0, 0))
