"""A crash is reported once, in whatever order its broken connections are noticed."""

from __future__ import annotations

import unittest

from fulmarstile_calls.crash_watch import CrashWatch
from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings

POISON = b"poison"
POPULAR = b"popular"


def make_watch() -> CrashWatch:
    quarantine = Quarantine(QuarantineSettings())
    quarantine.on_completed(POPULAR, 0.0)
    return CrashWatch(quarantine)


class CrashWatchTest(unittest.TestCase):
    def test_suspect_is_found_when_the_connection_of_another_request_breaks_first(self) -> None:
        watch = make_watch()
        self.assertTrue(watch.begin_check([POPULAR], 1.0))
        self.assertFalse(watch.begin_check([POISON, POPULAR], 1.0))
        self.assertEqual(watch.end_check(True, 2.0), (POISON,))

    def test_popular_request_in_flight_twice_is_not_suspected_at_one_crash(self) -> None:
        watch = make_watch()
        watch.begin_check([POPULAR, POISON], 1.0)
        watch.begin_check([POPULAR], 1.0)
        self.assertEqual(watch.end_check(True, 2.0), (POISON,))
        self.assertFalse(watch.begin_check([POPULAR], 1.5))

    def test_exchange_started_after_a_crash_is_checked_again(self) -> None:
        watch = make_watch()
        watch.begin_check([POISON], 1.0)
        watch.end_check(True, 2.0)
        self.assertTrue(watch.begin_check([POISON], 3.0))
        self.assertEqual(watch.end_check(True, 4.0), (POISON,))

    def test_requests_of_a_connection_that_broke_without_a_crash_are_forgotten(self) -> None:
        watch = make_watch()
        watch.begin_check([POISON], 1.0)
        self.assertIsNone(watch.end_check(False, 2.0))
        watch.begin_check([b"other"], 3.0)
        self.assertEqual(watch.end_check(True, 4.0), (b"other",))


if __name__ == "__main__":
    unittest.main()
