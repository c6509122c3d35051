"""Operators see when the event loop was late, and what a daemon left unread at its end."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING, Any

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services.event_log import EventLog

if TYPE_CHECKING:
    from collections.abc import Callable

INTERVAL_S = 0.05
HELD_S = 0.3


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

    def test_an_event_loop_in_time_is_not_logged(self) -> None:
        log = EventLog("daemon-1")
        lateness = LoopLateness(log)
        trio.run(lateness.sleep, INTERVAL_S)
        self.assertEqual((lateness.times_late, len(log._lines)), (0, 0))
