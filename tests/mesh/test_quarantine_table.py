"""Crash reports are counted once each, for a limited time, in bounded memory."""

from __future__ import annotations

import unittest

from fulmarstile_mesh._quarantine_table import QuarantineTable
from fulmarstile_wire.records import QuarantineRecord

LIFETIME_S = 60.0
LIMIT = 100
POISON = bytes(16)


def make_report(
    number: int, fingerprint: bytes = POISON, lifetime_s: float = LIFETIME_S
) -> QuarantineRecord:
    return QuarantineRecord(fingerprint, f"daemon-{number}", 1, int(lifetime_s * 1000))


def make_fingerprint(number: int) -> bytes:
    return number.to_bytes(16, "big")


class QuarantineTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = QuarantineTable(LIFETIME_S, LIMIT)

    def test_a_repeated_report_counts_once(self) -> None:
        self.assertTrue(self.book.merge(make_report(1), 0.0))
        self.assertFalse(self.book.merge(make_report(1), 1.0))
        self.assertEqual(self.book.fingerprints, frozenset())
        self.assertTrue(self.book.merge(make_report(2), 1.0))
        self.assertEqual(self.book.fingerprints, {POISON})

    def test_a_report_expires_and_repeating_it_cannot_extend_it(self) -> None:
        self.book.merge(make_report(1), 0.0)
        self.book.merge(make_report(2), 1.0)
        self.book.merge(make_report(1), 50.0)
        self.book.expire(59.0)
        self.assertEqual(self.book.fingerprints, {POISON})
        self.book.expire(60.0)
        self.assertEqual(self.book.fingerprints, frozenset())
        self.book.expire(61.0)
        self.assertEqual(self.book.list_records(0.0), [])

    def test_a_report_cannot_live_longer_than_allowed(self) -> None:
        self.book.merge(make_report(1, lifetime_s=1e6), 0.0)
        self.assertFalse(self.book.merge(make_report(2, lifetime_s=-1.0), 0.0))
        self.book.expire(LIFETIME_S)
        self.assertEqual(self.book.list_records(0.0), [])

    def test_later_reports_displace_the_oldest_but_not_what_has_crashed_twice(self) -> None:
        self.book.merge(make_report(1), 0.0)
        self.book.merge(make_report(2), 0.0)
        for number in range(1, 5 * LIMIT):
            self.book.merge(make_report(3, make_fingerprint(number)), number * 0.1)
        self.assertEqual(len(self.book.list_records(0.0)), LIMIT)
        self.assertEqual(self.book.fingerprints, {POISON})
        late = make_fingerprint(5 * LIMIT)
        for number in range(2):
            self.book.merge(make_report(number, late), 55.0)
        self.assertEqual(self.book.fingerprints, {POISON, late})

    def test_a_displaced_report_that_is_heard_again_displaces_no_other(self) -> None:
        displaced = make_fingerprint(1)
        for number in range(1, LIMIT + 2):
            self.book.merge(make_report(1, make_fingerprint(number)), number * 2.0 / LIMIT)
        now = 2.1
        before = self.book.list_records(now)
        self.assertNotIn(displaced, {record.fingerprint for record in before})
        again = make_report(1, displaced, LIFETIME_S - now + 0.5)
        self.assertFalse(self.book.merge(again, now))
        self.assertEqual(self.book.list_records(now), before)


if __name__ == "__main__":
    unittest.main()
