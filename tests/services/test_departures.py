"""An acknowledged departure holds, whatever ends, is unavailable or arrives late afterwards."""

from __future__ import annotations

import random
import unittest

import trio
import trio.testing

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.membership import MEMBERS_TOPIC, Membership
from fulmarstile_daemon.services.ports import DepartureNotStoredError
from fulmarstile_services.departures import MAX_DEPARTURES_PER_MEMBER, Departures
from fulmarstile_services.directory import Directory
from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode, serve_mesh
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_wire.departures import UpstreamDeparture, decode_departure
from fulmarstile_wire.services import MemberPhase, encode_member

SERVED_WITHIN_S = 2.0
"""Time within which a restarted daemon serves an upstream that hasn't left, in seconds."""


OUTAGES = 50
ACKNOWLEDGED_WITHIN_S = 0.1
"""Time within which a store that is available again is written for a caller, in seconds."""
WRITTEN_WITHIN_S = 6.0
"""Time within which the store has a departure that another daemon has to write, in seconds."""


def list_stored_departures(mesh: ServiceMesh) -> list[UpstreamDeparture]:
    """Returns the departures that the store keeps."""
    newest = {record.key: record.value for record in mesh.store.list_records(MEMBERS_TOPIC)}
    return [
        decode_departure(value)
        for key, value in newest.items()
        if key.startswith("left/") and value
    ]


async def restart(mesh: ServiceMesh, node: ServiceNode) -> ServiceNode:
    """Starts a daemon again beside its upstream, which announces nothing."""
    name = node.daemon.directory.local_member.name
    return await mesh.start_node(name, upstream=node.upstream, earlier=node, announced=False)


class DeparturesTest(unittest.TestCase):
    def test_departures_merged_in_any_order_give_the_same_result(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            departures = [
                UpstreamDeparture("daemon-1", f"upstream-{rng.randrange(12)}", rng.randrange(40))
                for _ in range(30)
            ]
            digests = set()
            for _ in range(4):
                rng.shuffle(departures)
                directory = Directory(make_member())
                directory.merge_departures(departures)
                digests.add(directory.digest)
                kept = directory.departures.of("daemon-1")
                self.assertLessEqual(len(kept), MAX_DEPARTURES_PER_MEMBER)
            self.assertEqual(len(digests), 1, f"seed {seed}")

    def test_a_departure_holds_for_its_incarnation_and_earlier_ones_only(self) -> None:
        departures = Departures()
        departures.merge(UpstreamDeparture("daemon-1", "upstream-of-daemon-1", 500))
        for born_ms, has_left in ((499, True), (500, True), (501, False)):
            member = make_member(upstream_born_ms=born_ms)
            self.assertIs(departures.has_left(member), has_left)

    def test_a_departure_does_not_hold_for_the_upstream_of_another_vm(self) -> None:
        departures = Departures()
        departures.merge(UpstreamDeparture("daemon-2", "upstream-of-daemon-1", 500))
        self.assertFalse(departures.has_left(make_member()))

    def test_a_newer_record_does_not_return_an_upstream_that_has_left(self) -> None:
        async def run() -> None:
            directory = Directory(make_member("daemon-2"))
            log = EventLog("daemon-2")
            notices = NoticeMerger(directory, log)
            membership = Membership(directory, notices, log, lambda: None)
            leaving = make_member(revision=1, phase=MemberPhase.LEAVING, upstream_leaves=True)
            membership.apply_members([leaving, make_member(incarnation=2_000)])
            self.assertEqual([each.name for each in directory.serving("shop")], ["daemon-2"])

        trio.run(run)


class StoredDepartureTest(unittest.TestCase):
    def test_a_record_written_late_does_not_return_an_upstream_that_has_left(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                earlier = encode_member(node.daemon.directory.local_member)
                await node.daemon.announcements.leave(node.upstream.upstream_id, 1_000)
                await node.kill()
                mesh.store.put(MEMBERS_TOPIC, "daemon-1", earlier)
                again = await restart(mesh, node)
                await again.announce(sequence=9)
                self.assertEqual((await again.call("/a")).status, 503)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_a_departure_of_a_daemon_without_the_store_is_written_by_others(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop") as mesh:
                other, node = mesh.nodes
                node.platform.store.is_down = True
                await node.daemon.announcements.leave(node.upstream.upstream_id, 1_000)
                await node.kill()
                with trio.fail_after(WRITTEN_WITHIN_S):
                    while not list_stored_departures(mesh):
                        await trio.sleep(0.05)
                await other.kill()
                again = await restart(mesh, node)
                self.assertEqual((await again.call("/a")).status, 503)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_the_store_keeps_a_bounded_number_of_departures_of_a_vm(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                for number in range(3 * MAX_DEPARTURES_PER_MEMBER):
                    await node.daemon.announcements.leave(f"upstream-{number}", number)
                with trio.fail_after(WRITTEN_WITHIN_S):
                    while len(list_stored_departures(mesh)) > MAX_DEPARTURES_PER_MEMBER:
                        await trio.sleep(0.05)
                latest = max(each.upstream_born_ms for each in list_stored_departures(mesh))
                self.assertEqual(latest, 3 * MAX_DEPARTURES_PER_MEMBER - 1)

        trio.run(run)


class AcknowledgedDepartureTest(unittest.TestCase):
    def test_a_departure_acknowledged_without_the_store_is_kept_when_the_daemon_is_killed(
        self,
    ) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "stock", "stock") as mesh:
                node = mesh.nodes[1]
                node.platform.store.is_down = True
                await node.daemon.announcements.leave(node.upstream.upstream_id, 1_000)
                await node.kill()
                again = await restart(mesh, node)
                await again.announce(sequence=2)
                self.assertIs(again.daemon.directory.local_member.phase, MemberPhase.LEAVING)
                answer = await mesh.nodes[0].call("/a")
                self.assertEqual(answer.status, 503)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_a_departure_acknowledged_without_the_store_is_kept_at_a_planned_restart(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "stock", "stock") as mesh:
                node = mesh.nodes[1]
                node.platform.store.is_down = True
                await node.announce(sequence=2, phase=UpstreamPhase.LEAVING)
                node.stop()
                await node.ended.wait()
                again = await restart(mesh, node)
                with trio.fail_after(SERVED_WITHIN_S):
                    while again.daemon.directory.local_member.phase is not MemberPhase.LEAVING:
                        await trio.sleep(0.01)
                self.assertEqual((await mesh.nodes[0].call("/a")).status, 503)
                self.assertEqual(node.upstream.record.requests, [])

        trio.run(run)

    def test_a_departure_that_changes_nothing_here_is_kept_as_well(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock") as mesh:
                node, other = mesh.nodes
                node.platform.store.is_down = True
                name = node.upstream.upstream_id
                await node.announce(sequence=9, born_ms=900, phase=UpstreamPhase.LEAVING)
                await node.announce(
                    upstream_id="upstream-2", born_ms=800, phase=UpstreamPhase.LEAVING
                )
                known = other.daemon.directory.departures.of("daemon-1")
                self.assertEqual(
                    {(each.upstream_id, each.upstream_born_ms) for each in known},
                    {(name, 900), ("upstream-2", 800)},
                )
                self.assertIs(node.daemon.directory.local_member.phase, MemberPhase.SERVING)

        trio.run(run)

    def test_a_departure_that_nobody_else_knows_is_not_acknowledged(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop") as mesh:
                node = mesh.nodes[0]
                mesh.set_store_down(True)
                for sequence in (2, 3):
                    with self.assertRaises(DepartureNotStoredError):
                        await node.announce(sequence=sequence, phase=UpstreamPhase.LEAVING)
                self.assertEqual((await node.call("/a")).status, 503)
                mesh.set_store_down(False)
                with trio.fail_after(SERVED_WITHIN_S):
                    await node.daemon.announcements.leave(node.upstream.upstream_id, 1_000)

        trio.run(run)

    def test_a_departure_does_not_wait_for_the_retry_delay_after_an_outage(self) -> None:
        directory = Directory(make_member())
        log = EventLog("daemon-1")
        membership = Membership(directory, NoticeMerger(directory, log), log, lambda: None)
        store = FakeKeyedLog()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(membership.write_forever, store)
                for number in range(OUTAGES):
                    store.is_down = True
                    membership.apply_departures(
                        [UpstreamDeparture("daemon-1", f"upstream-{number}", number)]
                    )
                    self.assertFalse(await membership.publish_and_wait(3.0))
                    store.is_down = False
                    self.assertTrue(await membership.publish_and_wait(ACKNOWLEDGED_WITHIN_S))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_later_incarnation_is_served_at_once_after_such_a_departure(self) -> None:
        async def run() -> None:
            async with serve_mesh("stock", "shop", "stock") as mesh:
                node = mesh.nodes[1]
                mesh.set_store_down(True)
                await node.daemon.announcements.leave(node.upstream.upstream_id, 1_000)
                await node.kill()
                again = await restart(mesh, node)
                await again.announce(born_ms=2_000)
                self.assertIs(again.daemon.directory.local_member.phase, MemberPhase.SERVING)
                with trio.fail_after(SERVED_WITHIN_S):
                    while (await mesh.nodes[0].call("/a")).status != 200:
                        await trio.sleep(0.05)

        trio.run(run)

    def test_an_upstream_that_never_left_returns_without_anybody_to_ask(self) -> None:
        async def run() -> None:
            async with serve_mesh("shop", "stock") as mesh:
                node = mesh.nodes[0]
                await mesh.nodes[1].kill()
                await node.kill()
                again = await restart(mesh, node)
                with trio.fail_after(SERVED_WITHIN_S):
                    while (await again.call("/a")).status != 200:
                        await trio.sleep(0.05)

        trio.run(run)
