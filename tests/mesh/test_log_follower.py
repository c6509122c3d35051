"""The relay limits its log reads and recovers from outages, retention and loss of the log."""

from __future__ import annotations

import unittest
from itertools import combinations

from fulmarstile_mesh import RelaySettings
from fulmarstile_platform.log import DEFAULT_READ_LIMIT
from fulmarstile_testing.builders.mesh import CUSTOMER, ZONES, VirtualMesh
from fulmarstile_testing.known_red import pass_over_known_red

STREAM = f"config.{CUSTOMER}"
RETENTION_S = 200.0
RECOVERY_LIMIT_S = 13.0
MAX_APPENDS_PER_S = 100


def build_mesh(seed: int, count: int = 36, retention_s: float = 3600.0) -> VirtualMesh:
    mesh = VirtualMesh(seed, relay_settings=RelaySettings(retention_s=retention_s))
    mesh.log.switches.retention_s = retention_s
    mesh.add(count)
    mesh.run(15.0)
    return mesh


def count_reads(mesh: VirtualMesh) -> int:
    return mesh.log.counts.reads_per_stream.get(STREAM, 0)


def count_appends(mesh: VirtualMesh) -> int:
    return mesh.log.counts.appends_per_stream.get(STREAM, 0)


class LogFollowerTest(unittest.TestCase):
    def publish(self, mesh: VirtualMesh, limit_s: float = RECOVERY_LIMIT_S) -> None:
        version = max(daemon.applied.get(CUSTOMER, 0) for daemon in mesh.running) + 1
        mesh.publish(mesh.random.randbytes(100))
        mesh.run_until(lambda: mesh.is_in_force(version), limit_s)
        self.assertTrue(mesh.is_in_force(version))
        self.assertEqual(mesh.reverted, [])

    def test_the_number_of_reads_does_not_grow_with_the_fleet(self) -> None:
        for count in (30, 120):
            with self.subTest(count):
                mesh = build_mesh(seed=1, count=count)
                before = count_reads(mesh)
                mesh.run(60.0)
                polls = 60.0 / mesh.relay_settings.poll_wait_s + 1
                self.assertLessEqual(count_reads(mesh) - before, len(ZONES) * polls)

    @pass_over_known_red
    def test_a_version_is_in_force_in_time_after_all_open_connections_went_silent(self) -> None:
        """Guards against long polls in silence, those of all readers, that outlast the limit."""
        late = []
        for seed in range(1, 7):
            mesh = build_mesh(seed)
            mesh.run(60.0)
            # Then the polls of all readers begin at the same time.
            self.publish(mesh)
            mesh.run(0.1)
            mesh.log.silence_open()
            for first, second in combinations(mesh.running, 2):
                mesh.links.silence(first.address, second.address)
            mesh.publish()
            mesh.run_until(lambda mesh=mesh: mesh.is_in_force(2), RECOVERY_LIMIT_S)
            if not mesh.is_in_force(2):
                late.append(seed)
        self.assertEqual(late, [])

    def test_a_returning_herd_catches_up_from_peers_while_the_log_is_down(self) -> None:
        mesh = build_mesh(seed=2, count=60)
        for _ in range(3):
            self.publish(mesh)
        mesh.run(5.0)
        herd = mesh.running[::2]
        mesh.log.begin_outage()
        for daemon in herd:
            daemon.kill()
        mesh.run(20.0)
        for daemon in herd:
            mesh.restart(daemon.daemon_id)
        mesh.run(RECOVERY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(3))
        reads = count_reads(mesh)
        appends = mesh.log.counts.appends
        mesh.log.end_outage()
        self.publish(mesh)
        self.assertLessEqual(count_reads(mesh) - reads, 3 * len(ZONES))
        self.assertLessEqual(mesh.log.counts.appends - appends, MAX_APPENDS_PER_S)

    def test_a_fully_restarted_fleet_recovers_from_the_log_alone(self) -> None:
        mesh = build_mesh(seed=3)
        count = 2 * DEFAULT_READ_LIMIT + 10
        for _ in range(count):
            mesh.publish()
            mesh.run(0.01)
        mesh.run(5.0)
        self.assertTrue(mesh.is_in_force(count))
        for daemon in mesh.running:
            daemon.kill()
        for daemon_id in sorted(mesh.daemons):
            mesh.restart(daemon_id)
        mesh.run(RECOVERY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(count))
        self.assertEqual(mesh.reverted, [])

    def test_a_snapshot_is_written_before_the_retention_expires(self) -> None:
        mesh = build_mesh(seed=4, retention_s=RETENTION_S)
        for _ in range(3):
            self.publish(mesh)
        mesh.run(3 * RETENTION_S)
        written = count_appends(mesh) - 3
        self.assertGreaterEqual(written, 3)
        self.assertLessEqual(written, 20)
        for daemon in mesh.running:
            daemon.kill()
        for daemon_id in sorted(mesh.daemons):
            mesh.restart(daemon_id)
        mesh.run(RECOVERY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(3))
        self.publish(mesh)

    def test_exactly_one_daemon_writes_a_snapshot_after_many_records(self) -> None:
        mesh = build_mesh(seed=5, count=12)
        mesh.publish()
        mesh.run(0.05 * 3600.0 + 20.0)
        before = sum(d.relay.counters.snapshots_appended for d in mesh.running)
        for _ in range(mesh.relay_settings.snapshot_records):
            mesh.publish()
            mesh.run(0.01)
        mesh.run(20.0)
        after = sum(d.relay.counters.snapshots_appended for d in mesh.running)
        self.assertEqual(after - before, 1)

    def test_a_stream_lost_by_the_log_is_recreated(self) -> None:
        mesh = build_mesh(seed=6)
        for _ in range(3):
            self.publish(mesh)
        mesh.log.forget()
        mesh.run(RECOVERY_LIMIT_S)
        heads = {daemon.replicas[CUSTOMER].head for daemon in mesh.running}
        self.assertEqual({(head.generation, head.version) for head in heads}, {(1, 3)})
        self.publish(mesh)
        for daemon in mesh.running:
            daemon.kill()
        for daemon_id in sorted(mesh.daemons):
            mesh.restart(daemon_id)
        mesh.run(RECOVERY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(4))

    def test_the_next_candidate_recreates_a_lost_stream_if_the_first_cannot(self) -> None:
        mesh = build_mesh(seed=7)
        self.publish(mesh)
        (writer,) = [d for d in mesh.running if d.relay.writer_rank(CUSTOMER) == 0]
        mesh.log.forget()
        mesh.cut_from_log.add(writer.daemon_id)
        mesh.run(RECOVERY_LIMIT_S)
        generations = {d.replicas[CUSTOMER].head.generation for d in mesh.running}
        self.assertEqual(generations, {1})

    def test_a_daemon_behind_the_retention_adopts_a_snapshot_from_a_peer(self) -> None:
        mesh = build_mesh(seed=8, retention_s=RETENTION_S)
        self.publish(mesh)
        paused = mesh.running[4]
        paused.pause()
        mesh.run(2 * RETENTION_S)
        for _ in range(3):
            mesh.publish()
            mesh.run(0.5)
        paused.resume()
        mesh.run(RECOVERY_LIMIT_S)
        self.assertTrue(mesh.is_in_force(4))
        self.assertEqual(mesh.reverted, [])

    def test_a_restarted_daemon_applies_nothing_before_its_last_version(self) -> None:
        mesh = build_mesh(seed=9)
        for _ in range(5):
            self.publish(mesh)
        mesh.run(5.0)
        for daemon in mesh.running[::5]:
            daemon.kill()
            mesh.log.begin_outage()
            restarted = mesh.restart(daemon.daemon_id)
            mesh.run(RECOVERY_LIMIT_S)
            mesh.log.end_outage()
            self.assertEqual(restarted.applied, {CUSTOMER: 5})
        self.assertEqual(mesh.reverted, [])

    def test_isolated_daemons_share_a_read_budget_for_the_log(self) -> None:
        mesh = build_mesh(seed=10, count=60)
        self.publish(mesh)
        addresses = [daemon.address for daemon in mesh.running]
        for index, address in enumerate(addresses):
            mesh.links.block(frozenset({address}), frozenset(addresses[:index]))
        mesh.publish()
        mesh.run(60.0)
        self.assertTrue(mesh.is_in_force(2))
        before = count_reads(mesh)
        mesh.run(60.0)
        polls = 60.0 / mesh.relay_settings.poll_wait_s + 1
        self.assertLessEqual(count_reads(mesh) - before, len(mesh.running) * polls)
