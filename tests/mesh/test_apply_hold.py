"""A restarted daemon applies no version older than the one it applied before."""

from __future__ import annotations

import unittest
from random import Random

from fulmarstile_mesh import Apply, Membership, MembershipSettings, Relay, RelaySettings
from fulmarstile_testing.builders.mesh import CUSTOMER, build_record
from fulmarstile_testing.fakes.replica import FakeReplica
from fulmarstile_wire.messages import Members, RecordBatch
from fulmarstile_wire.records import AppliedRecord, News, StreamRecord

LAST_VERSION = 5


class ApplyHoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.local_record = build_record(0, started_at=100.0)
        self.peer = build_record(6)
        self.membership = Membership(MembershipSettings(), self.local_record, Random(1))
        self.replica = FakeReplica(CUSTOMER)
        self.relay = Relay(
            RelaySettings(),
            self.local_record.daemon_id,
            self.local_record.peer_address,
            self.local_record.availability_zone,
            self.local_record.region,
            {CUSTOMER: self.replica},
            self.membership,
            Random(2),
        )

    def answer_join(self, *, answers_join: bool = True) -> None:
        applied = AppliedRecord(self.local_record.daemon_id, 1, CUSTOMER, LAST_VERSION, bytes(8))
        news = News(members=(self.peer,), applied=(applied,))
        message = Members(self.peer.daemon_id, self.peer.peer_address, news, answers_join)
        self.membership.on_members(message, 1.0)

    def receive_records(self, first: int, count: int) -> list[Apply]:
        records = tuple(
            StreamRecord(offset, b"record %d" % offset, 0) for offset in range(first, first + count)
        )
        batch = RecordBatch(
            self.peer.daemon_id, self.peer.peer_address, CUSTOMER, 0, records, first + count
        )
        effects = self.relay.on_record_batch(batch, 1.0)
        return [effect for effect in effects if isinstance(effect, Apply)]

    def test_a_version_below_the_last_applied_one_is_held_back(self) -> None:
        self.answer_join()
        self.assertEqual(self.receive_records(0, 3), [])
        self.assertTrue(self.relay.dump().streams[0].is_apply_held)
        self.assertEqual(self.relay.counters.applies_held, 1)
        self.assertEqual(self.receive_records(3, 2), [Apply(CUSTOMER)])
        self.assertFalse(self.relay.dump().streams[0].is_apply_held)

    def test_nothing_is_applied_before_the_view_is_settled(self) -> None:
        self.answer_join(answers_join=False)
        self.assertEqual(self.receive_records(0, 7), [])
        self.answer_join()
        effects = self.relay.on_tick(1.1)
        self.assertIn(Apply(CUSTOMER), effects)

    def test_a_batch_with_a_gap_is_not_folded_before_the_gap_is_filled(self) -> None:
        self.answer_join()
        self.receive_records(4, 3)
        self.assertEqual(self.replica.folded, [])
        self.receive_records(0, 4)
        self.assertEqual(self.replica.folded, list(range(7)))
