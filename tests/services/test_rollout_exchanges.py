"""Who evaluates a roll-out, and whom the other daemons ask about it."""

from __future__ import annotations

import unittest
from collections import Counter

import msgspec
import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._evaluator_ranking import EVALUATORS, rank_all, rank_evaluators
from fulmarstile_daemon.services._relay_choice import RelayChoice
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.directory import Directory
from fulmarstile_services.rollouts.evidence import EvidenceCounter
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_services.slot_class import SlotClass
from fulmarstile_testing.builders.rollouts import RolloutKnowledge
from fulmarstile_testing.builders.service_mesh import make_local_upstream
from fulmarstile_testing.builders.services import make_announcement, make_member
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.service_upstream import FAULT_RESET, FAULT_SHED, ServiceUpstream
from fulmarstile_wire.rollouts import RolloutPhase, RolloutReport
from fulmarstile_wire.services import HopRequest, Member, MemberPhase

ORDER = RolloutOrder("shop", "v2", 60.0, 1)
MAX_STEPS = 2
"""Steps from a daemon to an evaluator for which the lease suffices."""
HOP = HopRequest("shop", "upstream-1", "web", SlotClass.URGENT, 5_000, 5_000, True, 1_000)


def make_fleet(size: int) -> list[Member]:
    return [make_member(f"daemon-{number}") for number in range(size)]


class RankingTest(unittest.TestCase):
    def test_daemons_that_stop_or_do_not_answer_are_replaced_by_the_next_ones(self) -> None:
        fleet = make_fleet(20)
        ranked = [member.name for member in rank_all(ORDER, fleet)]
        fleet = [
            (
                msgspec.structs.replace(member, phase=MemberPhase.STOPPED)
                if member.name == ranked[0]
                else member
            )
            for member in fleet
        ]
        found = rank_evaluators(ORDER, fleet, lambda name: name != ranked[2])
        expected = [ranked[1], ranked[3], ranked[4]]
        self.assertEqual([member.name for member in found], expected)

    def test_every_daemon_of_a_large_fleet_is_near_an_evaluator_and_none_answers_many(self) -> None:
        for size in (4, 14, 194, 720):
            fleet = make_fleet(size)
            evaluators = {member.name for member in rank_all(ORDER, fleet)[:EVALUATORS]}
            parents: dict[str, str] = {}
            directory = Directory(fleet[0])
            directory.merge_members(fleet)
            for member in fleet:
                directory._local_name = member.name
                relay = RelayChoice(lambda: 0.0).find(ORDER, directory, lambda _: True)
                if relay is not None:
                    parents[member.name] = relay.name
            self.assertEqual(set(parents), {member.name for member in fleet} - evaluators)
            for name in parents:
                steps = 0
                while name not in evaluators:
                    name, steps = parents[name], steps + 1
                self.assertLessEqual(steps, MAX_STEPS)
            self.assertLessEqual(max(Counter(parents.values()).values()), 27)


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.daemon = RolloutKnowledge()

    def report(self, **changes: object) -> RolloutReport:
        return msgspec.structs.replace(RolloutReport("other", "shop", 1), **changes)

    def test_the_first_daemon_that_saw_the_order_sets_its_age_for_all(self) -> None:
        rollout = self.daemon.order()
        self.daemon.rollouts.on_report(self.report(age_ms=900))
        self.assertAlmostEqual(rollout.age_s(self.daemon.now), 0.9)
        self.daemon.rollouts.on_report(self.report(age_ms=100))
        self.assertAlmostEqual(rollout.age_s(self.daemon.now), 0.9)

    def test_a_state_passed_on_late_does_not_renew_the_lease(self) -> None:
        rollout = self.daemon.order()
        state = rollout.make_state(RolloutPhase.CANARY, "", self.daemon.now)
        self.daemon.now += 1.5
        self.daemon.rollouts.merge(rollout, state)
        self.assertFalse(rollout.is_fresh(self.daemon.now))

    def test_a_daemon_that_missed_an_order_learns_it_from_another_one(self) -> None:
        other = RolloutKnowledge()
        state = other.order(offset=4).make_state(RolloutPhase.CANARY, "", other.now)
        reply = self.daemon.rollouts.on_report(self.report(order_offset=4, state=state))
        self.assertEqual(reply.state, state)
        self.assertIsNone(self.daemon.rollouts.on_report(self.report(order_offset=5)).state)


class UpstreamTest(unittest.TestCase):
    def run_with_upstream(self, body) -> None:
        async def run() -> None:
            upstream = ServiceUpstream(HEADER_NAMES, "upstream-1")
            local = make_local_upstream()
            local.apply_announcement(make_announcement(slots=1), upstream.address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(upstream.serve)
                await body(local)
                nursery.cancel_scope.cancel()

        trio.run(run)

    async def run_hop(self, local, number: int, query: str = "") -> str:
        headers = MessageHeaders(
            [(b"host", b"shop.example"), (HEADER_NAMES.request_id, b"request-%d" % number)]
        )
        target = f"/a?{query}".encode()
        request = ReceivedRequest(b"GET", target, headers, b"", trio.current_time())
        hop = msgspec.structs.replace(HOP, route="shop.example/")
        deadline = trio.current_time() + 5.0
        result = await local.run(hop, request, deadline, deadline, AttemptProgress())
        return result.outcome.reason

    def test_queued_requests_are_refused_when_their_version_is_withdrawn(self) -> None:
        reasons: dict[int, str] = {}

        async def body(local) -> None:
            async def run_hop(number: int) -> None:
                reasons[number] = await self.run_hop(local, number, "delay_ms=200")

            async with trio.open_nursery() as nursery:
                for number in range(3):
                    nursery.start_soon(run_hop, number)
                while local.queued < 2:
                    await trio.sleep(0.01)
                withdrawn = RefusalReason.VERSION_WITHDRAWN
                local.find_version_refusal = lambda _: withdrawn
                local.refuse_queued(withdrawn)
            reasons[3] = await self.run_hop(local, 3)

        self.run_with_upstream(body)
        refused = RefusalReason.VERSION_WITHDRAWN.value
        self.assertEqual(sorted(reasons.values()), ["", refused, refused, refused])

    def test_only_what_the_upstream_ran_is_evidence(self) -> None:
        counter = EvidenceCounter("daemon-1", 1, "upstream-1", 1, "v2")
        queries = ("", "status=404", "status=500", "status=503", f"fault={FAULT_RESET}")

        async def body(local) -> None:
            await self.run_hop(local, 0)
            local.evidence = counter
            for number, query in enumerate((*queries, f"fault={FAULT_SHED}")):
                await self.run_hop(local, number + 1, query)

        self.run_with_upstream(body)
        (route,) = counter.export(1.0, 0, 0).routes
        self.assertEqual((route.route, route.completed, route.failed), ("shop.example/", 5, 3))


if __name__ == "__main__":
    unittest.main()
