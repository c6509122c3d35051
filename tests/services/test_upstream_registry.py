"""Announcements take effect in the order in which the upstream made them."""

from __future__ import annotations

import unittest

from fulmarstile_services.upstream_registry import (
    AnnouncementOutcome,
    UpstreamPhase,
    UpstreamRegistry,
)
from fulmarstile_testing.builders.services import make_announcement

LEAVING = UpstreamPhase.LEAVING
LEFT_AT_MS = 5_000


class UpstreamRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = UpstreamRegistry(interval_s=1.5)

    def test_the_first_announcement_is_new(self) -> None:
        outcome = self.registry.on_announcement(make_announcement(), 0.0)
        self.assertIs(outcome, AnnouncementOutcome.NEW)

    def test_a_late_announcement_changes_nothing(self) -> None:
        self.registry.on_announcement(make_announcement(sequence=5, phase=LEAVING), 0.0)
        outcome = self.registry.on_announcement(make_announcement(sequence=4), 0.1)
        self.assertIs(outcome, AnnouncementOutcome.STALE)
        self.assertIs(self.registry.current.phase, LEAVING)

    def test_an_older_incarnation_does_not_replace_a_newer_one(self) -> None:
        self.registry.on_announcement(make_announcement(born_ms=2_000), 0.0)
        outcome = self.registry.on_announcement(make_announcement(sequence=90), 0.1)
        self.assertIs(outcome, AnnouncementOutcome.STALE)
        self.assertEqual(self.registry.current.born_ms, 2_000)

    def test_a_new_incarnation_may_have_the_id_of_the_old_one(self) -> None:
        self.registry.on_announcement(make_announcement(sequence=7, phase=LEAVING), 0.0)
        outcome = self.registry.on_announcement(make_announcement(born_ms=2_000), 0.1)
        self.assertIs(outcome, AnnouncementOutcome.NEW)
        self.assertIs(self.registry.current.phase, UpstreamPhase.READY)

    def test_an_upstream_that_has_left_is_never_ready_again(self) -> None:
        self.registry.on_announcement(make_announcement(), 0.0)
        self.registry.on_leave("upstream-1", 1_000, 0.1, LEFT_AT_MS)
        self.registry.on_announcement(make_announcement(sequence=9), 0.2)
        self.assertIs(self.registry.current.phase, LEAVING)

    def test_the_leave_of_another_incarnation_changes_nothing(self) -> None:
        self.registry.on_announcement(make_announcement(born_ms=2_000), 0.0)
        outcome = self.registry.on_leave("upstream-1", 1_000, 0.1, LEFT_AT_MS)
        self.assertIs(outcome, AnnouncementOutcome.STALE)

    def test_a_leave_before_the_first_announcement_is_remembered(self) -> None:
        self.registry.on_leave("upstream-1", 1_000, 0.0, LEFT_AT_MS)
        outcome = self.registry.on_announcement(make_announcement(sequence=3), 0.5)
        self.assertIs(outcome, AnnouncementOutcome.STALE)
        self.assertIsNone(self.registry.current)

    def test_a_leave_before_the_state_is_restored_keeps_the_upstream_from_returning(self) -> None:
        for born_ms in (1_000, None):
            with self.subTest(born_ms=born_ms):
                registry = UpstreamRegistry(interval_s=1.5)
                registry.on_leave("upstream-1", born_ms, 0.0, LEFT_AT_MS)
                registry.restore(make_announcement(sequence=0), 0.1)
                self.assertIs(registry.current.phase, LEAVING)

    def test_a_late_announcement_after_a_leave_without_start_time_changes_nothing(self) -> None:
        self.registry.on_leave("upstream-1", None, 0.0, LEFT_AT_MS)
        outcome = self.registry.on_announcement(make_announcement(sequence=3), 0.5)
        self.assertIs(outcome, AnnouncementOutcome.STALE)
        again = make_announcement(born_ms=LEFT_AT_MS + 2_500)
        self.assertIs(self.registry.on_announcement(again, 3.0), AnnouncementOutcome.NEW)

    def test_restored_state_keeps_an_upstream_that_left_from_returning(self) -> None:
        self.registry.restore(make_announcement(sequence=0, phase=LEAVING), 0.0)
        self.registry.on_announcement(make_announcement(sequence=9), 0.5)
        self.assertIs(self.registry.current.phase, LEAVING)

    def test_an_upstream_whose_clock_was_set_back_is_accepted_once_the_old_one_is_silent(
        self,
    ) -> None:
        self.registry.on_announcement(make_announcement(born_ms=2_000), 0.0)
        earlier = make_announcement(upstream_id="upstream-2")
        self.assertIs(self.registry.on_announcement(earlier, 1.0), AnnouncementOutcome.STALE)
        self.assertIs(self.registry.on_announcement(earlier, 5.0), AnnouncementOutcome.NEW)
