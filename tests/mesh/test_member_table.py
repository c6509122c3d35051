"""Merging membership records gives the same table in any order and keeps the newest record."""

from __future__ import annotations

import unittest
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_mesh._member_table import MemberTable, MergeResult
from fulmarstile_mesh._view_digest import ViewDigest
from fulmarstile_testing.builders.mesh import build_record
from fulmarstile_wire.records import AppliedRecord, MemberRecord, MemberStatus

RECORDS = st.builds(
    lambda number, incarnation, status: msgspec.structs.replace(
        build_record(number), incarnation=incarnation, status=status
    ),
    st.integers(0, 3),
    st.integers(1, 4),
    st.sampled_from(MemberStatus),
)


def merge_all(records: list[MemberRecord]) -> MemberTable:
    table = MemberTable()
    for number in range(4):
        table.merge_member(msgspec.structs.replace(build_record(number), incarnation=0), 0.0)
    for record in records:
        table.merge_member(record, 0.0)
    return table


class MemberTableTest(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(RECORDS, max_size=20), st.integers(0, 1000))
    def test_merging_does_not_depend_on_order_or_repetition(
        self, records: list[MemberRecord], seed: int
    ) -> None:
        shuffled = records * 2
        Random(seed).shuffle(shuffled)
        self.assertEqual(merge_all(records).members, merge_all(shuffled).members)

    def test_a_dead_member_is_not_revived_by_a_stale_record(self) -> None:
        alive = build_record(1)
        dead = msgspec.structs.replace(alive, status=MemberStatus.DEAD)
        table = merge_all([alive, dead])
        self.assertIs(table.merge_member(alive, 1.0), MergeResult.STALE)
        self.assertIs(table.members[alive.daemon_id].status, MemberStatus.DEAD)
        restarted = msgspec.structs.replace(alive, incarnation=alive.incarnation + 1)
        self.assertIs(table.merge_member(restarted, 1.0), MergeResult.NEWER)

    def test_records_about_unknown_members_are_not_kept(self) -> None:
        table = MemberTable()
        dead = msgspec.structs.replace(build_record(1), status=MemberStatus.DEAD)
        applied = AppliedRecord("stranger", 1, "laundry", 1, b"")
        self.assertIs(table.merge_member(dead, 0.0), MergeResult.IGNORED)
        self.assertIs(table.merge_applied(applied, 0.0), MergeResult.IGNORED)

    def test_digest_depends_on_content_and_not_on_history(self) -> None:
        first = merge_all([])
        second = merge_all([])
        digests = [ViewDigest(first), ViewDigest(second)]
        record = build_record(2)
        newer = msgspec.structs.replace(record, incarnation=record.incarnation + 1)
        for table, digest, records in (
            (first, digests[0], [record, newer]),
            (second, digests[1], [newer]),
        ):
            for daemon_id in table.members:
                digest.mark_changed(daemon_id)
            for update in records:
                table.merge_member(update, 0.0)
                digest.mark_changed(update.daemon_id)
                _ = digest.buckets
        self.assertEqual(digests[0].digest, digests[1].digest)
        first.merge_member(msgspec.structs.replace(newer, status=MemberStatus.LEAVING), 0.0)
        digests[0].mark_changed(newer.daemon_id)
        self.assertNotEqual(digests[0].digest, digests[1].digest)
