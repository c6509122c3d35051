"""Results that callers of at-most-once routes get, with one fault at a time."""

from __future__ import annotations

import random
import unittest

from fulmarstile_calls.claims import ClaimSettings, ClaimTable, check_key, parse_key_time
from fulmarstile_calls.claims.batch import ClaimBatch, encode_batch
from fulmarstile_calls.request import RefusalReason
from fulmarstile_platform.log import LogRecord
from fulmarstile_testing.builders.calls import EPOCH_MS, make_key
from fulmarstile_testing.virtual_claims import ClaimFleet
from fulmarstile_wire.records import ClaimRecord
from fulmarstile_wire.verdict import Verdict

MAX_APPENDS_PER_S = 100
CLAIMS_PER_S = 1_400
MAX_REFUSAL_DELAY_S = 0.1


class KeyTest(unittest.TestCase):
    """Keys are UUIDs of version 7 and carry their creation time."""

    def test_keys_are_refused_as_not_run_with_their_reason(self):
        settings = ClaimSettings(window_s=600.0, max_ahead_s=5.0)
        draw = random.Random(1)
        cases = (
            ("", RefusalReason.KEY_MISSING),
            ("booking-17", RefusalReason.KEY_INVALID),
            ("f47ac10b-58cc-4372-a567-0e02b2c3d479", RefusalReason.KEY_INVALID),
            ("{" + make_key(draw, EPOCH_MS)[:34] + "}", RefusalReason.KEY_INVALID),
            (make_key(draw, EPOCH_MS - 600_001), RefusalReason.KEY_EXPIRED),
            (make_key(draw, EPOCH_MS + 5_001), RefusalReason.KEY_EXPIRED),
        )
        for key, reason in cases:
            refusal = check_key(key, EPOCH_MS, settings)
            with self.subTest(key=key):
                self.assertEqual((refusal.reason, refusal.verdict), (reason, Verdict.NOT_RUN))
        self.assertIsNone(check_key(make_key(draw, EPOCH_MS - 599_000), EPOCH_MS, settings))

    def test_creation_time_of_the_rfc_example_is_parsed(self):
        self.assertEqual(parse_key_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), 0x017F22E279B0)


class ClaimTableTest(unittest.TestCase):
    """The fold of a stream does not depend on when a daemon started to read it."""

    def _fold(self, table, offset, age_ms, claim):
        payload = encode_batch(ClaimBatch((), (claim,)))
        table.fold(LogRecord(offset, payload, EPOCH_MS + age_ms))

    def test_expired_keys_are_forgotten_and_can_never_be_claimed_again(self):
        table = ClaimTable(ClaimSettings(window_s=60.0))
        key = make_key(random.Random(1), EPOCH_MS)
        self._fold(table, 1, 1_000, ClaimRecord("laundry", key, "first", b""))
        self.assertEqual(table.find("laundry", key, "").winner_id, "first")
        self._fold(table, 2, 80_000, ClaimRecord("laundry", key, "second", b""))
        self.assertEqual(table.key_count, 0)
        self.assertIsNone(table.find("laundry", key, "second"))

    def test_keys_older_than_the_stream_are_not_claimed(self):
        table = ClaimTable(ClaimSettings())
        key = make_key(random.Random(1), EPOCH_MS)
        table.fold(LogRecord(0, encode_batch(ClaimBatch()), EPOCH_MS + 1))
        self._fold(table, 1, 2, ClaimRecord("laundry", key, "first", b""))
        self.assertEqual(table.key_count, 0)

    def test_malformed_records_are_counted_and_change_nothing(self):
        table = ClaimTable(ClaimSettings())
        for offset, payload in enumerate((b"", b"\xff" * 99, b"\x91" * 5_000, bytes(5 << 20))):
            self.assertEqual(table.fold(LogRecord(offset, payload, EPOCH_MS)), ())
        self.assertEqual((table.malformed_count, table.key_count, table.next_offset), (4, 0, 4))


class ResultTest(unittest.TestCase):
    """Results of claims in a fleet with one fault at a time."""

    def setUp(self):
        self.fleet = ClaimFleet(1)
        self.fleet.run(1.0)

    def _call(self, daemon: str, key: str, run_s: float = 2.0, **options):
        call = self.fleet.call(daemon, key, **options)
        self.fleet.run(run_s)
        return call

    def _assert_refused(self, call, reason: RefusalReason, verdict: Verdict) -> None:
        self.assertIsNotNone(call.refusal)
        self.assertEqual((call.refusal.reason, call.refusal.verdict), (reason, verdict))
        self.assertEqual(call.runs, 0)

    def test_resend_through_any_daemon_gets_the_stored_answer(self):
        key = self.fleet.make_key()
        self.assertEqual(self._call("daemon-0", key).runs, 1)
        for daemon in self.fleet.daemons:
            again = self._call(daemon, key)
            self.assertEqual((again.runs, again.stored_status), (0, 201))

    def test_resend_while_the_request_runs_is_refused_as_may_have_run(self):
        self.fleet.run_s = 100.0
        key = self.fleet.make_key()
        self._call("daemon-0", key, 0.5)
        again = self._call("daemon-1", key, 0.5)
        self._assert_refused(again, RefusalReason.KEY_IN_PROGRESS, Verdict.MAY_HAVE_RUN)

    def test_key_with_another_body_is_refused_as_not_run(self):
        key = self.fleet.make_key()
        self._call("daemon-0", key)
        other = self._call("daemon-1", key, body=b"other")
        self._assert_refused(other, RefusalReason.KEY_REUSED, Verdict.NOT_RUN)

    def test_request_without_a_complete_answer_never_runs_again(self):
        self.fleet.unknown = 1.0
        key = self.fleet.make_key()
        self.assertEqual(self._call("daemon-0", key).runs, 1)
        again = self._call("daemon-1", key)
        self._assert_refused(again, RefusalReason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def test_key_is_free_again_after_a_request_that_was_not_run(self):
        self.fleet.not_run = 1.0
        key = self.fleet.make_key()
        self.assertEqual(self._call("daemon-0", key).runs, 0)
        self.fleet.not_run = 0.0
        self.assertEqual(self._call("daemon-1", key).runs, 1)

    def test_log_outage_is_reported_at_once_and_the_key_stays_usable(self):
        self.fleet.log_faults.is_down = True
        self._call("daemon-0", self.fleet.make_key(), 0.1)
        key = self.fleet.make_key()
        call = self._call("daemon-0", key, MAX_REFUSAL_DELAY_S)
        self._assert_refused(call, RefusalReason.LOG_UNAVAILABLE, Verdict.NOT_RUN)
        self.fleet.log_faults.is_down = False
        self.fleet.run(self.fleet.settings.max_backoff_s + 1.0)
        self.assertEqual(self._call("daemon-1", key).runs, 1)

    def test_claim_wins_although_the_answer_to_its_append_is_lost(self):
        self.fleet.log_faults.lost_answers = 1.0
        calls = [self._call(daemon, self.fleet.make_key()) for daemon in self.fleet.daemons]
        self.assertEqual([call.runs for call in calls], [1] * len(calls))

    def test_daemon_that_pauses_past_the_deadline_does_not_run_its_claim(self):
        key = self.fleet.make_key()
        call = self.fleet.call("daemon-0", key, deadline_s=2.0)
        self.fleet.daemons["daemon-0"].pause(10.0)
        self.fleet.run(11.0)
        self.assertEqual(call.runs, 0)
        self.assertEqual(self._call("daemon-1", key).runs, 1)

    def test_claims_of_the_whole_fleet_stay_within_the_append_limit(self):
        daemons = sorted(self.fleet.daemons)
        before = self.fleet.log.appends
        for _ in range(3 * CLAIMS_PER_S):
            self.fleet.call(self.fleet.random.choice(daemons), self.fleet.make_key())
            self.fleet.run(1 / CLAIMS_PER_S)
        self.assertLessEqual((self.fleet.log.appends - before) / 3, MAX_APPENDS_PER_S)
        self.fleet.run(2.0)
        self.assertEqual(sum(call.runs for call in self.fleet.calls), 3 * CLAIMS_PER_S)
