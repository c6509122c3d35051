"""Seeded roll-outs in virtual time keep the bounds, whatever the version does."""

from __future__ import annotations

import unittest

from fulmarstile_testing.bench_rollouts import BAD_KINDS, GOOD_KINDS, play
from fulmarstile_testing.known_red import pass_over_known_red
from fulmarstile_testing.virtual_rollout import BOUNDS, Badness, RolloutPlay, RolloutResult
from fulmarstile_wire.rollouts import RolloutPhase

SIZES = ((14, 200.0), (35, 300.0))
DISTURBANCES: dict[str, dict[str, object]] = {
    "late": {"max_delay_s": 0.9},
    "repeated": {"repeated_ratio": 0.5},
    "lost": {"lost_ratio": 0.3},
    "restart": {"restarts_at_s": 3.0},
    "three evaluators": {"evaluators": 3},
    "different evidence": {"evaluators": 2, "split_evidence": True},
}


class RolloutPlayTest(unittest.TestCase):
    def check_exposure(self, result: RolloutResult) -> None:
        self.assertLessEqual(result.exposed, result.allowed)

    def check_rolled_back(self, result: RolloutResult) -> None:
        self.assertEqual(result.phase, RolloutPhase.ROLLED_BACK)
        self.check_exposure(result)
        limit_s = result.fiftieth_bad_at_s + BOUNDS.rollback_s
        self.assertLessEqual(result.last_exposed_at_s, limit_s)

    def check_completed(self, result: RolloutResult, duration_s: float = 12.0) -> None:
        self.assertEqual(result.phase, RolloutPhase.COMPLETED, result.reason)
        self.assertLessEqual(result.finished_at_s, duration_s)
        self.assertEqual(result.unfinished, 0)
        self.check_exposure(result)


class BadVersionTest(RolloutPlayTest):
    def test_a_bad_version_of_any_kind_is_rolled_back_within_its_exposure(self) -> None:
        for upstreams, rate in SIZES:
            for kind, changes in BAD_KINDS.items():
                for seed in range(2):
                    with self.subTest(kind=kind, upstreams=upstreams, seed=seed):
                        plan = RolloutPlay(upstreams, rate, seed=seed, **changes)
                        self.check_rolled_back(play(plan))

    @pass_over_known_red
    def test_a_bad_version_of_a_small_service_is_rolled_back(self) -> None:
        for upstreams, rate in ((3, 10.0), (7, 60.0)):
            for changes in BAD_KINDS.values():
                for seed in range(2):
                    self.check_rolled_back(play(RolloutPlay(upstreams, rate, seed=seed, **changes)))

    def test_evidence_of_14_70_and_720_daemons_leads_to_a_roll_back(self) -> None:
        for daemons in (14, 70, 720):
            with self.subTest(daemons=daemons):
                bad = Badness(fail_ratio=0.5)
                plan = RolloutPlay(daemons // 2, 20.0 * daemons**0.5, 6.0, target=bad)
                self.check_rolled_back(play(plan))

    def test_disturbed_evidence_does_not_delay_a_roll_back_beyond_the_bound(self) -> None:
        for name, changes in DISTURBANCES.items():
            with self.subTest(name):
                plan = RolloutPlay(target=Badness(fail_ratio=0.5), rate=200.0, seed=3, **changes)
                self.check_rolled_back(play(plan))


class GoodVersionTest(RolloutPlayTest):
    def test_a_good_version_is_completed_by_the_deadline_in_a_bad_environment(self) -> None:
        for upstreams, rate in ((3, 10.0), *SIZES):
            for kind, changes in GOOD_KINDS.items():
                for seed in range(2):
                    with self.subTest(kind=kind, upstreams=upstreams, seed=seed):
                        plan = RolloutPlay(upstreams, rate, seed=seed, **changes)
                        self.check_completed(play(plan))

    def test_disturbed_evidence_does_not_prevent_the_completion(self) -> None:
        for name, changes in DISTURBANCES.items():
            with self.subTest(name):
                self.check_completed(play(RolloutPlay(rate=200.0, seed=3, **changes)))

    @pass_over_known_red
    def test_a_good_version_is_completed_by_the_deadline_of_a_short_roll_out(self) -> None:
        for duration_s in (3.0, 6.0):
            for seed in range(2):
                plan = RolloutPlay(20, 400.0, duration_s, seed=seed)
                self.check_completed(play(plan), duration_s)

    def test_a_service_with_hardly_any_requests_is_completed(self) -> None:
        for rate in (0.0, 0.3, 2.0):
            with self.subTest(rate=rate):
                self.check_completed(play(RolloutPlay(upstreams=3, rate=rate)))


class ExposureTest(RolloutPlayTest):
    def test_no_version_exceeds_its_exposure_whatever_the_duration_and_the_rate(self) -> None:
        for duration_s in (3.0, 6.0, 30.0):
            for upstreams, rate in ((3, 2.0), (3, 100.0), (20, 400.0), (50, 1000.0)):
                for factor in (0.5, 1.0, 2.0):
                    if rate * duration_s > 12_000:
                        continue
                    with self.subTest(duration_s=duration_s, rate=rate, factor=factor):
                        plan = RolloutPlay(upstreams, rate, duration_s, rate_factor=factor)
                        self.check_exposure(play(plan))

    def test_a_rate_that_drops_at_any_time_does_not_exceed_the_exposure(self) -> None:
        for changes_at_s in (0.5, 5.0, 10.5, 11.1):
            with self.subTest(changes_at_s=changes_at_s):
                plan = RolloutPlay(
                    7, 300.0, rate_factor=0.1, rate_changes_at_s=changes_at_s, seed=5
                )
                self.check_exposure(play(plan))

    @pass_over_known_red
    def test_a_rate_that_triples_in_the_hand_over_does_not_exceed_the_exposure(self) -> None:
        for duration_s in (3.0, 6.0, 12.0):
            plan = RolloutPlay(
                14, 300.0, duration_s, rate_factor=3.0, rate_changes_at_s=duration_s - 0.5
            )
            self.check_exposure(play(plan))

    def test_a_version_whose_upstreams_never_appear_is_rolled_back_at_the_deadline(self) -> None:
        result = play(RolloutPlay(target_appears_at_s=100.0))
        self.check_rolled_back(result)
        self.assertEqual((result.reason, result.exposed), ("no-upstreams", 0))
