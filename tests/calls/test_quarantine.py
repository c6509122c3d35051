"""A request that crashes upstreams is stopped after its second crash in the fleet."""

from __future__ import annotations

import unittest

from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings, request_fingerprint
from fulmarstile_calls.request import RefusalReason

POISON = request_fingerprint("laundry", "POST", "/photos", b"poison")


class QuarantineTest(unittest.TestCase):
    """Crashes are counted across daemons, once each, for a limited time."""

    def setUp(self):
        settings = QuarantineSettings(lifetime_s=60.0, max_fingerprints=100)
        self.daemons = [Quarantine(settings, f"daemon-{n}") for n in range(3)]

    def _crash(self, number: int, fingerprints: list[bytes], now: float) -> None:
        records = self.daemons[number].on_upstream_crash(fingerprints, now)
        for daemon in self.daemons:
            daemon.on_records(records, now)
            daemon.on_records(records, now)

    def test_request_is_refused_everywhere_after_two_crashes(self):
        self._crash(0, [POISON], 0.0)
        self.assertIsNone(self.daemons[2].check(POISON, 0.0))
        self._crash(1, [POISON], 1.0)
        for daemon in self.daemons:
            self.assertIs(daemon.check(POISON, 1.0).reason, RefusalReason.QUARANTINED)

    def test_two_crashes_at_one_daemon_count_twice(self):
        self._crash(0, [POISON], 0.0)
        self._crash(0, [POISON], 1.0)
        self.assertTrue(self.daemons[2].is_quarantined(POISON, 1.0))

    def test_bystanders_of_different_crashes_are_not_refused(self):
        for number in range(3):
            bystander = request_fingerprint("laundry", "GET", f"/slots/{number}")
            self._crash(number, [POISON, bystander], 0.0)
            self.assertIsNone(self.daemons[0].check(bystander, 0.0))

    def test_popular_request_that_also_completes_is_not_suspected(self):
        popular = request_fingerprint("laundry", "GET", "/slots")
        for number in range(3):
            self.daemons[number].on_completed(popular, 0.0)
            self._crash(number, [POISON, popular], 1.0)
        self.assertFalse(self.daemons[2].is_quarantined(popular, 1.0))
        self.assertTrue(self.daemons[2].is_quarantined(POISON, 1.0))

    def test_suspicion_expires_and_a_record_cannot_extend_it(self):
        self._crash(0, [POISON], 0.0)
        records = self.daemons[0].on_upstream_crash([POISON], 1.0)
        self.daemons[2].on_records(records, 1.0)
        self.daemons[2].on_records(records, 50.0)
        self.assertTrue(self.daemons[2].is_quarantined(POISON, 59.0))
        self.assertFalse(self.daemons[2].is_quarantined(POISON, 62.0))
        self.daemons[2].on_tick(62.0)
        self.assertEqual(self.daemons[2].fingerprint_count, 0)

    def test_memory_is_bounded_and_keeps_what_has_crashed_twice(self):
        self._crash(0, [POISON], 0.0)
        self._crash(1, [POISON], 0.0)
        for number in range(500):
            self._crash(0, [request_fingerprint("laundry", "GET", f"/{number}")], 1.0)
        self.assertEqual(self.daemons[2].fingerprint_count, 100)
        self.assertTrue(self.daemons[2].is_quarantined(POISON, 1.0))

    def test_parts_of_a_request_cannot_run_into_each_other(self):
        self.assertNotEqual(
            request_fingerprint("a", "GET", "/b"), request_fingerprint("a", "GE", "T/b")
        )
