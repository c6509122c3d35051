"""Planned stops and leases of the local upstream."""

from __future__ import annotations

import unittest

from fulmarstile_calls.drain import Drain, DrainPhase, DrainSettings
from fulmarstile_calls.upstream_lease import (
    AnnouncementError,
    UpstreamAnnouncement,
    UpstreamLease,
)
from fulmarstile_wire.records import UpstreamStatus
from fulmarstile_wire.verdict import Verdict

MAX_NEW_WORK_S = 3.0


def announce(**changes) -> UpstreamAnnouncement:
    values = {
        "service": "reservations",
        "address": "127.0.0.1:9000",
        "slots": 10,
        "connections": 130,
        "ttl_s": 3.0,
    }
    return UpstreamAnnouncement(**{**values, **changes})


class DrainTest(unittest.TestCase):
    """A planned stop refuses new calls, and waits for those in flight."""

    def setUp(self):
        self.drain = Drain(DrainSettings(limit_s=30.0))

    def test_no_new_work_is_taken_after_three_seconds(self):
        self.assertIsNone(self.drain.check_new_call(0.0))
        self.drain.begin(10.0)
        self.assertIsNone(self.drain.check_new_call(10.0))
        refusal = self.drain.check_new_call(10.0 + MAX_NEW_WORK_S)
        self.assertIs(refusal.verdict, Verdict.NOT_RUN)
        self.assertGreater(refusal.retry_after_s, 0.0)

    def test_stop_waits_for_calls_in_flight(self):
        self.drain.begin(0.0)
        self.assertIs(self.drain.on_tick(0, 0.1), DrainPhase.ANNOUNCED)
        self.assertIs(self.drain.on_tick(2, 20.0), DrainPhase.REFUSING)
        self.assertFalse(self.drain.is_finished)
        self.assertIs(self.drain.on_tick(0, 21.0), DrainPhase.DONE)

    def test_stop_ends_at_its_limit_even_if_begun_again(self):
        self.drain.begin(0.0)
        self.drain.begin(20.0)
        self.assertIs(self.drain.on_tick(1, 30.0), DrainPhase.TIMED_OUT)
        self.assertTrue(self.drain.is_finished)

    def test_stop_timed_out_during_its_announcement_refuses_new_calls(self):
        self.drain.begin(0.0)
        self.drain.time_out()
        self.assertIs(self.drain.check_new_call(0.1).verdict, Verdict.NOT_RUN)
        self.assertIs(self.drain.on_tick(1, 0.1), DrainPhase.TIMED_OUT)


class UpstreamLeaseTest(unittest.TestCase):
    """An upstream counts as present as long as it renews its lease."""

    def setUp(self):
        self.lease = UpstreamLease()

    def test_renewal_keeps_the_lease_and_only_changes_are_reported(self):
        self.assertTrue(self.lease.on_announcement(announce(), 0.0))
        self.assertFalse(self.lease.on_announcement(announce(), 2.0))
        self.assertFalse(self.lease.on_tick(4.0))
        self.assertTrue(self.lease.on_announcement(announce(draining=True), 4.5))
        self.assertIs(self.lease.status, UpstreamStatus.DRAINING)

    def test_lease_that_is_not_renewed_ends_once(self):
        self.lease.on_announcement(announce(), 0.0)
        self.assertTrue(self.lease.on_tick(3.0))
        self.assertIs(self.lease.status, UpstreamStatus.GONE)
        self.assertFalse(self.lease.on_tick(4.0))
        self.assertTrue(self.lease.on_announcement(announce(), 5.0))

    def test_invalid_announcements_are_refused_and_change_nothing(self):
        for changes in ({"slots": 0}, {"connections": 10**9}, {"ttl_s": 0.0}, {"service": ""}):
            with self.subTest(changes=changes), self.assertRaises(AnnouncementError):
                self.lease.on_announcement(announce(**changes), 0.0)
        self.assertIs(self.lease.status, UpstreamStatus.GONE)
