"""A request is sent to the upstream with the shortest expected time to an answer."""

from __future__ import annotations

import random
import unittest
from collections import Counter

import msgspec

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import make_failure
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.upstream_notices import UpstreamNotices
from fulmarstile_testing.builders.services import make_member, make_notice
from fulmarstile_wire.services import HopOutcome, Member
from fulmarstile_wire.verdict import Verdict

NEAR = make_member("near")
FAR = make_member("far", availability_zone="zone-b")
LARGE = 300_000


def make_outcome(**changes) -> HopOutcome:
    return HopOutcome(Verdict.RAN, reached_upstream=True, **({"service_ms": 50.0} | changes))


class LeastWaitBalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices = UpstreamNotices()
        self.balancer = LeastWaitBalancer(
            BalancingSettings(), "zone-a", random.Random(1), self.notices
        )
        self.now = 100.0

    def report(self, member: Member, failed: bool = False, **changes) -> None:
        self.balancer.on_sent(member, self.now)
        self.balancer.on_ended(member, make_outcome(**changes), failed, self.now)

    def choose(
        self, *members: Member, size: int = 0, exclude=frozenset(), target_s: float = 0.0
    ) -> str:
        chosen = self.balancer.choose(members, size, self.now, exclude, target_s=target_s)
        return chosen.name if chosen else ""

    def refuse(self, member: Member, reason: RefusalReason, **changes) -> None:
        refusal = make_failure(Verdict.NOT_RUN, reason)
        self.balancer.on_sent(member, self.now)
        self.balancer.on_ended(member, msgspec.structs.replace(refusal, **changes), False, self.now)

    def test_a_link_too_busy_for_a_body_still_gets_small_requests(self) -> None:
        self.refuse(NEAR, RefusalReason.LINK_BUSY, body_wait_ms=3_000.0, slots=4)
        self.assertEqual(self.choose(NEAR, FAR), "near")
        self.assertEqual(self.choose(NEAR, FAR, size=LARGE), "far")
        self.refuse(NEAR, RefusalReason.QUEUE_FULL, slots=4)
        self.assertEqual(self.choose(NEAR, FAR), "far")

    def test_an_upstream_with_an_announced_limit_gets_requests_only_when_the_other_is_busy(
        self,
    ) -> None:
        other = make_member("other", availability_zone="zone-a", upstream_id="i-other")
        limited = make_notice(
            upstream_id=NEAR.upstream_id, upstream_born_ms=NEAR.upstream_born_ms, rate_limit=20.0
        )
        self.notices.merge(limited)
        self.report(NEAR, slots=4)
        self.report(other, running=2, slots=4)
        self.assertEqual(self.choose(NEAR, other), "other")
        self.report(other, running=4, queued=6, slots=4)
        self.assertEqual(self.choose(NEAR, other), "near")

    def test_an_upstream_with_an_announced_limit_is_explored_more_rarely(self) -> None:
        other = make_member("other", availability_zone="zone-a", upstream_id="i-other")
        self.report(other, service_ms=1.0)
        self.report(NEAR)
        for wait_s, rate_limit, explored in ((3.0, 0.0, True), (3.0, 1.0, False), (9.0, 1.0, True)):
            notice = make_notice(
                upstream_id=NEAR.upstream_id,
                upstream_born_ms=NEAR.upstream_born_ms,
                dated_ms=int(self.now + wait_s),
                rate_limit=rate_limit,
            )
            self.notices.merge(notice)
            self.now += wait_s
            chosen = {self.choose(NEAR, other) for _ in range(200)}
            self.assertEqual("near" in chosen, explored)
            self.report(other, service_ms=1.0)

    def test_a_failure_without_a_load_report_does_not_make_the_upstream_seem_idle(self) -> None:
        self.report(NEAR, running=4, queued=8, slots=4)
        self.refuse(NEAR, RefusalReason.LINK_BUSY)
        self.report(FAR)
        self.assertEqual(self.choose(NEAR, FAR), "far")

    def test_the_local_availability_zone_is_preferred_while_it_has_capacity(self) -> None:
        self.report(NEAR, running=1)
        self.report(FAR)
        self.assertEqual(self.choose(NEAR, FAR), "near")

    def test_another_availability_zone_is_used_when_the_local_one_is_full(self) -> None:
        self.report(NEAR, running=4, queued=4)
        self.report(FAR)
        self.assertEqual(self.choose(NEAR, FAR), "far")

    def test_large_requests_stay_in_their_availability_zone_at_higher_load(self) -> None:
        self.report(NEAR, running=4, queued=4)
        self.report(FAR)
        self.assertEqual(self.choose(NEAR, FAR, size=LARGE), "near")

    def test_a_faster_remote_upstream_is_not_used_if_the_local_one_is_well_within_target(
        self,
    ) -> None:
        self.report(NEAR, service_ms=100.0)
        self.report(FAR, service_ms=60.0)
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.1), "far")
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.4), "near")

    def test_long_requests_of_other_priorities_do_not_send_a_short_one_to_another_zone(
        self,
    ) -> None:
        self.report(NEAR, service_ms=240.0, class_service_ms=50.0, slots=4)
        self.report(FAR, service_ms=120.0, class_service_ms=30.0, slots=4)
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.12), "near")
        self.report(NEAR, service_ms=240.0, class_service_ms=50.0, running=4, queued=2, slots=4)
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.12), "far")

    def test_an_upstream_behind_a_congested_link_is_avoided_until_the_report_is_old(self) -> None:
        self.report(NEAR)
        self.report(FAR)
        for _ in range(20):
            self.balancer.on_network_delay(NEAR, 0, 0.5)
            self.balancer.on_network_delay(FAR, 0, 0.005)
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.5), "far")
        self.now += 30.0
        self.assertEqual(self.choose(NEAR, FAR, target_s=0.5), "near")

    def test_large_requests_do_not_count_as_samples_of_the_network_delay(self) -> None:
        self.report(NEAR)
        self.report(FAR)
        for _ in range(20):
            self.balancer.on_network_delay(NEAR, LARGE, 0.5)
        self.assertEqual(self.choose(NEAR, FAR), "near")

    def test_a_failing_upstream_is_avoided(self) -> None:
        for _ in range(10):
            self.report(NEAR, failed=True)
        self.report(FAR)
        self.assertEqual(self.choose(NEAR, FAR), "far")

    def test_an_unreachable_daemon_is_used_only_if_there_is_no_other(self) -> None:
        self.balancer.set_reachable(NEAR, False, self.now)
        self.assertEqual(self.choose(NEAR, FAR), "far")
        self.assertEqual(self.choose(NEAR), "near")

    def test_excluded_daemons_are_not_chosen(self) -> None:
        self.assertEqual(self.choose(NEAR, FAR, exclude=frozenset({"near"})), "far")
        self.assertEqual(self.choose(NEAR, exclude=frozenset({"near"})), "")

    def test_an_untried_upstream_in_another_availability_zone_soon_gets_requests(self) -> None:
        self.report(NEAR)
        chosen = Counter(self.choose(NEAR, FAR) for _ in range(100))
        self.assertGreater(chosen["far"], 0)

    def test_an_untried_upstream_in_another_zone_is_not_tried_with_a_large_request(self) -> None:
        self.report(NEAR)
        chosen = Counter(self.choose(NEAR, FAR, size=LARGE) for _ in range(100))
        self.assertEqual(chosen["far"], 0)

    def test_a_new_incarnation_starts_without_the_error_rate_of_the_old_one(self) -> None:
        for _ in range(10):
            self.report(NEAR, failed=True)
        self.report(FAR)
        again = make_member("near", upstream_id="upstream-again")
        self.assertTrue(self.balancer.is_reachable("near"))
        self.assertEqual(self.choose(again, FAR), "near")

    def test_all_upstreams_of_an_availability_zone_get_requests_though_few_are_compared(
        self,
    ) -> None:
        members = tuple(make_member(f"m{i}") for i in range(50))
        chosen = Counter(self.choose(*members) for _ in range(1000))
        self.assertEqual(len(chosen), 50)

    def test_a_large_service_uses_other_availability_zones_when_the_local_one_is_full(self) -> None:
        near = [make_member(f"near{i}") for i in range(30)]
        far = [make_member(f"far{i}", availability_zone="zone-b") for i in range(30)]
        for member in near:
            self.report(member, running=4, queued=12, slots=4)
        for member in far:
            self.report(member)
        chosen = Counter(self.choose(*near, *far)[:3] for _ in range(50))
        self.assertGreater(chosen["far"], 40)

    def test_an_unreachable_daemon_is_tried_once_all_others_have_refused(self) -> None:
        self.balancer.set_reachable(FAR, False, self.now)
        self.assertEqual(self.choose(NEAR, FAR, exclude=frozenset({"near"})), "far")

    def test_changes_of_reachability_or_members_affect_the_next_choice(self) -> None:
        members = (NEAR, FAR)
        self.assertEqual(self.choose(*members), "near")
        self.balancer.set_reachable(NEAR, False, self.now)
        self.assertEqual(self.choose(*members), "far")
        self.balancer.set_reachable(NEAR, True, self.now)
        self.assertEqual(self.choose(FAR), "far")
        self.assertEqual(self.choose(*members), "near")

    def test_sampling_a_large_service_includes_the_local_availability_zone(self) -> None:
        members = [
            make_member(f"m{i}", availability_zone="zone-a" if i < 3 else "zone-b")
            for i in range(100)
        ]
        for member in members:
            self.report(member)
        chosen = Counter(self.choose(*members) for _ in range(50))
        self.assertLessEqual(set(chosen), {"m0", "m1", "m2"})
