"""A rate limit that the upstream has announced bounds how many requests start."""

from __future__ import annotations

import unittest

from fulmarstile_calls.admission import AdmissionSettings, Admitted, FairAdmission, Refused
from fulmarstile_calls.request import RefusalReason
from fulmarstile_testing.builders.calls import make_ticket

SLOTS = 12
RATE_LIMIT = 8.0
STEP_S = 0.01


class AnnouncedRateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = FairAdmission(AdmissionSettings(SLOTS, 4 * SLOTS, 100))
        self.now = 0.0
        self.next_id = 0
        self.starts: list[float] = []
        self.refusals: list[Refused] = []

    def perform(self, effects) -> None:
        for effect in effects:
            if isinstance(effect, Admitted):
                self.starts.append(self.now)
                self.perform(self.admission.on_finished(effect.ticket_id, self.now))
            else:
                self.refusals.append(effect)

    def arrive(self, wait_s: float, priority: int = 1) -> None:
        self.next_id += 1
        ticket = make_ticket(self.next_id, priority=priority, deadline_s=self.now + wait_s)
        self.perform(self.admission.on_arrival(ticket, self.now))

    def offer(self, per_step: int, for_s: float, wait_s: float = 0.2) -> None:
        for _ in range(round(for_s / STEP_S)):
            for _ in range(per_step):
                self.arrive(wait_s)
            self.perform(self.admission.on_tick(self.now))
            self.now += STEP_S

    def count_most(self, window_s: float) -> int:
        return max(
            sum(start <= time < start + window_s for time in self.starts) for start in self.starts
        )

    def test_no_window_has_more_starts_than_the_limit_and_a_quarter_of_a_second_more(self) -> None:
        self.admission.set_rate_limit(RATE_LIMIT, self.now)
        self.offer(per_step=1, for_s=6.0)
        self.now += 5.0
        self.offer(per_step=1, for_s=6.0)
        self.assertLessEqual(self.count_most(4.0), RATE_LIMIT * 4.25 + 1)
        self.assertGreaterEqual(len(self.starts), RATE_LIMIT * 12.0 - 2)

    def test_what_cannot_start_in_time_is_refused_when_it_arrives(self) -> None:
        self.admission.set_rate_limit(2.0, self.now)
        self.arrive(0.3)
        self.arrive(0.3)
        self.assertEqual(len(self.starts), 1)
        (refused,) = self.refusals
        self.assertIs(refused.refusal.reason, RefusalReason.RATE_LIMITED)
        self.assertGreaterEqual(refused.refusal.retry_after_s, 0.5)

    def test_what_arrives_after_its_deadline_is_not_refused_because_of_the_limit(self) -> None:
        self.admission.set_rate_limit(2.0, self.now)
        self.arrive(0.0)
        (refused,) = self.refusals
        self.assertIs(refused.refusal.reason, RefusalReason.DEADLINE)

    def test_what_can_start_in_time_waits_for_its_turn(self) -> None:
        self.admission.set_rate_limit(2.0, self.now)
        for _ in range(3):
            self.arrive(1.2)
        self.assertEqual((len(self.starts), self.admission.queued), (1, 2))
        for _ in range(110):
            self.now += STEP_S
            self.perform(self.admission.on_tick(self.now))
        self.assertEqual((len(self.starts), self.refusals), (3, []))

    def test_requests_that_wait_start_when_the_limit_is_lifted(self) -> None:
        self.admission.set_rate_limit(1.0, self.now)
        for _ in range(4):
            self.arrive(10.0)
        self.perform(self.admission.set_rate_limit(0.0, self.now))
        self.assertEqual(len(self.starts), 4)

    def test_what_waits_for_a_slot_is_refused_when_a_limit_leaves_it_no_time(self) -> None:
        for number in range(SLOTS):
            ticket = make_ticket(1_000 + number)
            self.admission.on_arrival(ticket, self.now)
        for priority in (1, 1, 1, 0):
            self.arrive(1.2, priority)
        self.assertEqual(self.admission.queued, 4)
        self.perform(self.admission.set_rate_limit(1.0, self.now))
        self.assertEqual(self.admission.queued, 2)
        self.assertEqual([refused.ticket_id for refused in self.refusals], [2, 3])

    def test_a_limit_that_changes_all_the_time_gives_no_extra_starts(self) -> None:
        for number in range(600):
            self.admission.set_rate_limit(RATE_LIMIT - number % 2, self.now)
            self.arrive(0.05)
            self.now += STEP_S
        self.assertLessEqual(self.count_most(4.0), RATE_LIMIT * 4.25 + 1)
