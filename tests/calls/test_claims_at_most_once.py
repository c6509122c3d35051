"""A claimed request runs at most once under every combination of faults."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_calls.claims import ClaimRequester, ClaimSettings, ClaimTable, ClaimWon
from fulmarstile_calls.claims import batcher as batcher_module
from fulmarstile_calls.claims import shard_batchers as shard_batchers_module
from fulmarstile_calls.claims.batcher import ClaimBatcher
from fulmarstile_mesh.effects import Send
from fulmarstile_testing.virtual_claims import ClaimFleet
from fulmarstile_wire.messages import ClaimReply
from fulmarstile_wire.verdict import Verdict

SEEDS = range(150)
STEPS = 60
SETTINGS = ClaimSettings(shards=2, window_s=12.0, append_interval_s=0.05, outcome_lifetime_s=5.0)


def run_with_faults(seed: int, requester_type: type[ClaimRequester] = ClaimRequester) -> ClaimFleet:
    """Sends and repeats calls under random faults, then runs for 30 s without a log outage."""
    draw = random.Random(seed)
    fleet = ClaimFleet(
        seed,
        daemon_count=draw.choice((2, 4, 6)),
        settings=SETTINGS,
        requester_type=requester_type,
        unknown=0.1,
        not_run=0.2,
    )
    fleet.run(1.0)
    fleet.network.lost = draw.choice((0.0, 0.1, 0.3))
    fleet.network.repeated = draw.choice((0.0, 0.3))
    fleet.network.late = draw.choice((0.0, 0.2))
    fleet.log_faults.lost_answers = draw.choice((0.0, 0.2, 0.5))
    fleet.log_faults.refused = draw.choice((0.0, 0.2))
    fleet.log_faults.retention_s = 2.5 * SETTINGS.window_s
    fleet.run_s = draw.choice((0.02, 1.0))
    loses_log = draw.random() < 0.3
    keys: list[str] = []
    for _ in range(STEPS):
        perform_random_action(fleet, draw, keys)
        if loses_log and draw.random() < 0.05:
            fleet.log.lose_everything()
        fleet.run(draw.expovariate(4.0))
    fleet.log_faults.is_down = False
    fleet.run(30.0)
    return fleet


def perform_random_action(fleet: ClaimFleet, draw: random.Random, keys: list[str]) -> None:
    daemon_ids = sorted(fleet.daemons)
    daemon = fleet.daemons[draw.choice(daemon_ids)]
    action = draw.choices(
        ("call", "resend", "kill", "start", "pause", "view", "log"), (6, 8, 1, 3, 2, 2, 1)
    )[0]
    if action in ("call", "resend") and daemon.is_running:
        if action == "call" or not keys:
            keys.append(fleet.make_key())
        key = draw.choice(keys[-6:])
        fleet.call(daemon.daemon_id, key, deadline_s=draw.choice((0.5, 5.0)))
    elif action == "kill" and daemon.is_running:
        daemon.kill()
    elif action == "start" and not daemon.is_running:
        daemon.start()
        fleet.share_members()
    elif action == "pause":
        daemon.pause(draw.choice((0.5, 3.0, 15.0)))
    elif action == "view":
        fleet.share_members([daemon.daemon_id], hidden=[draw.choice(daemon_ids)])
    elif action == "log":
        fleet.log_faults.is_down = not fleet.log_faults.is_down


def count_double_runs(fleet: ClaimFleet) -> int:
    return sum(1 for runs in fleet.runs_by_key.values() if runs > 1)


def count_false_refusals(fleet: ClaimFleet) -> int:
    return sum(
        1
        for call in fleet.calls
        if call.refusal is not None and call.refusal.verdict is Verdict.NOT_RUN and call.runs
    )


class UnverifiedWinBatcher(ClaimBatcher):
    """Reports a claim as won when its append is done, without reading it back from the log."""

    def on_append_done(self, offset, now):
        effects = super().on_append_done(offset, now)
        for waiting in list(self._waiting.values()):
            claim_id = waiting.record.claim_id
            reply = ClaimReply("", "", claim_id, claim_id)
            effects.append(Send(waiting.reply_to, reply))
        return effects


class ReleasingWinRequester(ClaimRequester):
    """Frees the key of a claim when another reply reports its win, even if its request has run."""

    def _release_late_win(self, claim_id, now):
        claim = self._abandoned.get(claim_id) or self._recent.get(claim_id)
        return self._send_release(claim, now) if claim else []

    def _win(self, claim, now):
        self._recent = {**getattr(self, "_recent", {}), claim.record.claim_id: claim}
        return super()._win(claim, now)

    _recent: dict = {}


class LateRunRequester(ClaimRequester):
    """Runs the request of a claim that was given up if the claim wins later."""

    def _release_late_win(self, claim_id, now):
        claim = self._abandoned.pop(claim_id, None)
        if claim is None:
            return []
        self._held[claim_id] = claim
        return [ClaimWon(claim_id)]


class LenientClaimTable(ClaimTable):
    """Frees a key when any claim on it is released."""

    def _fold_release(self, outcome):
        super()._fold_release(outcome)
        entry = self._entries.get((outcome.customer, outcome.key))
        if entry is not None and entry.outcome is None:
            entry.holder = ""


class ClaimsAtMostOnceTest(unittest.TestCase):
    """No key's request runs twice, and none that ran is refused as not run, whatever fails."""

    def test_no_key_runs_twice_and_no_refusal_is_false_under_any_seed(self):
        runs = 0
        for seed in SEEDS:
            fleet = run_with_faults(seed)
            with self.subTest(seed=seed):
                self.assertEqual(count_double_runs(fleet), 0)
                self.assertEqual(count_false_refusals(fleet), 0)
                runs += sum(fleet.runs_by_key.values())
        self.assertGreater(runs, 2 * len(SEEDS))

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(seed=st.integers(min_value=1_000, max_value=1_000_000))
    def test_no_key_runs_twice_in_generated_interleavings(self, seed):
        fleet = run_with_faults(seed)
        self.assertEqual(count_double_runs(fleet), 0)
        self.assertEqual(count_false_refusals(fleet), 0)

    def test_new_keys_run_after_all_faults_have_ended(self):
        for seed in range(10):
            fleet = run_with_faults(seed)
            fleet.network.lost = fleet.network.late = 0.0
            fleet.log_faults.lost_answers = fleet.log_faults.refused = 0.0
            fleet.not_run = 0.0
            for daemon in fleet.daemons.values():
                if not daemon.is_running:
                    daemon.start()
            fleet.share_members()
            fleet.run(SETTINGS.max_backoff_s + 1.0)
            calls = [fleet.call(daemon_id, fleet.make_key()) for daemon_id in fleet.daemons]
            fleet.run(5.0)
            with self.subTest(seed=seed):
                self.assertEqual([call.runs for call in calls], [1] * len(calls))


class BrokenVariantsTest(unittest.TestCase):
    """The faults above detect each of these deliberately broken variants."""

    def test_batcher_that_replies_before_the_fold_is_detected(self):
        with mock.patch.object(shard_batchers_module, "ClaimBatcher", UnverifiedWinBatcher):
            self.assertTrue(self._detects_fault(ClaimRequester))

    def test_claim_table_that_frees_keys_on_release_of_a_lost_claim_is_detected(self):
        with mock.patch.object(batcher_module, "ClaimTable", LenientClaimTable):
            self.assertTrue(self._detects_fault(ClaimRequester))

    def test_requester_that_runs_after_giving_up_is_detected(self):
        self.assertTrue(self._detects_fault(LateRunRequester))

    def test_requester_that_releases_a_claim_after_its_run_is_detected(self):
        self.assertTrue(self._detects_fault(ReleasingWinRequester))

    def _detects_fault(self, requester_type: type[ClaimRequester]) -> bool:
        for seed in SEEDS:
            fleet = run_with_faults(seed, requester_type)
            if count_double_runs(fleet) or count_false_refusals(fleet):
                return True
        return False
