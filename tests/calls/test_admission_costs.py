"""Priority classes share slot time, so a class of costly requests gets fewer of them admitted."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from fulmarstile_calls.admission import AdmissionSettings, Admitted, FairAdmission
from fulmarstile_config.document import Priority
from fulmarstile_testing.builders.calls import make_ticket

WAITING = 60


class AdmissionCostTest(unittest.TestCase):
    def count_admitted(self, cost: float) -> Counter[int]:
        """Counts the admitted requests of two classes, by whether they are of the costly one."""
        admission = FairAdmission(AdmissionSettings(1, 3 * WAITING, 100))
        admission.on_arrival(make_ticket(0, deadline_s=1e6), 0.0)
        for number in range(1, WAITING + 1):
            high = make_ticket(number, priority=Priority.CRITICAL, deadline_s=1e6)
            low = make_ticket(WAITING + number, priority=Priority.HIGH, deadline_s=1e6)
            admission.on_arrival(high, 0.0)
            admission.on_arrival(replace(low, cost=cost), 0.0)
        counts: Counter[int] = Counter()
        running = 0
        for _ in range(40):
            (effect,) = admission.on_finished(running, 1.0)
            self.assertIsInstance(effect, Admitted)
            running = effect.ticket_id
            counts[running > WAITING] += 1
        return counts

    def test_a_class_of_costly_requests_gets_its_share_of_the_time(self) -> None:
        even_counts, costly_counts = self.count_admitted(1.0), self.count_admitted(4.0)
        self.assertAlmostEqual(even_counts[True] / even_counts[False], 1 / 3, delta=0.1)
        self.assertAlmostEqual(costly_counts[True] / costly_counts[False], 1 / 12, delta=0.05)
