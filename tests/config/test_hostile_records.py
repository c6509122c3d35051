"""Properties that the fold keeps with hostile records, restarts and lost logs."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_testing.builders.config import (
    START_MS,
    TEAMS,
    StreamBuilder,
    make_fold,
)
from fulmarstile_testing.builders.histories import BODIES, NARROW, Fleet, take_step
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from fulmarstile_config import CustomerFold

PROPERTY = settings(derandomize=True, deadline=None, max_examples=60)

publications = st.tuples(
    st.just("publish"),
    st.sampled_from(("owner", "web", "platform", "nobody")),
    st.dictionaries(st.sampled_from(sorted(BODIES)), st.integers(0, 3), min_size=1, max_size=3),
    st.sampled_from(("", "", "", "reused")),
    st.sampled_from(("", "", "", "owner", "web")),
    st.sampled_from((0, 0, 0, -1, 1)),
)
garbage = st.tuples(st.just("garbage"), st.binary(max_size=40))
resends = st.tuples(st.just("resend"), st.integers(0, 50))
mutations = st.tuples(
    st.just("mutate"), st.integers(0, 50), st.integers(0, 2000), st.integers(1, 255)
)
snapshots = st.tuples(st.just("snapshot"))
steps = st.lists(
    st.one_of(publications, publications, garbage, resends, mutations, snapshots), max_size=40
)


@dataclass(frozen=True)
class ObservedState:
    """Observable state of a replica after a record."""

    head: object
    document: object
    history: object


def observe(fold: CustomerFold) -> ObservedState:
    return ObservedState(fold.head, fold.document, fold.history)


class HostileRecordTest(unittest.TestCase):
    def run_stream(self, actions: list[tuple]) -> tuple[StreamBuilder, list[ObservedState]]:
        stream = StreamBuilder(NARROW)
        stream.publish("owner", {"teams": TEAMS})
        seen = [observe(make_fold(NARROW)), observe(stream.fold)]
        for action in actions:
            version = stream.fold.version
            take_step(stream, action)
            self.assertIn(stream.fold.version - version, (0, 1))
            seen.append(observe(stream.fold))
        self.assertEqual(stream.fold.counters.snapshot_mismatches, 0)
        self.assertLessEqual(len(stream.fold.history), 10)
        return stream, seen

    @PROPERTY
    @given(steps, st.randoms(use_true_random=False))
    def test_duplicates_and_restarts_give_the_same_document_version_and_verdicts(
        self, actions: list[tuple], random: object
    ) -> None:
        stream, seen = self.run_stream(actions)
        replica = make_fold(NARROW)
        for position, record in enumerate(stream.records, 1):
            replica.on_record(record)
            for earlier in random.choices(stream.records[:position], k=random.randrange(3)):
                replica.on_record(earlier)
            if random.random() < 0.2:
                restarted = make_fold(NARROW)
                self.assertTrue(restarted.restore_snapshot(replica.encode_snapshot()))
                replica = restarted
            self.assertEqual(observe(replica), seen[position])
            self.assertFalse(replica.needs_new_generation)

    @PROPERTY
    @given(steps, st.integers(0, 40), st.sets(st.integers(0, 40), max_size=6))
    def test_replica_with_gaps_shows_the_true_state_or_an_earlier_one(
        self, actions: list[tuple], first: int, lost: set[int]
    ) -> None:
        stream, seen = self.run_stream(actions)
        replica = make_fold(NARROW)
        version = 0
        for record in stream.records[first:]:
            if record.offset not in lost:
                replica.on_record(record)
            self.assertGreaterEqual(replica.version, version)
            version = replica.version
            if not replica.needs_snapshot and version:
                self.assertEqual(observe(replica), seen[replica.head.next_offset])
        if replica.restore_snapshot(stream.fold.encode_snapshot()):
            self.assertEqual(observe(replica), seen[-1])

    @PROPERTY
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_never_raise(self, payload: bytes) -> None:
        fold = StreamBuilder(NARROW).publish_document().fold
        for data in (payload, b"\x01" + payload):
            self.assertFalse(fold.on_record(StreamRecord(fold.head.next_offset, data, START_MS)))
            self.assertFalse(fold.restore_snapshot(data))


fleet_steps = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(0, 2), st.sampled_from("abc")),
        st.tuples(st.just("sync"), st.integers(0, 2)),
        st.tuples(st.just("sync"), st.integers(0, 2)),
        st.tuples(st.just("restart"), st.integers(0, 2)),
        st.tuples(st.just("exchange"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("lose"), st.integers(0, 12)),
    ),
    max_size=40,
)


class LostLogTest(unittest.TestCase):
    def run_step(self, fleet: Fleet, step: tuple) -> None:
        match step:
            case ("publish", index, body):
                fleet.publish(index, body)
            case ("sync", index):
                fleet.sync(index)
            case ("restart", index):
                fleet.folds[index] = make_fold(NARROW)
            case ("exchange", source, target):
                fleet.exchange(source, target)
            case ("lose", kept):
                del fleet.log[kept:]

    @settings(PROPERTY, max_examples=400)
    @given(fleet_steps)
    def test_no_replica_goes_back_and_all_agree_after_the_log_has_lost_records(
        self, actions: list[tuple]
    ) -> None:
        fleet = Fleet()
        for action in actions:
            before = list(fleet.folds)
            versions = [fold.version for fold in before]
            self.run_step(fleet, action)
            for fold, old, version in zip(fleet.folds, before, versions, strict=True):
                if fold is old:
                    self.assertGreaterEqual(fold.version, version)
        highest = max(fold.version for fold in fleet.folds)
        fleet.settle()
        heads = {fold.head for fold in fleet.folds}
        self.assertEqual(len(heads), 1, heads)
        self.assertGreaterEqual(fleet.folds[0].version, highest)
        self.assertEqual(len({fold.history for fold in fleet.folds}), 1)
