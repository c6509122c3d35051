"""Snapshots contain the whole state, and replicas adopt only authentic and newer ones."""

from __future__ import annotations

import dataclasses
import unittest

import msgspec

from fulmarstile_config import CustomerFold, FoldLimits, SectionState, encode_record
from fulmarstile_config.fold_state import FoldState
from fulmarstile_config.quota import QuotaMeter
from fulmarstile_config.records import SnapshotRecord, decode_record
from fulmarstile_config.section import parse_section
from fulmarstile_config.snapshot import make_snapshot
from fulmarstile_config.verdict_history import VerdictHistory
from fulmarstile_testing.builders.config import (
    CUSTOMER,
    LIMITS,
    MESH_KEY,
    StreamBuilder,
    make_fold,
    make_key_pair,
    make_teams,
)

FASTER = LIMITS.replace("500", "900")


def alter_snapshot(payload: bytes, **changes: object) -> bytes:
    snapshot = decode_record(payload)
    assert isinstance(snapshot, SnapshotRecord)
    return encode_record(msgspec.structs.replace(snapshot, **changes))


class SnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder().publish_document()
        self.fold = self.stream.fold

    def assert_same(self, first: CustomerFold, second: CustomerFold) -> None:
        self.assertEqual(first.head, second.head)
        self.assertEqual(first.document, second.document)
        self.assertEqual(first.history, second.history)
        self.assertEqual(first.sequence, second.sequence)

    def test_restored_replica_equals_one_that_folded_every_record(self) -> None:
        self.stream.publish("web", {"routes": "routes: 1"})
        self.stream.append(b"garbage")
        restored = make_fold()
        self.assertTrue(restored.restore_snapshot(self.fold.encode_snapshot()))
        self.assert_same(restored, self.fold)
        self.assertTrue(self.stream.publish("web", {"limits": FASTER}).accepted)
        restored.on_record(self.stream.records[-1])
        self.assert_same(restored, self.fold)

    def test_forged_altered_and_foreign_snapshots_are_refused(self) -> None:
        payload = self.fold.encode_snapshot()
        foreign = CustomerFold(CUSTOMER, make_key_pair("owner").public_key, b"another mesh")
        self.stream.replay(foreign)
        for name, forged in {
            "another mesh key": foreign.encode_snapshot(),
            "raised version": alter_snapshot(payload, version=99),
            "raised offset": alter_snapshot(payload, next_offset=99),
            "raised generation": alter_snapshot(payload, generation=9),
            "another customer": alter_snapshot(payload, customer="dala-zher"),
            "truncated": payload[:-10],
            "empty": b"",
        }.items():
            with self.subTest(name):
                fold = make_fold()
                self.assertFalse(fold.restore_snapshot(forged))
                self.assertEqual(fold.version, 0)

    def test_snapshot_with_a_section_that_no_team_signed_is_refused(self) -> None:
        intruder = CustomerFold(CUSTOMER, make_key_pair("intruder").public_key, MESH_KEY)
        stream = StreamBuilder()
        publication = stream.make_publication("owner", {"limits": LIMITS}, key="intruder")
        stream.append(encode_record(publication))
        stream.replay(intruder)
        self.assertEqual(intruder.version, 1)
        fold = make_fold()
        self.assertFalse(fold.restore_snapshot(intruder.encode_snapshot()))
        self.assertEqual(fold.counters.snapshots_refused, 1)

    def test_snapshot_whose_sections_differ_from_their_publications_is_refused(self) -> None:
        limits, routes = self.fold.sections["limits"], self.fold.sections["routes"]
        altered = parse_section("limits", FASTER)
        teams_without_limits = dataclasses.replace(
            limits.teams, parsed=parse_section("teams", make_teams({"web": ("routes",)}))
        )
        for name, forged in {
            "altered body": dataclasses.replace(limits, body=FASTER, parsed=altered),
            "publication of another section": dataclasses.replace(
                limits, publication=self.fold.sections["pools"].publication
            ),
            "section moved to another team": dataclasses.replace(limits, teams=routes.teams.teams),
            "teams section that no owner signed": dataclasses.replace(
                limits,
                teams=dataclasses.replace(
                    teams_without_limits, body=make_teams({"web": ("limits",)})
                ),
            ),
        }.items():
            with self.subTest(name):
                self.assertFalse(
                    make_fold().restore_snapshot(self.encode_snapshot_of({"limits": forged}))
                )
        self.assertTrue(make_fold().restore_snapshot(self.encode_snapshot_of({"limits": limits})))

    def test_snapshot_with_a_section_of_a_team_that_does_not_own_it_is_refused(self) -> None:
        stream = StreamBuilder()
        stream.publish("owner", {"teams": make_teams({"web": ("limits", "routes")})})
        stream.publish("web", {"limits": LIMITS})
        stream.publish("owner", {"teams": make_teams({"web": ("routes",)})})
        limits = dataclasses.replace(
            stream.fold.sections["limits"], teams=stream.fold.sections["teams"]
        )
        self.assertFalse(make_fold().restore_snapshot(self.encode_snapshot_of({"limits": limits})))

    def encode_snapshot_of(self, sections: dict[str, SectionState]) -> bytes:
        """Returns a snapshot of `sections`, authenticated with the replicas' mesh key."""
        limits = FoldLimits()
        state = FoldState(VerdictHistory(limits), QuotaMeter(limits), sections=sections)
        return encode_record(make_snapshot(CUSTOMER, MESH_KEY, state, next_offset=5))

    def test_sections_stay_valid_after_their_team_got_another_key_or_was_removed(self) -> None:
        owned = {"web": ("routes", "limits")}
        for teams in (make_teams(owned, {"web": "web-2"}), make_teams({"other": ("routes",)})):
            self.stream.publish("owner", {"teams": teams})
            restored = make_fold()
            self.assertTrue(restored.restore_snapshot(self.fold.encode_snapshot()))
            self.assert_same(restored, self.fold)

    def test_older_snapshot_is_refused(self) -> None:
        older = self.fold.encode_snapshot()
        self.stream.publish("web", {"limits": FASTER})
        self.assertFalse(self.fold.restore_snapshot(older))
        self.assertEqual(self.fold.version, 4)

    def test_snapshot_on_the_stream_is_compared_but_not_adopted_by_a_complete_replica(self) -> None:
        self.stream.append(self.fold.encode_snapshot())
        self.assertEqual(self.fold.counters.snapshots_matched, 1)
        other = StreamBuilder()
        for number in range(3):
            other.publish("owner", {f"limits.l{number}": "limits: []\n"})
        self.stream.append(other.fold.encode_snapshot())
        self.assertEqual(self.fold.counters.snapshot_mismatches, 1)
        self.assertEqual(self.fold.counters.snapshots_adopted, 0)

    def test_fresh_replica_starts_at_the_first_snapshot_that_the_log_still_keeps(self) -> None:
        first_kept = len(self.stream.records)
        lagging = self.fold.encode_snapshot()
        self.stream.publish("web", {"limits": FASTER})
        self.stream.append(lagging)
        self.stream.publish("web", {"limits": LIMITS})
        fresh = self.stream.replay(make_fold(), first=first_kept)
        self.assert_same(fresh, self.fold)

    def test_replayed_snapshot_does_not_restore_an_old_document(self) -> None:
        old = self.fold.encode_snapshot()
        self.stream.publish("web", {"limits": FASTER})
        self.stream.publish("web", {"limits": LIMITS.replace("500", "5")})
        first_kept = len(self.stream.records)
        self.stream.append(old)
        fresh = self.stream.replay(make_fold(), first=first_kept)
        self.assertEqual(fresh.version, 0)
        self.assertTrue(fresh.needs_snapshot)
        self.stream.append(self.fold.encode_snapshot())
        fresh.on_record(self.stream.records[-1])
        self.assert_same(fresh, self.fold)

    def test_replica_that_missed_records_folds_nothing_until_a_snapshot_closes_the_gap(
        self,
    ) -> None:
        lagging = self.stream.replay(make_fold())
        self.stream.publish("web", {"limits": FASTER})
        self.stream.publish("web", {"routes": "routes: []\n"})
        lagging.on_record(self.stream.records[-1])
        self.assertTrue(lagging.needs_snapshot)
        self.assertEqual((lagging.version, len(lagging.document.routes)), (3, 2))
        self.assertTrue(lagging.restore_snapshot(self.fold.encode_snapshot()))
        self.assertFalse(lagging.needs_snapshot)
        self.assert_same(lagging, self.fold)

    def test_record_read_ahead_of_a_peers_snapshot_is_folded_after_it(self) -> None:
        snapshot = self.fold.encode_snapshot()
        self.stream.publish("web", {"limits": FASTER})
        fresh = make_fold()
        fresh.skip_to(len(self.stream.records) - 1)
        fresh.on_record(self.stream.records[-1])
        self.assertTrue(fresh.restore_snapshot(snapshot))
        self.assert_same(fresh, self.fold)

    def test_snapshot_that_decompresses_beyond_its_limit_is_refused(self) -> None:
        fold = make_fold(FoldLimits(max_snapshot_bytes=1024))
        self.assertFalse(fold.restore_snapshot(self.fold.encode_snapshot()))
