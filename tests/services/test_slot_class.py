"""Calls made by an upstream get a higher class, so that their parent's slot time isn't wasted."""

from __future__ import annotations

import unittest

from fulmarstile_services.slot_class import SLOT_WEIGHTS, SlotClass, classify


class SlotClassTest(unittest.TestCase):
    def test_requests_without_a_parent_are_classified_by_priority(self) -> None:
        classes = [classify(priority, None) for priority in range(4)]
        expected = [SlotClass.SHORT, SlotClass.URGENT, SlotClass.OTHER, SlotClass.OTHER]
        self.assertEqual(classes, expected)

    def test_a_call_is_classified_by_its_parent_request(self) -> None:
        self.assertEqual(classify(2, SlotClass.URGENT), SlotClass.URGENT_CALL)
        self.assertEqual(classify(2, SlotClass.URGENT_CALL), SlotClass.URGENT_CALL)
        self.assertEqual(classify(2, SlotClass.OTHER), SlotClass.SHORT)

    def test_every_class_has_a_weight_and_urgent_calls_have_the_largest(self) -> None:
        self.assertEqual(len(SLOT_WEIGHTS), len(SlotClass))
        self.assertEqual(sorted(SLOT_WEIGHTS, reverse=True), list(SLOT_WEIGHTS))
