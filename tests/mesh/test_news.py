"""Urgent news reaches every member in seconds, within the byte budgets."""

from __future__ import annotations

import unittest
from random import Random

import msgspec

from fulmarstile_mesh import Membership, MembershipSettings, Send
from fulmarstile_mesh._news_queue import NewsPriority, NewsQueue
from fulmarstile_testing.builders.mesh import MeshDaemon, Traffic, VirtualMesh, build_record
from fulmarstile_wire.messages import Members, Probe
from fulmarstile_wire.records import AppliedRecord, MemberStatus, News, UpstreamStatus

LEAVING_LIMIT_S = 3.0
CONTROL_BYTES_PER_S = 11_000
FINGERPRINT = bytes(16)


def build_mesh(seed: int, count: int = 120) -> VirtualMesh:
    mesh = VirtualMesh(seed)
    mesh.add(count)
    mesh.run(15.0)
    return mesh


def announce(mesh: VirtualMesh, daemon: MeshDaemon, status: UpstreamStatus) -> None:
    effects = daemon.membership.announce_upstream("planning", status, 10, mesh.clock.now)
    daemon.carry_out(effects)


class UrgentNewsTest(unittest.TestCase):
    def test_all_members_learn_of_a_leaving_daemon_within_the_limit(self) -> None:
        mesh = build_mesh(seed=1)
        mesh.links.faults.loss = 0.05
        leaving = mesh.running[17]
        leaving.carry_out(leaving.membership.begin_leaving(mesh.clock.now))
        mesh.run(LEAVING_LIMIT_S)
        statuses = {d.membership.members[leaving.daemon_id].status for d in mesh.running}
        self.assertEqual(statuses, {MemberStatus.LEAVING})

    def test_all_members_learn_of_a_draining_upstream_while_other_news_is_queued(self) -> None:
        mesh = build_mesh(seed=2)
        for daemon in mesh.running:
            announce(mesh, daemon, UpstreamStatus.READY)
        mesh.run(10.0)
        for daemon in mesh.running:
            self._report_many_versions(mesh, daemon)
        draining = mesh.running[30]
        announce(mesh, draining, UpstreamStatus.DRAINING)
        mesh.run(LEAVING_LIMIT_S)
        statuses = {d.membership.upstreams[draining.daemon_id].status for d in mesh.running}
        self.assertEqual(statuses, {UpstreamStatus.DRAINING})

    def test_the_final_status_of_a_stopping_daemon_reaches_all_members(self) -> None:
        mesh = build_mesh(seed=3)
        stopping = mesh.running[8]
        stopping.carry_out(stopping.membership.leave(mesh.clock.now))
        mesh.run(0.1)
        stopping.kill()
        mesh.run(LEAVING_LIMIT_S)
        statuses = {d.membership.members[stopping.daemon_id].status for d in mesh.running}
        self.assertEqual(statuses, {MemberStatus.LEFT})

    def test_a_fingerprint_is_quarantined_after_two_distinct_crashes(self) -> None:
        mesh = build_mesh(seed=4, count=24)
        first, second = mesh.running[2], mesh.running[11]
        first.carry_out(first.membership.report_crash(FINGERPRINT, mesh.clock.now))
        mesh.run(LEAVING_LIMIT_S)
        self.assertEqual({d.membership.quarantine for d in mesh.running}, {frozenset()})
        second.carry_out(second.membership.report_crash(FINGERPRINT, mesh.clock.now))
        mesh.run(LEAVING_LIMIT_S)
        expected = {frozenset({FINGERPRINT})}
        self.assertEqual({d.membership.quarantine for d in mesh.running}, expected)
        mesh.run(mesh.membership_settings.quarantine_s)
        self.assertEqual({d.membership.quarantine for d in mesh.running}, {frozenset()})

    def test_an_idle_fleet_stays_within_the_control_byte_limit(self) -> None:
        mesh = build_mesh(seed=5)
        for daemon in mesh.running:
            daemon.traffic = Traffic()
        mesh.run(60.0)
        for daemon in mesh.running:
            self.assertLess(daemon.traffic.bytes / 60.0, CONTROL_BYTES_PER_S)

    def _report_many_versions(self, mesh: VirtualMesh, daemon: MeshDaemon) -> None:
        for number in range(40):
            customer = f"customer-{number}"
            daemon.membership.report_applied(customer, 1, bytes(8), mesh.clock.now)


class NewsQueueTest(unittest.TestCase):
    def test_urgent_news_is_dequeued_first_and_other_news_stays_within_the_budget(self) -> None:
        queue = NewsQueue()
        queue.set_peers(["peer"])
        for number in range(50):
            queue.add(AppliedRecord("daemon", 1, f"c{number}", 1, bytes(8)), NewsPriority.LOW)
        urgent = build_record(1)
        queue.add(urgent, NewsPriority.URGENT)
        delivery = queue.dequeue("peer", 200, NewsPriority.LOW)
        self.assertEqual(delivery.news.members, (urgent,))
        self.assertLessEqual(delivery.size, 200)
        self.assertEqual(queue.count_pending(), 50 - len(delivery.news.applied))

    def test_news_is_not_sent_back_to_its_source_and_newer_news_replaces_older(self) -> None:
        queue = NewsQueue()
        queue.set_peers(["source", "other"])
        older = AppliedRecord("daemon", 1, "laundry", 1, bytes(8))
        newer = AppliedRecord("daemon", 1, "laundry", 2, bytes(8))
        queue.add(older, NewsPriority.LOW)
        queue.add(newer, NewsPriority.LOW, source="source")
        self.assertFalse(queue.has_news("source", NewsPriority.LOW))
        self.assertEqual(queue.dequeue("other", 1000, NewsPriority.LOW).news.applied, (newer,))


class RefutationTest(unittest.TestCase):
    def test_a_suspected_daemon_tells_all_its_peers_that_it_is_alive(self) -> None:
        local_record, *peers = [build_record(number) for number in range(4)]
        membership = Membership(MembershipSettings(), local_record, Random(1))
        suspecting_peer = peers[0]
        view_message = Members(
            suspecting_peer.daemon_id, suspecting_peer.peer_address, News(members=tuple(peers))
        )
        membership.on_members(view_message, 1.0)
        membership.announce_upstream("planning", UpstreamStatus.READY, 10, 1.0)
        membership.on_tick(2.0)
        suspicion = msgspec.structs.replace(local_record, status=MemberStatus.SUSPECT)
        suspicion_message = Members(
            suspecting_peer.daemon_id, suspecting_peer.peer_address, News(members=(suspicion,))
        )
        effects = membership.on_members(suspicion_message, 3.0) + membership.on_tick(3.1)
        informed = {
            effect.address
            for effect in effects
            if isinstance(effect, Send)
            and isinstance(effect.message, Members | Probe)
            and membership.record in effect.message.news.members
        }
        self.assertGreater(membership.record.incarnation, local_record.incarnation)
        linked = {peer.peer_address for peer in membership.active_peers}
        self.assertEqual(informed, linked | {suspecting_peer.peer_address})
