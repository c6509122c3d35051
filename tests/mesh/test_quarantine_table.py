"""The quarantine table counts each crash report once, expires it and limits its size."""

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
        self.table = QuarantineTable(LIFETIME_S, LIMIT)

    def test_a_repeated_report_counts_once(self) -> None:
        self.assertTrue(self.table.merge(make_report(1), 0.0))
        self.assertFalse(self.table.merge(make_report(1), 1.0))
        self.assertEqual(self.table.fingerprints, frozenset())
        self.assertTrue(self.table.merge(make_report(2), 1.0))
        self.assertEqual(self.table.fingerprints, {POISON})

    def test_a_report_expires_even_if_it_is_repeated(self) -> None:
        self.table.merge(make_report(1), 0.0)
        self.table.merge(make_report(2), 1.0)
        self.table.merge(make_report(1), 50.0)
        self.table.expire(59.0)
        self.assertEqual(self.table.fingerprints, {POISON})
        self.table.expire(60.0)
        self.assertEqual(self.table.fingerprints, frozenset())
        self.table.expire(61.0)
        self.assertEqual(self.table.list_records(0.0), [])

    def test_the_lifetime_of_a_report_is_capped(self) -> None:
        self.table.merge(make_report(1, lifetime_s=1e6), 0.0)
        self.assertFalse(self.table.merge(make_report(2, lifetime_s=-1.0), 0.0))
        self.table.expire(LIFETIME_S)
        self.assertEqual(self.table.list_records(0.0), [])

    def test_a_full_table_evicts_the_oldest_report_that_is_not_quarantined(self) -> None:
        self.table.merge(make_report(1), 0.0)
        self.table.merge(make_report(2), 0.0)
        for number in range(1, 5 * LIMIT):
            self.table.merge(make_report(3, make_fingerprint(number)), number * 0.1)
        self.assertEqual(len(self.table.list_records(0.0)), LIMIT)
        self.assertEqual(self.table.fingerprints, {POISON})
        late = make_fingerprint(5 * LIMIT)
        for number in range(2):
            self.table.merge(make_report(number, late), 55.0)
        self.assertEqual(self.table.fingerprints, {POISON, late})

    def test_an_evicted_report_that_is_received_again_evicts_no_other(self) -> None:
        evicted = make_fingerprint(1)
        for number in range(1, LIMIT + 2):
            self.table.merge(make_report(1, make_fingerprint(number)), number * 2.0 / LIMIT)
        now = 2.1
        before = self.table.list_records(now)
        self.assertNotIn(evicted, {record.fingerprint for record in before})
        repeated = make_report(1, evicted, LIFETIME_S - now + 0.5)
        self.assertFalse(self.table.merge(repeated, now))
        self.assertEqual(self.table.list_records(now), before)


if __name__ == "__main__":
    unittest.main()
