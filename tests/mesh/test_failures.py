"""Dead members are detected in time; slow VMs, short pauses and lost messages cause no deaths."""

from __future__ import annotations

import unittest

from fulmarstile_testing.builders.mesh import MeshDaemon, VirtualMesh
from fulmarstile_wire.records import MemberStatus

SINGLE_FAILURE_LIMIT_S = 13.0


def build_mesh(seed: int, count: int = 60) -> VirtualMesh:
    mesh = VirtualMesh(seed)
    mesh.add(count)
    mesh.run(15.0)
    return mesh


def count_deaths(mesh: VirtualMesh) -> int:
    return sum(daemon.membership.counters.deaths_declared for daemon in mesh.running)


def is_dead_everywhere(mesh: VirtualMesh, dead: MeshDaemon) -> bool:
    return all(
        daemon.membership.members[dead.daemon_id].status is MemberStatus.DEAD
        for daemon in mesh.running
    )


def list_members_dead_in_own_region(mesh: VirtualMesh) -> list[str]:
    """Lists members that a daemon in their own region considers dead."""
    return [
        record.daemon_id
        for daemon in mesh.running
        for record in daemon.membership.members.values()
        if record.status is MemberStatus.DEAD and record.region == daemon.membership.record.region
    ]


class FailureTest(unittest.TestCase):
    def test_all_members_learn_of_a_death_within_the_limit(self) -> None:
        for seed in range(3):
            with self.subTest(seed):
                mesh = build_mesh(seed)
                dead = mesh.running[seed * 7]
                dead.kill()
                mesh.run(SINGLE_FAILURE_LIMIT_S)
                self.assertTrue(is_dead_everywhere(mesh, dead))
                self.assertTrue(mesh.has_converged_membership())

    def test_a_slow_vm_is_not_declared_dead_and_declares_no_member_dead(self) -> None:
        for delay_s in (0.8, 1.5, 3.0):
            with self.subTest(delay_s):
                mesh = build_mesh(seed=10)
                mesh.running[4].delay_s = delay_s
                mesh.run(60.0)
                self.assertEqual(count_deaths(mesh), 0)

    def test_a_very_slow_vm_declares_no_member_dead(self) -> None:
        for delay_s, input_delay_s in ((6.0, 0.0), (0.0, 6.0)):
            with self.subTest(delay_s=delay_s, input_delay_s=input_delay_s):
                mesh = build_mesh(seed=10)
                slow = mesh.running[4]
                slow.delay_s = delay_s
                slow.input_delay_s = input_delay_s
                mesh.run(60.0)
                self.assertEqual(slow.membership.counters.deaths_declared, 0)

    def test_a_briefly_paused_daemon_is_not_declared_dead(self) -> None:
        mesh = build_mesh(seed=11)
        paused = mesh.running[9]
        paused.pause()
        mesh.run(4.0)
        paused.resume()
        mesh.run(20.0)
        self.assertEqual(count_deaths(mesh), 0)
        self.assertTrue(mesh.has_converged_membership())

    def test_a_daemon_that_resumes_after_being_declared_dead_rejoins(self) -> None:
        mesh = build_mesh(seed=12)
        paused = mesh.running[9]
        paused.pause()
        mesh.run(30.0)
        self.assertNotIn(paused.daemon_id, mesh.list_alive(mesh.running[0]))
        paused.resume()
        mesh.run_until(mesh.has_converged_membership, SINGLE_FAILURE_LIMIT_S)
        self.assertTrue(mesh.has_converged_membership())
        self.assertEqual(paused.membership.counters.deaths_declared, 0)

    def test_silent_links_are_replaced_and_no_member_is_declared_dead(self) -> None:
        mesh = build_mesh(seed=13)
        victim = mesh.running[5]
        peers = victim.membership.active_peers
        for peer in peers:
            mesh.links.silence(victim.address, peer.peer_address)
        mesh.run(SINGLE_FAILURE_LIMIT_S)
        self.assertEqual(count_deaths(mesh), 0)
        for peer in peers:
            self.assertFalse(mesh.links.is_silent(victim.address, peer.peer_address))
            self.assertFalse(mesh.links.is_silent(peer.peer_address, victim.address))

    def test_lossy_links_cause_no_false_death(self) -> None:
        mesh = build_mesh(seed=14)
        mesh.links.faults.loss = 0.05
        mesh.run(60.0)
        mesh.links.faults.loss = 0.0
        self.assertEqual(count_deaths(mesh), 0)

    def test_the_death_and_return_of_half_the_fleet_are_known_everywhere(self) -> None:
        mesh = build_mesh(seed=15)
        herd = mesh.running[::2]
        for daemon in herd:
            daemon.kill()
        mesh.run_until(lambda: all(is_dead_everywhere(mesh, dead) for dead in herd), 60.0)
        self.assertTrue(mesh.has_converged_membership())
        for daemon in herd:
            mesh.restart(daemon.daemon_id)
        mesh.run_until(mesh.has_converged_membership, SINGLE_FAILURE_LIMIT_S)
        self.assertTrue(mesh.has_converged_membership())

    def test_regions_reconnect_after_a_partition_without_new_deaths(self) -> None:
        mesh = build_mesh(seed=16)
        regions = [
            frozenset(d.address for d in mesh.running if d.membership.record.region == region)
            for region in ("be", "kz")
        ]
        mesh.links.block(*regions)
        mesh.run(40.0)
        self.assertEqual(len(mesh.list_alive(mesh.running[0])), len(mesh.running) // 2)
        deaths = count_deaths(mesh)
        mesh.log.begin_outage()
        mesh.links.unblock(*regions)
        while not mesh.has_converged_membership() and mesh.clock.now < 90.0:
            mesh.run(0.05)
            self.assertEqual(list_members_dead_in_own_region(mesh), [])
        self.assertTrue(mesh.has_converged_membership())
        self.assertEqual(count_deaths(mesh), deaths)
