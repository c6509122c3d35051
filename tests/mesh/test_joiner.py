"""Daemons discover each other through the rendezvous stream without overloading the log."""

from __future__ import annotations

import unittest
from random import Random
from typing import TYPE_CHECKING

from fulmarstile_mesh import AppendLog, Membership, MembershipSettings, ReadLog
from fulmarstile_mesh._joiner import Joiner
from fulmarstile_testing.builders.mesh import MeshDaemon, VirtualMesh, build_record

if TYPE_CHECKING:
    from fulmarstile_wire.records import MemberRecord

MAX_APPENDS_PER_S = 100
JOIN_LIMIT_S = 13.0


def count_appends(mesh: VirtualMesh) -> int:
    return mesh.log.counts.appends_per_stream.get("rendezvous", 0)


class JoinerTest(unittest.TestCase):
    def test_a_fleet_that_starts_at_once_has_joined_within_the_limit(self) -> None:
        mesh = VirtualMesh(seed=1)
        mesh.add(120)
        mesh.run(JOIN_LIMIT_S)
        self.assertTrue(mesh.has_converged_membership())

    def test_isolated_daemons_that_start_at_once_stay_within_the_append_limit(self) -> None:
        joiners = [Joiner(MembershipSettings(), Random(seed)) for seed in range(720)]
        stream: list[MemberRecord] = []
        for second in range(10):
            before = len(stream)
            for tick in range(10):
                now = second + tick / 10
                for number, joiner in enumerate(joiners):
                    self._run_isolated(joiner, build_record(number), stream, now)
            self.assertLessEqual(len(stream) - before, MAX_APPENDS_PER_S)
        self.assertGreater(len(stream), 0)

    def _run_isolated(
        self, joiner: Joiner, local_record: MemberRecord, stream: list[MemberRecord], now: float
    ) -> None:
        for effect in joiner.on_tick(local_record, [], now):
            if isinstance(effect, ReadLog):
                joiner.on_rendezvous(stream[effect.offset :], len(stream))
            elif isinstance(effect, AppendLog):
                stream.append(local_record)

    def test_a_returning_herd_rejoins_within_the_append_limit(self) -> None:
        mesh = VirtualMesh(seed=2)
        mesh.add(120)
        mesh.run(JOIN_LIMIT_S)
        herd = mesh.running[::2]
        for daemon in herd:
            daemon.kill()
        mesh.run(30.0)
        for daemon in herd:
            mesh.restart(daemon.daemon_id)
        for _ in range(int(JOIN_LIMIT_S)):
            before = count_appends(mesh)
            mesh.run(1.0)
            self.assertLessEqual(count_appends(mesh) - before, MAX_APPENDS_PER_S)
        self.assertTrue(mesh.has_converged_membership())

    def test_a_steady_fleet_appends_about_once_a_second_regardless_of_its_size(self) -> None:
        for size in (30, 120):
            with self.subTest(size):
                mesh = VirtualMesh(seed=3)
                mesh.add(size)
                mesh.run(20.0)
                before = count_appends(mesh)
                mesh.run(60.0)
                self.assertLessEqual(count_appends(mesh) - before, 120)

    def test_an_isolated_daemon_joins_as_soon_as_it_has_read_an_address(self) -> None:
        membership = Membership(MembershipSettings(), build_record(0), Random(1))
        effects = membership.on_rendezvous([build_record(0), build_record(1)], now=1.0)
        self.assertEqual([effect.address for effect in effects], [build_record(1).peer_address])

    def test_two_groups_that_formed_separately_merge(self) -> None:
        mesh = VirtualMesh(seed=4)
        first = mesh.add(10)
        second = mesh.add(10)
        groups = [frozenset(daemon.address for daemon in group) for group in (first, second)]
        mesh.links.block(*groups)
        mesh.run(20.0)
        self.assertEqual(len(first[0].membership.members), 10)
        mesh.links.unblock(*groups)
        mesh.run_until(mesh.has_converged_membership, 120.0)
        self.assertTrue(mesh.has_converged_membership())

    def test_a_restarted_daemon_settles_only_after_a_member_has_answered(self) -> None:
        mesh = VirtualMesh(seed=5)
        mesh.add(12)
        mesh.run(JOIN_LIMIT_S)
        restarted = mesh.restart("daemon-003")
        mesh.run_until(lambda: restarted.membership.is_settled, JOIN_LIMIT_S)
        self.assertGreater(len(restarted.membership.members), 1)

    def test_views_sent_to_a_herd_of_joining_daemons_are_bounded(self) -> None:
        mesh = VirtualMesh(seed=6)
        mesh.add(30)
        mesh.run(JOIN_LIMIT_S)
        target = mesh.running[0]
        sent_before = target.traffic.bytes_by_type["Members"]
        limit = mesh.membership_settings.view_burst_bytes
        self._send_many_joins(target, mesh)
        sent = target.traffic.bytes_by_type["Members"] - sent_before
        self.assertGreater(target.membership.counters.views_withheld, 0)
        self.assertLess(sent, 2 * limit)

    def _send_many_joins(self, target: MeshDaemon, mesh: VirtualMesh) -> None:
        joining = [daemon for daemon in mesh.running if daemon is not target]
        for _ in range(40):
            for daemon in joining:
                target.join_from(daemon)
