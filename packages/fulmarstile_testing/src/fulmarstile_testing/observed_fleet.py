"""Fleet of whole daemons in virtual time, which notes the versions in force on each of them."""

from __future__ import annotations

import math
import random
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

import trio
import trio.testing

from fulmarstile_testing.builders.service_mesh import ServiceClient, ServiceMesh, ServiceNode
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import (
    DOCUMENT_KEY,
    DOCUMENT_TOPIC,
    HEADER_NAMES,
)
from fulmarstile_testing.lost_search.environment import (
    LOCAL_DAEMON,
    SimulatedLinks,
    seed_globally,
    virtual_environment,
)
from fulmarstile_testing.service_upstream import ServiceUpstream
from fulmarstile_testing.simulated_store import SimulatedStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator

    from fulmarstile_services.document import ServiceDocument, ServiceRoute

CONFIG_APPLY_S: Final = 2.0
"""Time after its acknowledgement from which a version must be in force, in seconds."""
STABLE_WINDOW_S: Final = 3.0
"""Time after the end of a disruption from which that holds again, in seconds."""
_ANNOUNCE_S: Final = 1.5
_VERSION_S: Final = 0.33
_KBIT: Final = 125
"""Bytes."""


@dataclass(frozen=True, slots=True)
class Disruption:
    """A span in which no bound holds, nor in the stable window after it."""

    started_at: float
    ended_at: float
    names: frozenset[str] = frozenset()
    """Daemons that it concerns; none for all."""

    def excuses(self, name: str, at: float) -> bool:
        """Returns whether a daemon may lack a version at a time."""
        is_concerned = not self.names or name in self.names
        return is_concerned and self.started_at <= at < self.ended_at + STABLE_WINDOW_S


@dataclass(slots=True)
class Incarnation:
    """A daemon from its start to its end, and the versions that were in force there."""

    node: ServiceNode
    name: str
    started_at: float
    ended_at: float = math.inf
    applied: list[tuple[float, int]] = field(default_factory=list)
    """Times and versions, in order of time."""

    @property
    def reader_rank(self) -> int:
        """Returns 0 for a daemon that all others rely on, 1 for another reader of the store."""
        sources = self.node.daemon._document_part._reader._sources
        return 2 - sources.is_reader - (sources.is_reader and sources.is_prompt_reader)

    def in_force_at(self, version: int) -> float:
        """Returns from when on a version, or a newer one, is in force."""
        return next((at for at, applied in self.applied if applied >= version), math.inf)


class ObservedFleet:
    """Daemons of several availability zones.

    Args:
        nursery: Runs them.
        links: Connections between them.
        rng: Source of randomness.
    """

    def __init__(self, nursery: trio.Nursery, links: SimulatedLinks, rng: random.Random) -> None:
        self.mesh = ServiceMesh(nursery)
        self.links = links
        self.stores: dict[str, SimulatedStore] = {}
        """Clients of the store by the name of the daemon."""
        self.incarnations: list[Incarnation] = []
        self.disruptions: list[Disruption] = []
        self.acknowledged_at: dict[int, float] = {}
        self.lost: set[int] = set()
        """Versions that neither the store nor a running daemon has any more."""
        self.limits_links = False
        """Whether records from the store arrive only as fast as the links of the daemons carry."""
        self._documents: dict[int, ServiceDocument] = {}
        self._nursery = nursery
        self._sequence = 0
        self.mesh.make_store = self._make_store

    def _make_store(self, name: str) -> SimulatedStore:
        link_bytes_per_s = self.mesh.link_kbps * _KBIT if self.limits_links else 0
        store = SimulatedStore(self.mesh.store, random.Random(), link_bytes_per_s)
        earlier = self.stores.get(name)
        if earlier is not None:
            store.faults = earlier.faults
            store.link_bytes_per_s = earlier.link_bytes_per_s
        self.stores[name] = store
        return store

    def list_running(self) -> list[Incarnation]:
        """Lists the daemons that run, and were not told to stop."""
        return [each for each in self.incarnations if math.isinf(each.ended_at)]

    @property
    def version(self) -> int:
        """The newest version that was acknowledged."""
        return max(self.acknowledged_at)

    def publish(self, *routes: ServiceRoute) -> None:
        """Writes the next version, which is acknowledged at once.

        Args:
            routes: Its routes; by default one for all requests.
        """
        self._write(len(self.acknowledged_at) + 1, *routes)

    def publish_swapped(self) -> None:
        """Writes two versions at once, of which the store appends the newer one first."""
        version = len(self.acknowledged_at) + 1
        for each in (version + 1, version):
            self._write(each)

    def _write(self, version: int, *routes: ServiceRoute) -> None:
        document = make_document(*(routes or (make_route(),)), version=version)
        self._documents[version] = document
        self.mesh.put_document(document)
        self.acknowledged_at[version] = trio.current_time()

    def write_again(self, version: int) -> None:
        """Writes a version once more, as a write does that takes effect late."""
        self.mesh.put_document(self._documents[version])

    def write_value(self, value: bytes) -> None:
        """Writes a record that holds no document; a deletion if it is empty."""
        self.mesh.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, value)

    def is_newest_usable(self) -> bool:
        """Returns whether the newest record of the document is one."""
        return self.mesh.store.list_records(DOCUMENT_TOPIC)[-1].value in self.mesh.documents

    def expire_records(self, before: int | None = None) -> None:
        """Lets the store expire the records of the operator's topic before an offset, or all."""
        self.mesh.store.forget_history(DOCUMENT_TOPIC, before)
        self._note_lost()

    def _note_lost(self) -> None:
        """Notes the versions that no daemon can get any more."""
        left = [each.node.daemon._documents.version for each in self.list_running()]
        left.append(self.mesh.newest_readable_version())
        self.lost.update(version for version in self.acknowledged_at if version > max(left))

    def lose_last(self, count: int) -> None:
        """Lets the store lose the last records of the operator's topic."""
        self.mesh.store.lose_last(DOCUMENT_TOPIC, count)

    def hold_reads(self, before: int) -> None:
        """Lets the store not answer reads of records of the operator's topic before an offset."""
        for client in self.stores.values():
            client.faults.held_before[DOCUMENT_TOPIC] = before

    async def publish_forever(self) -> None:
        """Writes a version at a regular interval."""
        while True:
            await trio.sleep(_VERSION_S)
            self.publish()

    async def start(self, name: str, zone: str = "", earlier: ServiceNode | None = None) -> None:
        """Starts a daemon, and waits until it is ready."""
        LOCAL_DAEMON.set(name)
        upstream = ServiceUpstream(HEADER_NAMES, f"upstream-of-{name}", f"{name}:80")
        started_at = trio.current_time()
        node = await self.mesh.start_node(name, zone=zone, upstream=upstream, earlier=earlier)
        self.links.names[node.platform.settings.listeners.daemons] = name
        incarnation = Incarnation(node, name, started_at)
        documents = node.daemon._documents

        def note() -> None:
            incarnation.applied.append((trio.current_time(), documents.version))

        note()
        documents.on_change.append(note)
        self.incarnations.append(incarnation)
        self._nursery.start_soon(self._announce_forever, incarnation)

    async def start_together(self, ended: Iterable[Incarnation]) -> None:
        """Starts daemons that have ended, all at the same time, and waits until they are ready."""
        async with trio.open_nursery() as nursery:
            for each in ended:
                nursery.start_soon(self.start, each.name, "", each.node)

    async def call(self, incarnation: Incarnation, target: str) -> int:
        """Sends a request to a daemon; returns the status of its answer."""
        for each in self.list_running():
            self.links.serve(each.node.upstream)
        stream = await self.links.open_stream(incarnation.node.address)
        sock = trio.socket.from_stdlib_socket(stream._socket)
        async with ServiceClient(trio.SocketStream(sock)) as client:
            return (await client.call(target)).status

    async def kill_all(self) -> list[Incarnation]:
        """Kills all daemons, and returns them."""
        killed = self.list_running()
        async with trio.open_nursery() as nursery:
            for each in killed:
                nursery.start_soon(self.kill, each)
        return killed

    async def kill(self, incarnation: Incarnation) -> None:
        """Kills a daemon."""
        incarnation.ended_at = trio.current_time()
        await incarnation.node.kill()
        self._note_lost()

    async def stop(self, incarnation: Incarnation, grace_s: float) -> None:
        """Tells a daemon to stop, and kills it after the grace time."""
        incarnation.ended_at = trio.current_time()
        incarnation.node.stop()
        with trio.move_on_after(grace_s):
            await incarnation.node.ended.wait()
        await incarnation.node.kill()

    async def _announce_forever(self, incarnation: Incarnation) -> None:
        while True:
            await trio.sleep(_ANNOUNCE_S)
            if not math.isinf(incarnation.ended_at):
                return
            self._sequence += 1
            await incarnation.node.announce(sequence=self._sequence, born_ms=1_000)

    @contextmanager
    def disrupted(self, names: Iterable[str] = ()) -> Iterator[None]:
        """Notes a disruption, of some daemons or of all."""
        started_at = trio.current_time()
        try:
            yield
        finally:
            ended_at = trio.current_time()
            self.disruptions.append(Disruption(started_at, ended_at, frozenset(names)))

    @contextmanager
    def store_out_of_reach(self, fault: str = "refuses") -> Iterator[None]:
        """Cuts all daemons off from the store.

        Args:
            fault: What is wrong, the name of a field of `StoreFaults`.
        """
        with self.disrupted():
            for client in self.stores.values():
                setattr(client.faults, fault, True)
            try:
                yield
            finally:
                for client in self.stores.values():
                    setattr(client.faults, fault, False)

    def silence_open(self, share: float = 1.0, *, store: bool = True, links: bool = True) -> None:
        """Makes open connections silent for good.

        Args:
            share: Share of the connections that this happens to.
            store: Whether connections to the store do.
            links: Whether connections between daemons do.
        """
        with self.disrupted():
            if links:
                self.links.silence_open(share)
            for client in self.stores.values() if store else ():
                client.silence_open(share)

    def list_late(self, apply_s: float = CONFIG_APPLY_S) -> list[str]:
        """Lists the versions that were not in force in time, and returns to older ones."""
        now = trio.current_time()
        found = []
        for each in self.incarnations:
            for version, acknowledged_at in self.acknowledged_at.items():
                due_at = self.due_at(each, acknowledged_at + apply_s)
                late_s = min(each.in_force_at(version), each.ended_at, now) - due_at
                if late_s > 0:
                    found.append(
                        f"{each.name}: version {version}, acknowledged at {acknowledged_at:.2f}, "
                        f"due at {due_at:.2f}, late by {late_s:.2f} s"
                    )
            versions = [version for _, version in each.applied]
            if versions != sorted(versions):
                found.append(f"{each.name}: an older version after a newer one: {versions}")
        return found

    def due_at(self, incarnation: Incarnation, at: float) -> float:
        """Returns when a version must be in force that would be due at a time in calm."""
        at = max(at, incarnation.started_at + STABLE_WINDOW_S)
        for each in sorted(self.disruptions, key=lambda each: each.started_at):
            if each.excuses(incarnation.name, at):
                at = each.ended_at + STABLE_WINDOW_S
        return at


async def _run_at_once(function: Callable[..., Any], *args: Any, **_: object) -> Any:
    """Replaces `trio.to_thread.run_sync`, as a thread takes real time."""
    await trio.lowlevel.checkpoint()
    return function(*args)


@asynccontextmanager
async def run_fleet(
    rng: random.Random,
    size: int,
    zones: int,
    link_kbps: tuple[int, ...] = (0,),
    latencies_s: tuple[float, ...] = (0.0005, 0.002, 0.01),
    document_bytes: int = 0,
    *,
    limits_links: bool = False,
) -> AsyncIterator[ObservedFleet]:
    """Runs daemons, which have read a first version.

    Args:
        rng: Source of randomness.
        size: Number of daemons.
        zones: Number of availability zones.
        link_kbps: Capacities of links, of which one is drawn for each, in kilobits per second.
        latencies_s: Latencies of connections between daemons, in seconds.
        document_bytes: Least size of a version in the store, in bytes.
        limits_links: Whether records from the store arrive only as fast as these links carry.

    Yields:
        The fleet.
    """
    async with trio.open_nursery() as nursery:
        links = SimulatedLinks(nursery, rng, 0, latencies_s)
        with (
            virtual_environment(links, rng, stalls_sends=False),
            mock.patch.object(trio.to_thread, "run_sync", _run_at_once),
        ):
            fleet = ObservedFleet(nursery, links, rng)
            fleet.mesh.document_bytes = document_bytes
            fleet.limits_links = limits_links
            fleet.publish()
            for index in range(size):
                fleet.mesh.link_kbps = rng.choice(link_kbps)
                await fleet.start(f"daemon-{index + 1}", f"zone-{index % zones}")
            await fleet.mesh.wait_serving("shop", size)
            yield fleet
            nursery.cancel_scope.cancel()


def play(seed: int, scenario: Callable[[trio.testing.MockClock], Awaitable[None]]) -> None:
    """Plays a scenario in virtual time."""
    seed_globally(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(scenario, clock, clock=clock)
