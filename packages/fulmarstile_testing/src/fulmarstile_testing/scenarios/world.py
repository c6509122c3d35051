"""Simulated environment of the virtual daemons of one scenario run."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_daemon.assembly import CoreSettings, TrustedKeys, assemble_core
from fulmarstile_mesh import RelaySettings
from fulmarstile_testing.fakes.clock import VirtualClock
from fulmarstile_testing.fakes.links import FakeLinks
from fulmarstile_testing.fakes.log import FakeLog
from fulmarstile_testing.fakes.upstream import FakeUpstream
from fulmarstile_testing.scenarios.calls.callers import Callers
from fulmarstile_testing.scenarios.calls.links import CallLinks
from fulmarstile_testing.scenarios.publisher import Publisher
from fulmarstile_testing.scenarios.reference import ReferenceFolds
from fulmarstile_testing.scenarios.trace import (
    DaemonStarted,
    IsolationChanged,
    TimePassed,
    Trace,
    UpstreamCrashed,
)
from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
from fulmarstile_wire.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    from fulmarstile_config import CustomerFold
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_testing.scenarios.model import AvailabilityZone, Scenario, ServiceSetup
    from fulmarstile_testing.scenarios.trace import TraceEvent

EPOCH_S: Final = 1_700_000_000.0
"""Time of day at virtual time 0, in seconds since the epoch."""

CONNECT_TIMEOUT_S: Final = 2.0
"""Time after which a daemon that cannot reach the log gives up a request, in seconds."""

SAME_ZONE_LATENCY_S: Final = 0.0003
ZONE_LATENCY_S: Final = 0.0015
REGION_LATENCY_S: Final = 0.025

MAX_CLOCK_OFFSET_S: Final = 100_000.0
"""Largest difference between the monotonic clocks of two daemons, in seconds."""

_MESH_KEY_BYTES: Final = 32


class World:
    """Clock, links, log, daemons and trace of one run.

    Args:
        scenario: The scenario.
        seed: Seed of all random choices.
        trace: Records the events.
    """

    def __init__(self, scenario: Scenario, seed: int, trace: Trace) -> None:
        self.scenario = scenario
        self.clock = VirtualClock()
        self.random = Random(f"{seed}/world")
        self.log = FakeLog(self.clock, EPOCH_S)
        self.links = FakeLinks(self.clock, Random(f"{seed}/links"), self.latency_s)
        self.daemons: dict[str, VirtualDaemon] = {}
        """Running daemons by name, in the order of their start."""
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self._seed = seed
        self._trace = trace
        self._mesh_key = Random(f"{seed}/mesh-key").randbytes(_MESH_KEY_BYTES)
        self._zone_by_daemon = _place_daemons(scenario)
        self.publishers = {
            customer: Publisher(customer, self._services_of(customer), self.log, str(seed))
            for customer in scenario.customers
        }
        self._owner_keys = {name: item.public_key for name, item in self.publishers.items()}
        self.reference = ReferenceFolds(self._owner_keys, self._mesh_key, self.record)
        self.log.on_append = self.reference.on_append
        self.upstreams = {
            daemon_id: FakeUpstream(
                self.clock,
                service.run_s,
                partial(self.daemons.get, daemon_id),
                partial(self._record_crash, daemon_id),
            )
            for service in scenario.services
            for daemon_id in service.daemon_ids
        }
        """Upstreams by the name of the daemon beside them."""
        self.call_links = CallLinks(self)
        self.callers = Callers(self, seed)
        self._attempt_count = 0
        self._groups_cut_from_log: list[frozenset[str]] = []
        self._isolated: tuple[str, ...] = ()
        self._message_count = 0
        self._message_digest = xxhash.xxh64()
        self._start_count = 0
        self.clock.call_later(1.0, self._record_time_passed)

    @property
    def trace(self) -> Trace:
        """Trace of the run."""
        return self._trace

    @property
    def wall_clock_ms(self) -> int:
        """Time of day in milliseconds since the epoch."""
        return round((EPOCH_S + self.clock.now) * 1000)

    def record(self, event: TraceEvent) -> None:
        """Records an event at the current virtual time.

        Args:
            event: What happened.
        """
        self._trace.record(self.clock.now, event)

    def next_attempt_id(self) -> int:
        """Returns an attempt number that is unique in the run."""
        self._attempt_count += 1
        return self._attempt_count

    def service_of(self, daemon_id: str) -> ServiceSetup:
        """Returns the service of the upstream beside a daemon."""
        return next(item for item in self.scenario.services if daemon_id in item.daemon_ids)

    def select_daemons(self, name: str) -> tuple[str, ...]:
        """Lists the declared daemons of a group.

        Args:
            name: A daemon, service, availability zone or region; empty for all.

        Returns:
            Names of the daemons, in the order of their declaration.
        """
        services = {service.name: service.daemon_ids for service in self.scenario.services}
        selected = []
        for daemon_id, zone in self._zone_by_daemon.items():
            groups = ("", daemon_id, zone.name, zone.region)
            if name in groups or daemon_id in services.get(name, ()):
                selected.append(daemon_id)
        return tuple(selected)

    def start_daemon(self, daemon_id: str) -> VirtualDaemon:
        """Starts a daemon with empty memory.

        Args:
            daemon_id: Name of the daemon.

        Returns:
            The daemon.
        """
        self._start_count += 1
        random = Random(f"{self._seed}/daemon/{self._start_count}")
        offset_s = random.uniform(0.0, MAX_CLOCK_OFFSET_S)
        core = self._assemble_core(daemon_id, random)
        daemon = VirtualDaemon(self, core, offset_s, random)
        self.daemons[daemon_id] = daemon
        self.record(DaemonStarted(daemon_id, self.scenario.customers))
        daemon.start()
        self.update_isolation()
        return daemon

    def end_daemon(self, daemon: VirtualDaemon) -> None:
        """Ends a daemon's process and removes it from the running daemons.

        Args:
            daemon: The daemon.
        """
        daemon.end()
        if self.daemons.get(daemon.daemon_id) is daemon:
            del self.daemons[daemon.daemon_id]
        if not self.daemons:
            self.reference.on_last_daemon_ended(self.log)
        self.callers.on_daemon_ended(daemon)
        for other in list(self.daemons.values()):
            other.run(partial(other.entry.on_daemon_ended, daemon.daemon_id))
        self.update_isolation()

    def forget_log(self) -> None:
        """Empties the log; its offsets start at 0 again."""
        self.reference.on_log_forgot(self.list_folds())
        self.log.forget()

    def address_of(self, daemon_id: str) -> str:
        """Returns the address at which a daemon receives messages, running or not."""
        return f"{daemon_id}:1"

    def list_folds(self) -> dict[str, list[CustomerFold]]:
        """Returns the folds of all running daemons by customer."""
        return {
            customer: [daemon.core.folds[customer] for daemon in self.daemons.values()]
            for customer in self.scenario.customers
        }

    def record_message(self, source: str, destination: str, frame: bytes) -> None:
        """Counts a message between daemons and adds it to the digest of all messages."""
        self._message_count += 1
        self._message_digest.update(f"{self.clock.now:.6f} {source} {destination}".encode())
        self._message_digest.update(frame)

    def is_cut_from_log(self, daemon_id: str) -> bool:
        """Returns whether a daemon cannot reach the log."""
        return any(daemon_id in group for group in self._groups_cut_from_log)

    def cut_from_log(self, group: frozenset[str]) -> None:
        """Makes the log unreachable for a group of daemons."""
        self._groups_cut_from_log.append(group)
        self.update_isolation()

    def reconnect_to_log(self, group: frozenset[str]) -> None:
        """Ends a `cut_from_log`."""
        self._groups_cut_from_log.remove(group)
        self.update_isolation()

    def update_isolation(self) -> None:
        """Records which daemons have no path to the log, if that changed."""
        running = {name: item for name, item in self.daemons.items() if not item.is_paused}
        reachable = [] if self.log.is_down else [n for n in running if not self.is_cut_from_log(n)]
        for name in reachable:
            reachable += [
                other
                for other in running
                if other not in reachable
                and not self.links.is_blocked(running[name].address, running[other].address)
            ]
        isolated = tuple(sorted(set(self.scenario.daemon_ids) - set(reachable)))
        if isolated != self._isolated:
            self._isolated = isolated
            self.record(IsolationChanged(isolated))

    def latency_s(self, source: str, destination: str) -> float:
        """Returns the one-way latency between two addresses, in seconds."""
        first = self._zone_by_daemon[source.partition(":")[0]]
        second = self._zone_by_daemon[destination.partition(":")[0]]
        if first == second:
            return SAME_ZONE_LATENCY_S
        return ZONE_LATENCY_S if first.region == second.region else REGION_LATENCY_S

    def _assemble_core(self, daemon_id: str, random: Random) -> DaemonCore:
        zone = self._zone_by_daemon[daemon_id]
        record = MemberRecord(
            daemon_id=daemon_id,
            incarnation=round((EPOCH_S + self.clock.now) * 1000) + self._start_count,
            status=MemberStatus.ALIVE,
            peer_address=self.address_of(daemon_id),
            calls_address=f"{daemon_id}:2",
            availability_zone=zone.name,
            region=zone.region,
            customers=tuple(sorted(self.scenario.customers)),
        )
        settings = CoreSettings(relay=RelaySettings(retention_s=self.log.switches.retention_s))
        return assemble_core(
            settings, record, TrustedKeys(self._owner_keys, self._mesh_key), random
        )

    def _services_of(self, customer: str) -> tuple[ServiceSetup, ...]:
        return tuple(item for item in self.scenario.services if item.customer == customer)

    def _record_crash(self, daemon_id: str) -> None:
        self.record(UpstreamCrashed(daemon_id))

    def _record_time_passed(self) -> None:
        self.record(TimePassed(self._message_count, self._message_digest.hexdigest()))
        self.clock.call_later(1.0, self._record_time_passed)


def _place_daemons(scenario: Scenario) -> dict[str, AvailabilityZone]:
    """Spreads the daemons of each service over the availability zones round-robin."""
    zones = scenario.availability_zones
    placed = {}
    for service in scenario.services:
        for index, daemon_id in enumerate(service.daemon_ids):
            placed[daemon_id] = zones[index % len(zones)]
    return placed
