"""Daemons that merge the same records reach the same state, in any order."""

from __future__ import annotations

import itertools
import unittest

from fulmarstile_services.directory import Directory
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.services import CrashReport, MemberPhase


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = Directory(make_member("own", service="stock"))

    def test_the_order_of_records_does_not_matter(self) -> None:
        records = (
            make_member(revision=1),
            make_member(revision=2, phase=MemberPhase.LEAVING),
            make_member(incarnation=2_000, revision=0),
            make_member("daemon-2"),
        )
        digests = set()
        for order in itertools.permutations(records):
            directory = Directory(make_member("own"))
            for record in order:
                directory.merge_members([record])
            digests.add(directory.digest)
            self.assertEqual(directory.find("daemon-1"), records[2])
        self.assertEqual(len(digests), 1)

    def test_only_serving_upstreams_of_a_service_are_listed(self) -> None:
        self.directory.merge_members(
            [
                make_member("daemon-1"),
                make_member("daemon-2", phase=MemberPhase.LEAVING),
                make_member("daemon-3", service="stock"),
            ]
        )
        names = [member.name for member in self.directory.serving("shop")]
        self.assertEqual(names, ["daemon-1"])

    def test_a_record_from_before_the_clock_was_set_back_raises_the_local_one_above_it(
        self,
    ) -> None:
        earlier = make_member("own", incarnation=9_000, upstream_leaves=True)
        self.directory.merge_members([earlier])
        self.assertGreater(self.directory.local_member.order, earlier.order)
        self.assertEqual(self.directory.previous_record, earlier)
        self.assertEqual(self.directory.local_member.service, "stock")

    def test_a_record_of_an_earlier_incarnation_is_kept_as_the_previous_record(self) -> None:
        earlier = make_member("own", incarnation=10)
        self.directory.merge_members([earlier])
        self.assertEqual(self.directory.previous_record, earlier)
        self.assertEqual(self.directory.local_member.incarnation, 1_000)

    def test_different_crash_reports_have_different_digests_and_equal_ones_the_same(self) -> None:
        report = CrashReport(b"12345678", "upstream-1", 1)
        later = CrashReport(b"12345678", "upstream-1", 2)
        digests = []
        for batches in (
            [],
            [[report]],
            [[report, report]],
            [[report], [report]],
            [[report, later]],
        ):
            directory = Directory(make_member("own"))
            for batch in batches:
                directory.merge_crashes(batch)
            digests.append(directory.digest)
        none, once, twice, again, both = digests
        self.assertEqual((once, once), (twice, again))
        self.assertEqual(len({none, once, both}), 3)

    def test_a_request_is_suspect_once_it_has_crashed_two_upstreams(self) -> None:
        fingerprint = b"f" * 8
        self.directory.merge_crashes([CrashReport(fingerprint, "upstream-1", 1)])
        self.directory.merge_crashes([CrashReport(fingerprint, "upstream-1", 1)])
        self.assertFalse(self.directory.is_suspect(fingerprint))
        self.directory.merge_crashes([CrashReport(fingerprint, "upstream-2", 1)])
        self.assertTrue(self.directory.is_suspect(fingerprint))
