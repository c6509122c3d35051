"""Whether a request can meet its deadline is estimated from requests of its own class."""

from __future__ import annotations

import unittest

from fulmarstile_calls.admission import AdmissionSettings, FairAdmission, Refused
from fulmarstile_config.document import Priority
from fulmarstile_testing.builders.calls import make_ticket

SLOTS = 10
SHORT_S = 0.03
LONG_S = 0.3


class AdmissionClassesTest(unittest.TestCase):
    def setUp(self) -> None:
        """Fills the slots with long requests after both classes have estimates."""
        self.admission = FairAdmission(AdmissionSettings(SLOTS, 4 * SLOTS, 100))
        for number in range(100):
            priority = Priority.CRITICAL if number % 10 == 0 else Priority.LOW
            ticket = make_ticket(number, priority=priority, deadline_s=1e6)
            self.admission.on_arrival(ticket, 0.0)
            elapsed_s = SHORT_S if priority is Priority.CRITICAL else LONG_S
            self.admission.on_finished(number, elapsed_s)
        for number in range(100, 100 + SLOTS):
            ticket = make_ticket(number, priority=Priority.LOW, deadline_s=1e6)
            self.admission.on_arrival(ticket, 1.0)

    def is_refused(self, priority: Priority, remaining_s: float) -> bool:
        """Returns whether another request is refused on arrival."""
        ticket = make_ticket(500 + priority, priority=priority, deadline_s=1.0 + remaining_s)
        return any(isinstance(effect, Refused) for effect in self.admission.on_arrival(ticket, 1.0))

    def test_short_request_is_not_refused_because_other_classes_take_long(self) -> None:
        self.assertFalse(self.is_refused(Priority.CRITICAL, remaining_s=0.15))

    def test_long_request_is_refused_although_other_classes_are_short(self) -> None:
        self.assertTrue(self.is_refused(Priority.LOW, remaining_s=0.15))
