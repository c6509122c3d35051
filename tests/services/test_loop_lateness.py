"""Operators see when the event loop was late, and what a daemon left unread at its end."""

from __future__ import annotations

import time
import unittest

import msgspec
import trio
import trio.testing

from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services.event_log import EventLog

INTERVAL_S = 0.05
HELD_S = 0.3


class LoopLatenessTest(unittest.TestCase):
    def test_an_event_loop_that_is_held_up_is_logged_with_its_lateness(self) -> None:
        log = EventLog("daemon-1")
        lateness = LoopLateness(log)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lateness.sleep, INTERVAL_S)
                await trio.testing.wait_all_tasks_blocked()
                time.sleep(INTERVAL_S + HELD_S)

        trio.run(run)
        event = msgspec.json.decode(log._lines[0])
        self.assertEqual((event["event"], lateness.times_late), ("loop_late", 1))
        self.assertGreaterEqual(event["late_ms"], HELD_S * 1000 - 1)
        self.assertGreaterEqual(lateness.longest_s, HELD_S - 0.001)

    def test_an_event_loop_in_time_is_not_logged(self) -> None:
        log = EventLog("daemon-1")
        lateness = LoopLateness(log)
        trio.run(lateness.sleep, INTERVAL_S)
        self.assertEqual((lateness.times_late, len(log._lines)), (0, 0))
