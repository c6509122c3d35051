"""Knowledge proves no more than what was true when its question was sent."""

from __future__ import annotations

import unittest

from fulmarstile_services.freshness import Freshness
from fulmarstile_services.settings import RevocationBounds

REVOKE_S = 5.0


class FreshnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.freshness = Freshness(RevocationBounds(REVOKE_S))

    def test_nothing_is_usable_before_the_first_confirmation(self) -> None:
        self.assertFalse(self.freshness.is_usable(0.0))
        self.assertTrue(Freshness().is_usable(0.0))

    def test_knowledge_is_not_used_up_to_the_bound(self) -> None:
        self.freshness.confirm(100.0)
        self.assertTrue(self.freshness.is_usable(104.4))
        self.assertFalse(self.freshness.is_usable(104.5))

    def test_a_late_answer_does_not_make_newer_knowledge_older(self) -> None:
        self.freshness.confirm(100.0)
        self.assertFalse(self.freshness.confirm(90.0))
        self.assertEqual(self.freshness.age_s(101.0), 1.0)

    def test_the_age_of_another_daemon_counts_from_when_it_was_asked(self) -> None:
        self.assertTrue(self.freshness.confirm_by_peer(100.0, 3.0))
        self.assertEqual(self.freshness.age_s(100.0), 3.0)

    def test_a_negative_age_proves_no_more_than_an_age_of_zero(self) -> None:
        self.freshness.confirm_by_peer(100.0, -50.0)
        self.assertEqual(self.freshness.age_s(100.0), 0.0)


if __name__ == "__main__":
    unittest.main()
