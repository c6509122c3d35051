"""Meshes of decision cores in virtual time, for tests of the mesh."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_mesh import (
    RENDEZVOUS_STREAM,
    AppendLog,
    Apply,
    Disconnect,
    Membership,
    MembershipSettings,
    ReadLog,
    Relay,
    RelaySettings,
    Send,
    decode_rendezvous,
)
from fulmarstile_testing.fakes.clock import VirtualClock
from fulmarstile_testing.fakes.links import FakeLinks
from fulmarstile_testing.fakes.log import FakeLog
from fulmarstile_testing.fakes.replica import FakeReplica, is_snapshot
from fulmarstile_wire import decode_message, encode_message
from fulmarstile_wire import messages as wire
from fulmarstile_wire.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from fulmarstile_mesh import Effect
    from fulmarstile_platform.log import LogPage

TICK_INTERVAL_S: Final = 0.1
CUSTOMER: Final = "laundry"
ZONES: Final = (
    ("be-bru", "be"),
    ("be-ant", "be"),
    ("be-lie", "be"),
    ("almaty-a", "kz"),
    ("almaty-b", "kz"),
    ("almaty-c", "kz"),
)
SAME_ZONE_LATENCY_S: Final = 0.0005
OTHER_ZONE_LATENCY_S: Final = 0.0015
_START_MS: Final = 1_700_000_000_000


def build_record(
    number: int,
    customers: Sequence[str] = (CUSTOMER,),
    started_at: float = 0.0,
    zone: str = "",
) -> MemberRecord:
    """Returns the record of a daemon.

    Args:
        number: Number of the daemon.
        customers: Customers that the daemon needs.
        started_at: Start of the daemon, in seconds.
        zone: Availability zone; empty to choose it by the number.
    """
    availability_zone, region = ZONES[number % len(ZONES)]
    if zone:
        availability_zone, region = zone, dict(ZONES)[zone]
    host = f"10.0.{number // 200}.{number % 200}"
    return MemberRecord(
        daemon_id=f"daemon-{number:03}",
        incarnation=_START_MS + int(started_at * 1000),
        status=MemberStatus.ALIVE,
        peer_address=f"{host}:7000",
        calls_address=f"{host}:8000",
        availability_zone=availability_zone,
        region=region,
        customers=tuple(sorted(customers)),
    )


@dataclass(slots=True)
class Traffic:
    """Messages that a virtual daemon has sent."""

    messages: int = 0
    bytes: int = 0
    bytes_by_type: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, size: int) -> None:
        """Counts one message."""
        self.messages += 1
        self.bytes += size
        self.bytes_by_type[name] = self.bytes_by_type.get(name, 0) + size


class MeshDaemon:
    """Membership and relay of one daemon, connected to fake links and a fake log."""

    def __init__(self, mesh: VirtualMesh, record: MemberRecord, random: Random) -> None:
        self._mesh = mesh
        self._paused_callbacks: list[Callable[[], None]] = []
        self._random = random
        self.is_running = False
        self.is_paused = False
        self.delay_s = 0.0
        """Largest delay of input and ticks, which simulates a slow VM, in seconds."""
        self.input_delay_s = 0.0
        """Further delay of the daemon's input alone, in seconds."""
        self.membership = Membership(mesh.membership_settings, record, random)
        self.replicas = {customer: FakeReplica(customer) for customer in record.customers}
        self.relay = Relay(
            mesh.relay_settings,
            record.daemon_id,
            record.peer_address,
            record.availability_zone,
            record.region,
            self.replicas,
            self.membership,
            random,
            is_snapshot,
        )
        self.applied: dict[str, int] = {}
        self.applied_at: dict[tuple[str, int], float] = {}
        self.traffic = Traffic()
        self._handlers = {
            wire.Join: self.membership.on_join,
            wire.Members: self.membership.on_members,
            wire.MemberDigest: self.membership.on_member_digest,
            wire.Probe: self.membership.on_probe,
            wire.ProbeReply: self.membership.on_probe_reply,
            wire.IndirectProbe: self.membership.on_indirect_probe,
            wire.Heads: self.relay.on_heads,
            wire.RecordRequest: self.relay.on_record_request,
            wire.RecordBatch: self.relay.on_record_batch,
            wire.SnapshotRequest: self.relay.on_snapshot_request,
            wire.SnapshotOffer: self.relay.on_snapshot_offer,
        }

    @property
    def daemon_id(self) -> str:
        """Id of the daemon."""
        return self.membership.record.daemon_id

    @property
    def address(self) -> str:
        """Address of the listener."""
        return self.membership.record.peer_address

    def start(self) -> None:
        """Opens the listener and starts the ticks."""
        self.is_running = True
        self._mesh.links.attach(self.address, self._receive)
        delay_s = self._random.uniform(0.0, TICK_INTERVAL_S)
        self._mesh.clock.call_later(delay_s, self._tick)

    def kill(self) -> None:
        """Kills the process and closes its listener."""
        self.is_running = False
        self._mesh.links.detach(self.address)

    def pause(self) -> None:
        """Pauses the process; its input is queued until `resume`."""
        self.is_paused = True

    def resume(self) -> None:
        """Resumes the process, which first handles the queued input."""
        self.is_paused = False
        waiting, self._paused_callbacks = self._paused_callbacks, []
        for callback in waiting:
            callback()

    def join_from(self, other: MeshDaemon) -> None:
        """Handles a join of another daemon, as if received from it."""
        join = wire.Join(other.daemon_id, other.address, other.membership.record)
        self.carry_out(self.membership.on_join(join, self._mesh.clock.now))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out effects."""
        for effect in effects:
            match effect:
                case Send(address, message):
                    frame = encode_message(message)
                    self.traffic.count(type(message).__name__, len(frame))
                    self._mesh.links.send(self.address, address, frame)
                case Disconnect(address):
                    self._mesh.links.disconnect(self.address, address)
                case ReadLog(stream, offset, wait_s):
                    self._read(stream, offset, wait_s)
                case AppendLog(stream, payload):
                    self._append(stream, payload)
                case Apply(customer):
                    self._record_applied(customer)

    def _receive(self, frame: bytes) -> None:
        message = decode_message(frame)
        handler = self._handlers[type(message)]
        self._run_input(lambda: self.carry_out(handler(message, self._mesh.clock.now)))

    def _run_input(self, callback: Callable[[], None]) -> None:
        if not self.is_running:
            return
        if self.is_paused:
            self._paused_callbacks.append(callback)
        elif self.delay_s or self.input_delay_s:
            delay_s = self._random.uniform(0.5, 1.0) * self.delay_s + self.input_delay_s
            self._mesh.clock.call_later(delay_s, callback)
        else:
            callback()

    def _tick(self) -> None:
        if not self.is_running:
            return
        if not self.is_paused:
            now = self._mesh.clock.now
            self.carry_out(self.membership.on_tick(now))
            self.carry_out(self.relay.on_tick(now))
        self._mesh.clock.call_later(max(TICK_INTERVAL_S, self.delay_s), self._tick)

    def _record_applied(self, customer: str) -> None:
        head = self.replicas[customer].head
        now = self._mesh.clock.now
        self.applied[customer] = head.version
        self.applied_at.setdefault((customer, head.version), now)
        self._mesh.note_applied(self.daemon_id, customer, head.version)
        self.carry_out(self.membership.report_applied(customer, head.version, head.digest, now))

    def _read(self, stream: str, offset: int, wait_s: float) -> None:
        log = self._mesh.log
        if self._mesh.is_cut_from_log(self.daemon_id):
            self._mesh.clock.call_later(1.0, lambda: self._on_log_failure(stream))
            return
        log.read(
            stream,
            offset,
            wait_s,
            lambda page: self._run_input(lambda: self._on_log_page(stream, page)),
            lambda: self._run_input(lambda: self._on_log_failure(stream)),
        )

    def _on_log_page(self, stream: str, page: LogPage) -> None:
        now = self._mesh.clock.now
        if self._mesh.is_cut_from_log(self.daemon_id):
            self._on_log_failure(stream)
        elif stream == RENDEZVOUS_STREAM:
            records = decode_rendezvous(record.payload for record in page.records)
            self.carry_out(self.membership.on_rendezvous(records, now, page.end_offset))
        else:
            self.carry_out(self.relay.on_log_page(stream, page, now))

    def _on_log_failure(self, stream: str) -> None:
        if stream != RENDEZVOUS_STREAM:
            self.carry_out(self.relay.on_log_failure(stream, self._mesh.clock.now))

    def _append(self, stream: str, payload: bytes) -> None:
        clock = self._mesh.clock

        def on_done(offset: int) -> None:
            if stream != RENDEZVOUS_STREAM:
                self.carry_out(self.relay.on_append_done(stream, offset, clock.now))

        def on_failure(verdict: object) -> None:
            if stream != RENDEZVOUS_STREAM:
                self.carry_out(self.relay.on_append_failure(stream, clock.now))

        self._mesh.log.append(
            stream,
            payload,
            lambda offset: self._run_input(lambda: on_done(offset)),
            lambda verdict: self._run_input(lambda: on_failure(verdict)),
        )


class VirtualMesh:
    """Daemons, links and log in virtual time.

    Args:
        seed: Seed of all random choices.
        membership_settings: Settings of all membership cores.
        relay_settings: Settings of all relay cores.
    """

    def __init__(
        self,
        seed: int,
        membership_settings: MembershipSettings | None = None,
        relay_settings: RelaySettings | None = None,
    ) -> None:
        self.membership_settings = membership_settings or MembershipSettings()
        self.relay_settings = relay_settings or RelaySettings()
        self.clock = VirtualClock()
        self.log = FakeLog(self.clock)
        self.random = Random(seed)
        self.links = FakeLinks(self.clock, Random(seed + 1), self._get_latency_s)
        self.daemons: dict[str, MeshDaemon] = {}
        self.cut_from_log: set[str] = set()
        self.reverted: list[tuple[str, str, int, int]] = []
        """Reverts, as daemon, customer, version before and lower version after."""
        self._last_applied: dict[tuple[str, str], int] = {}
        self._start_count = 0
        self._records: dict[str, MemberRecord] = {}

    def add(
        self, count: int, customers: Sequence[str] = (CUSTOMER,), zone: str = ""
    ) -> list[MeshDaemon]:
        """Starts daemons in one availability zone, or in all of them in turn."""
        return [self._start_new(customers, zone) for _ in range(count)]

    def restart(self, daemon_id: str) -> MeshDaemon:
        """Starts a daemon again, on the same address and with empty memory."""
        self._start_count += 1
        incarnation = _START_MS + int(self.clock.now * 1000)
        record = msgspec.structs.replace(self._records[daemon_id], incarnation=incarnation)
        daemon = MeshDaemon(self, record, Random(self.random.getrandbits(64)))
        self.daemons[daemon_id] = daemon
        daemon.start()
        return daemon

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        self.clock.run_until(self.clock.now + seconds)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advances virtual time until a condition holds or a limit passes; returns the seconds."""
        start = self.clock.now
        while not condition() and self.clock.now - start < limit_s:
            self.run(0.05)
        return self.clock.now - start

    def publish(self, payload: bytes = b"publication", customer: str = CUSTOMER) -> None:
        """Appends a record to a customer's stream."""
        self.log.append(f"config.{customer}", payload, lambda offset: None, lambda verdict: None)

    @property
    def running(self) -> list[MeshDaemon]:
        """Running daemons."""
        return [daemon for daemon in self.daemons.values() if daemon.is_running]

    def is_in_force(self, version: int, customer: str = CUSTOMER) -> bool:
        """Returns whether all running daemons that hold the customer have applied a version."""
        return all(
            daemon.applied.get(customer, 0) >= version
            for daemon in self.running
            if customer in daemon.replicas
        )

    def has_converged_membership(self) -> bool:
        """Returns whether each running daemon sees exactly the running daemons as alive."""
        expected = {daemon.daemon_id for daemon in self.running}
        return all(self.list_alive(daemon) == expected for daemon in self.running)

    def list_alive(self, daemon: MeshDaemon) -> set[str]:
        """Returns the ids of the members that a daemon sees as alive."""
        return {
            record.daemon_id
            for record in daemon.membership.members.values()
            if record.status is MemberStatus.ALIVE
        }

    def is_cut_from_log(self, daemon_id: str) -> bool:
        """Returns whether a daemon cannot reach the log."""
        return daemon_id in self.cut_from_log

    def note_applied(self, daemon_id: str, customer: str, version: int) -> None:
        """Records an applied version, and a revert if the daemon id had applied a higher one."""
        key = (daemon_id, customer)
        before = self._last_applied.get(key, 0)
        if version < before:
            self.reverted.append((daemon_id, customer, before, version))
        self._last_applied[key] = version

    def _start_new(self, customers: Sequence[str], zone: str) -> MeshDaemon:
        record = build_record(self._start_count, customers, self.clock.now, zone)
        self._start_count += 1
        self._records[record.daemon_id] = record
        daemon = MeshDaemon(self, record, Random(self.random.getrandbits(64)))
        self.daemons[daemon.daemon_id] = daemon
        daemon.start()
        return daemon

    def _get_latency_s(self, source: str, destination: str) -> float:
        return SAME_ZONE_LATENCY_S
