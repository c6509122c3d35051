"""Replicas seed a log that has lost a stream, and none returns to a lower version."""

from __future__ import annotations

import unittest

from fulmarstile_config import RefusalCode, encode_record
from fulmarstile_testing.builders.config import LIMITS, START_MS, StreamBuilder, make_fold
from fulmarstile_wire.records import StreamRecord


def make_log(payloads: list[bytes], first: int = 0) -> list[StreamRecord]:
    return [
        StreamRecord(first + index, payload, START_MS + index)
        for index, payload in enumerate(payloads)
    ]


class LogResetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder().publish_document()
        self.fold = self.stream.fold
        self.new_stream = StreamBuilder()

    def make_early_publication(self) -> bytes:
        """Returns a publication that is appended to the new log before a replica seeds it."""
        publication = self.new_stream.make_publication(
            "owner", {"limits": LIMITS}, publication_id="early"
        )
        return encode_record(publication)

    def test_seed_keeps_the_document_and_refuses_publications_appended_before_it(self) -> None:
        seed = self.fold.begin_generation()
        for record in make_log([self.make_early_publication(), seed]):
            self.fold.on_record(record)
        head = self.fold.head
        self.assertEqual((head.generation, head.version, head.next_offset), (1, 3, 2))
        self.assertEqual(self.fold.find_verdict("early").refusal.code, RefusalCode.LOG_RESET)

    def test_fresh_replica_reaches_the_same_state_from_the_seeded_log(self) -> None:
        log = make_log([self.make_early_publication(), self.fold.begin_generation()])
        fresh = make_fold()
        for record in log:
            fresh.on_record(record)
            self.fold.on_record(record)
        self.assertEqual(fresh.head, self.fold.head)
        self.assertEqual(fresh.history, self.fold.history)

    def test_replica_unaware_of_the_loss_adopts_the_seed_at_a_lower_offset(self) -> None:
        unaware = self.stream.replay(make_fold())
        for record in make_log([self.fold.begin_generation()]):
            unaware.on_record(record)
            self.fold.on_record(record)
        self.assertEqual(unaware.head, self.fold.head)

    def test_replicas_that_seed_at_the_same_time_agree_on_one_generation(self) -> None:
        other = self.stream.replay(make_fold())
        seeds = [self.fold.begin_generation(), other.begin_generation()]
        self.stream.publish("web", {"limits": LIMITS})
        for record in make_log([*seeds, seeds[0]]):
            for fold in (self.fold, other):
                fold.on_record(record)
        self.assertEqual(self.fold.head, other.head)
        self.assertEqual(self.fold.head.generation, 1)
        self.assertFalse(self.fold.needs_new_generation)

    def test_replica_with_a_higher_version_seeds_again_instead_of_adopting_a_lower_one(
        self,
    ) -> None:
        lagging = self.stream.replay(make_fold(), last=2)
        log = make_log([lagging.begin_generation()])
        self.fold.begin_generation()
        for fold in (self.fold, lagging):
            fold.on_record(log[0])
        self.assertEqual((lagging.version, self.fold.version), (2, 3))
        self.assertTrue(self.fold.needs_new_generation)
        log += make_log([self.fold.begin_generation()], first=1)
        for fold in (self.fold, lagging):
            fold.on_record(log[1])
        self.assertEqual(self.fold.head, lagging.head)
        self.assertEqual((lagging.version, lagging.head.generation), (3, 2))
        self.assertFalse(self.fold.needs_new_generation)
        fresh = make_fold()
        for record in log:
            fresh.on_record(record)
        self.assertEqual(fresh.head, self.fold.head)

    def test_snapshot_of_a_later_generation_with_a_lower_version_is_not_adopted(self) -> None:
        lagging = self.stream.replay(make_fold(), last=2)
        lagging.on_record(make_log([lagging.begin_generation()])[0])
        self.assertEqual(lagging.head.generation, 1)
        self.assertFalse(self.fold.restore_snapshot(lagging.encode_snapshot()))
        self.assertEqual(self.fold.version, 3)
        self.assertTrue(self.fold.needs_new_generation)

    def test_log_that_lost_only_its_newest_records_is_seeded_at_the_replicas_version(self) -> None:
        self.fold.begin_generation()
        kept = self.stream.records[:2]
        seed = self.fold.begin_generation(end_offset=2)
        log = [*kept, *make_log([self.make_early_publication(), seed], first=2)]
        fresh = make_fold()
        for record in log:
            self.fold.on_record(record)
            fresh.on_record(record)
        self.assertEqual((fresh.version, fresh.head.generation), (3, 1))
        self.assertEqual(fresh.head, self.fold.head)
        self.assertEqual(fresh.history, self.fold.history)

    def test_seed_after_a_gap_is_not_adopted_as_records_after_an_earlier_seed_may_be_missing(
        self,
    ) -> None:
        seed = self.fold.begin_generation()
        for record in make_log([seed]):
            self.fold.on_record(record)
        fresh = make_fold()
        fresh.skip_to(40)
        for record in make_log([seed], first=40):
            fresh.on_record(record)
        self.assertEqual(fresh.version, 0)
        self.assertTrue(fresh.needs_snapshot)

    def test_publications_continue_after_the_seed(self) -> None:
        self.stream.records.clear()
        self.stream.append(self.fold.begin_generation())
        verdict = self.stream.publish("web", {"limits": LIMITS.replace("500", "900")})
        self.assertTrue(verdict.accepted)
        self.assertEqual((verdict.version, verdict.offset), (4, 1))

    def test_another_record_at_a_folded_offset_shows_that_the_log_was_reset(self) -> None:
        restored = make_fold()
        restored.restore_snapshot(self.fold.encode_snapshot())
        record = make_log([self.make_early_publication()], first=2)[0]
        for fold in (self.fold, restored):
            fold.on_record(self.stream.records[2])
            self.assertFalse(fold.needs_new_generation)
            self.assertFalse(fold.on_record(record))
            self.assertTrue(fold.needs_new_generation)
            self.assertEqual(fold.version, 3)

    def test_seeding_again_while_the_log_is_down_begins_the_same_generation(self) -> None:
        self.fold.begin_generation()
        self.fold.on_record(make_log([self.make_early_publication()])[0])
        log = make_log([self.make_early_publication(), self.fold.begin_generation()])
        other = self.stream.replay(make_fold())
        for fold in (self.fold, other):
            fold.on_record(log[1])
            self.assertEqual(fold.head.generation, 1)
            self.assertEqual(fold.find_verdict("early").refusal.code, RefusalCode.LOG_RESET)
        self.assertEqual(other.history, self.fold.history)

    def test_records_before_the_seed_are_not_folded_even_past_the_end_of_the_lost_log(self) -> None:
        seed = self.fold.begin_generation()
        early = [self.make_early_publication()] * 5
        for record in make_log([*early, seed]):
            self.fold.on_record(record)
            self.assertEqual(self.fold.version, 3)
        self.assertEqual(self.fold.head.next_offset, 6)

    def test_replica_aware_of_the_loss_adopts_a_peers_higher_version(self) -> None:
        lagging = self.stream.replay(make_fold(), last=2)
        lagging.begin_generation()
        self.assertTrue(lagging.restore_snapshot(self.fold.encode_snapshot()))
        self.assertEqual(lagging.version, 3)

    def test_replica_aware_of_the_loss_adopts_no_snapshot_of_the_lost_log_at_its_own_version(
        self,
    ) -> None:
        ahead = self.stream.replay(make_fold())
        ahead.on_record(make_log([b"garbage"], first=3)[0])
        self.fold.begin_generation()
        self.assertFalse(self.fold.restore_snapshot(ahead.encode_snapshot()))
        self.assertEqual(self.fold.head.next_offset, 0)

    def test_new_log_is_read_from_its_start_and_skips_records_that_it_no_longer_keeps(self) -> None:
        seed = self.fold.begin_generation()
        self.assertEqual(self.fold.head.next_offset, 0)
        self.fold.skip_to(7)
        self.assertFalse(self.fold.needs_snapshot)
        for record in make_log([b"garbage", seed], first=7):
            self.fold.on_record(record)
        head = self.fold.head
        self.assertEqual((head.generation, head.version, head.next_offset), (1, 3, 9))

    def test_later_generation_is_adopted_from_a_snapshot_after_its_seed_has_expired(self) -> None:
        late = self.stream.replay(make_fold())
        log = make_log([self.fold.begin_generation()])
        self.fold.on_record(log[0])
        log += make_log([self.fold.encode_snapshot(), b"garbage"], first=1)
        for record in log[1:]:
            self.fold.on_record(record)
        late.begin_generation()
        for record in log[1:]:
            late.on_record(record)
        self.assertEqual(late.head, self.fold.head)
        self.assertEqual(late.history, self.fold.history)
