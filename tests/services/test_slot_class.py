"""Calls of upstreams go before what would waste the time of the requests they belong to."""

from __future__ import annotations

import unittest

from fulmarstile_services.slot_class import SLOT_WEIGHTS, SlotClass, classify


class SlotClassTest(unittest.TestCase):
    def test_requests_of_callers_are_classified_by_rank(self) -> None:
        classes = [classify(rank, None) for rank in range(4)]
        expected = [SlotClass.SHORT, SlotClass.URGENT, SlotClass.OTHER, SlotClass.OTHER]
        self.assertEqual(classes, expected)

    def test_a_call_is_as_urgent_as_the_request_that_it_belongs_to(self) -> None:
        self.assertEqual(classify(2, SlotClass.URGENT), SlotClass.URGENT_CALL)
        self.assertEqual(classify(2, SlotClass.URGENT_CALL), SlotClass.URGENT_CALL)
        self.assertEqual(classify(2, SlotClass.OTHER), SlotClass.SHORT)

    def test_every_class_has_a_share_and_calls_have_the_largest(self) -> None:
        self.assertEqual(len(SLOT_WEIGHTS), len(SlotClass))
        self.assertEqual(sorted(SLOT_WEIGHTS, reverse=True), list(SLOT_WEIGHTS))
