"""Records reach every daemon that needs them, in order, despite failures."""

from __future__ import annotations

import unittest

from fulmarstile_mesh import DisseminationMode, RelaySettings, compute_convergence
from fulmarstile_testing.builders.mesh import CUSTOMER, Traffic, VirtualMesh

SINGLE_FAILURE_LIMIT_S = 13.0
HEALTHY_LIMIT_S = 1.0
BODY_BYTES = 2000


def build_mesh(
    seed: int, count: int = 60, mode: DisseminationMode = DisseminationMode.PUSH
) -> VirtualMesh:
    mesh = VirtualMesh(seed, relay_settings=RelaySettings(mode=mode))
    mesh.add(count)
    mesh.run(15.0)
    return mesh


class DisseminationTest(unittest.TestCase):
    def publish(self, mesh: VirtualMesh, limit_s: float = SINGLE_FAILURE_LIMIT_S) -> None:
        version = max(daemon.applied.get(CUSTOMER, 0) for daemon in mesh.running) + 1
        mesh.publish(mesh.random.randbytes(BODY_BYTES))
        mesh.run_until(lambda: mesh.is_in_force(version), limit_s)
        self.assertTrue(mesh.is_in_force(version))
        self.assertEqual(mesh.reverted, [])

    def test_a_healthy_fleet_applies_a_publication_within_the_limit(self) -> None:
        for mode in DisseminationMode:
            with self.subTest(mode):
                mesh = build_mesh(seed=1, mode=mode)
                for _ in range(5):
                    self.publish(mesh, HEALTHY_LIMIT_S)

    def test_publications_reach_all_daemons_although_readers_die(self) -> None:
        mesh = build_mesh(seed=2)
        readers = [d for d in mesh.running if d.relay.counters.log_reads > 0]
        for reader in readers:
            reader.kill()
            self.publish(mesh)

    def test_other_zones_serve_a_zone_whose_reader_is_paused_or_cut_off_from_the_log(self) -> None:
        mesh = build_mesh(seed=3)
        readers = [d for d in mesh.running if d.relay.counters.log_reads > 0]
        mesh.cut_from_log.add(readers[0].daemon_id)
        self.publish(mesh)
        readers[1].pause()
        mesh.publish(b"while one is paused")
        mesh.run(SINGLE_FAILURE_LIMIT_S)
        waiting = [d for d in mesh.running if d.applied[CUSTOMER] < 2]
        self.assertEqual(waiting, [readers[1]])

    def test_the_second_candidate_takes_over_where_there_is_only_one_reader(self) -> None:
        mesh = VirtualMesh(seed=4)
        mesh.add(24, zone="be-bru")
        mesh.run(15.0)
        (reader,) = [d for d in mesh.running if d.relay.reader_rank(CUSTOMER) == 0]
        mesh.cut_from_log.add(reader.daemon_id)
        mesh.run(1.0)
        self.publish(mesh)

    def test_silent_lossy_and_reordering_links_do_not_stop_dissemination(self) -> None:
        mesh = build_mesh(seed=5)
        victim = mesh.running[7]
        for peer in victim.membership.active_peers:
            mesh.links.silence(victim.address, peer.peer_address)
        self.publish(mesh)
        mesh.links.faults.loss = 0.1
        self.publish(mesh)
        mesh.links.faults.is_reordering = True
        for _ in range(10):
            mesh.publish(mesh.random.randbytes(BODY_BYTES))
            mesh.run(0.05)
        self.publish(mesh)
        for daemon in mesh.running:
            folded = daemon.replicas[CUSTOMER].folded
            self.assertEqual(folded, sorted(set(folded)))

    def test_the_survivors_apply_a_publication_when_half_of_the_fleet_dies(self) -> None:
        for seed in range(6, 10):
            with self.subTest(seed):
                mesh = build_mesh(seed)
                for daemon in mesh.running[::2]:
                    daemon.kill()
                self.publish(mesh)

    def test_partitioned_regions_keep_applying_publications_and_never_revert(self) -> None:
        mesh = build_mesh(seed=11)
        regions = [
            frozenset(d.address for d in mesh.running if d.membership.record.region == region)
            for region in ("be", "kz")
        ]
        mesh.links.block(*regions)
        self.publish(mesh)
        mesh.run(30.0)
        self.publish(mesh)
        mesh.links.unblock(*regions)
        self.publish(mesh)

    def test_records_are_sent_only_to_daemons_that_need_the_customer(self) -> None:
        mesh = VirtualMesh(seed=12)
        with_customer = mesh.add(10, ["agency-a"])
        others = mesh.add(50, ["agency-b"])
        mesh.run(15.0)
        for _ in range(3):
            mesh.publish(mesh.random.randbytes(BODY_BYTES), "agency-a")
            mesh.run(HEALTHY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(3, "agency-a"))
        self.assertEqual({d.relay.counters.batches_received for d in others}, {0})
        self.assertEqual({tuple(d.replicas["agency-a"].folded) for d in with_customer}, {(0, 1, 2)})

    def test_pull_sends_fewer_bytes_than_push(self) -> None:
        sent = {}
        for mode in DisseminationMode:
            mesh = build_mesh(seed=13, mode=mode)
            for daemon in mesh.running:
                daemon.traffic = Traffic()
            for _ in range(5):
                self.publish(mesh, HEALTHY_LIMIT_S)
            sent[mode] = sum(daemon.traffic.bytes for daemon in mesh.running)
        self.assertLess(sent[DisseminationMode.PULL], sent[DisseminationMode.PUSH])

    def test_every_daemon_reports_which_daemons_have_applied_a_version(self) -> None:
        mesh = build_mesh(seed=14)
        paused = mesh.running[3]
        paused.pause()
        mesh.publish()
        mesh.run(4.0)
        for daemon in mesh.running:
            if daemon is paused:
                continue
            report = compute_convergence(daemon.membership, CUSTOMER, 1, mesh.clock.now)
            self.assertEqual((report.total, report.in_force), (60, 59))
            self.assertEqual([m.daemon_id for m in report.missing], [paused.daemon_id])
            self.assertLessEqual(report.missing[0].since_s, 4.0)
        paused.resume()
        mesh.run(SINGLE_FAILURE_LIMIT_S)
        report = compute_convergence(mesh.running[0].membership, CUSTOMER, 1, mesh.clock.now)
        self.assertTrue(report.is_complete)
        self.assertFalse(
            compute_convergence(mesh.running[0].membership, CUSTOMER, 2, mesh.clock.now).is_complete
        )
