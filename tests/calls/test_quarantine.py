"""A request that crashes upstreams is quarantined after its second crash in the fleet."""

from __future__ import annotations

import unittest

from fulmarstile_calls.quarantine import Quarantine, QuarantineSettings, request_fingerprint
from fulmarstile_testing.builders.mesh import VirtualMesh

POISON = request_fingerprint("laundry", "POST", "/reserve", b"poison")
POPULAR = request_fingerprint("laundry", "GET", "/slots")
LIFETIME_S = 60.0


class SuspectsTest(unittest.TestCase):
    """A request in flight at a crash is suspected unless it completed since the last crash."""

    def setUp(self) -> None:
        settings = QuarantineSettings(lifetime_s=LIFETIME_S, max_completed=100)
        self.quarantine = Quarantine(settings)

    def test_popular_request_that_also_completes_is_not_suspected(self):
        for now in (0.0, 10.0, 20.0):
            self.quarantine.on_completed(POPULAR, now)
            suspects = self.quarantine.on_upstream_crash([POPULAR, POISON, POISON], now + 1.0)
            self.assertEqual(suspects, (POISON,))

    def test_request_that_starts_to_crash_upstreams_is_suspected_at_its_second_crash(self):
        self.quarantine.on_completed(POISON, 0.0)
        self.assertEqual(self.quarantine.on_upstream_crash([POISON], 1.0), ())
        self.assertEqual(self.quarantine.on_upstream_crash([POISON], 2.0), (POISON,))

    def test_completion_counts_for_a_limited_time(self):
        self.quarantine.on_completed(POISON, 0.0)
        self.assertEqual(self.quarantine.on_upstream_crash([POISON], LIFETIME_S), (POISON,))

    def test_completed_requests_are_bounded_and_the_latest_are_kept(self):
        for number in range(500):
            self.quarantine.on_completed(request_fingerprint("laundry", "GET", f"/{number}"), 0.0)
        self.assertEqual(self.quarantine.completed_count, 100)
        latest = request_fingerprint("laundry", "GET", "/499")
        self.assertEqual(self.quarantine.on_upstream_crash([latest], 1.0), ())

    def test_boundaries_between_parts_of_a_request_change_its_fingerprint(self):
        self.assertNotEqual(
            request_fingerprint("a", "GET", "/b"), request_fingerprint("a", "GE", "T/b")
        )


class FleetTest(unittest.TestCase):
    """Crashes are counted across daemons, once each, by the membership."""

    def setUp(self) -> None:
        self.mesh = VirtualMesh(seed=5)
        self.mesh.add(6)
        self.mesh.run(15.0)
        settings = QuarantineSettings()
        self.quarantines = [Quarantine(settings) for _ in self.mesh.running]

    def _crash(self, number: int, in_flight: list[bytes]) -> None:
        daemon = self.mesh.running[number]
        now = self.mesh.clock.now
        for suspect in self.quarantines[number].on_upstream_crash(in_flight, now):
            daemon.carry_out(daemon.membership.report_crash(suspect, now))
        self.mesh.run(2.0)

    def _quarantined(self) -> set[frozenset[bytes]]:
        return {daemon.membership.quarantine for daemon in self.mesh.running}

    def test_request_is_refused_everywhere_after_two_crashes(self):
        self._crash(0, [POISON])
        self.assertEqual(self._quarantined(), {frozenset()})
        self._crash(1, [POISON])
        self.assertEqual(self._quarantined(), {frozenset({POISON})})

    def test_two_crashes_at_one_daemon_count_twice(self):
        self._crash(0, [POISON])
        self._crash(0, [POISON])
        self.assertEqual(self._quarantined(), {frozenset({POISON})})

    def test_daemon_that_reports_the_second_crash_quarantines_the_request_at_once(self):
        daemon = self.mesh.running[0]
        for _ in range(2):
            daemon.membership.report_crash(POISON, self.mesh.clock.now)
        self.assertIn(POISON, daemon.membership.quarantine)

    def test_bystanders_and_popular_requests_are_not_quarantined(self):
        for number in range(3):
            bystander = request_fingerprint("laundry", "GET", f"/slots/{number}")
            self.quarantines[number].on_completed(POPULAR, self.mesh.clock.now)
            self._crash(number, [POISON, bystander, POPULAR])
        self.assertEqual(self._quarantined(), {frozenset({POISON})})


if __name__ == "__main__":
    unittest.main()
