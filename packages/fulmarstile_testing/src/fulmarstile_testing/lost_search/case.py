"""One seeded case: daemons that stop and start while callers send requests."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, Final

import trio
import trio.testing

from fulmarstile_services.document import Repeatability, RequestLimits
from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode
from fulmarstile_testing.builders.services import make_document, make_route
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.lost_search.callers import CallerConnection, SentRequest
from fulmarstile_testing.lost_search.environment import (
    LOCAL_DAEMON,
    SimulatedLinks,
    seed_globally,
    virtual_environment,
)
from fulmarstile_testing.lost_search.judge import Violation, describe_requests, judge
from fulmarstile_testing.service_upstream import ServiceUpstream

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument

GRACE_S: Final = 6.0
_PLAY_S: Final = 8.0
"""Time in which callers send requests, in seconds."""
_SETTLE_S: Final = 3.0
"""Time before the first stop, in seconds."""
_GRID_S: Final = 0.05
"""Times are multiples of it, so that events coincide."""
_ANNOUNCE_S: Final = 1.5
_STOP_OFFSETS_S: Final = (0.0, 0.0, 0.05, 0.4, 1.0, 1.6, 2.0, 2.4, 2.8, 3.6, 5.2)
"""Times between stops, among them those of the phases of a shutdown, in seconds."""
_NESTED_RATIO: Final = 0.2
_SHORTER: Final = 0.6
"""Factor by which some versions of the document shorten the timeouts."""
_ROUTES: Final = {"/read/": 1.2, "/write/": 1.5, "/upload/": 3.0, "/long/": 7.5, "/sign/": 12.0}
"""Timeouts of the routes by their prefix, in seconds."""
_READS: Final = ("/read/", "/long/")
_DELAYS_MS: Final = (1, 1, 5, 20, 50, 50, 100, 200, 400, 900)
_LONG_DELAYS_MS: Final = (*_DELAYS_MS, 1500, 2000, 3000, 5000)
_SIZES: Final = (2, 2, 400, 30_000, 300_000)
_BODIES: Final = (0, 0, 300, 40_000, 300_000)
_FAULTS: Final = ("reset", "cut", "early", "shed", "extra", "unframed", "unproven")


@dataclass(slots=True)
class DaemonRun:
    """A daemon from its start to its end."""

    node: ServiceNode
    stopped_at: float = math.inf
    """Time of its SIGTERM, in seconds."""
    is_killed: bool = False


@dataclass(frozen=True, slots=True)
class CaseOptions:
    """What a case contains."""

    daemons: int
    callers: int
    link_kbps: int
    has_disruptions: bool
    has_upstream_faults: bool
    stalls_sends: bool
    stalls_loop: bool
    has_long_requests: bool
    has_long_delays: bool
    has_leaving_upstreams: bool
    pipelines: bool
    idle_timeout_s: float

    @classmethod
    def draw(cls, rng: random.Random) -> CaseOptions:
        """Draws the options of a case."""
        return cls(
            daemons=rng.choice((2, 2, 3, 4)),
            callers=rng.choice((2, 4, 8, 16)),
            link_kbps=rng.choice((0, 0, 4_000, 10_000)),
            has_disruptions=rng.random() < 0.4,
            has_upstream_faults=rng.random() < 0.3,
            stalls_sends=rng.random() < 0.3,
            stalls_loop=rng.random() < 0.1,
            has_long_requests=rng.random() < 0.2,
            has_long_delays=rng.random() < 0.5,
            has_leaving_upstreams=rng.random() < 0.2,
            pipelines=rng.random() < 0.4,
            idle_timeout_s=rng.choice((1.0, 60.0, 60.0)),
        )


@dataclass(slots=True)
class CaseResult:
    """What a case showed."""

    options: CaseOptions
    requests: list[SentRequest] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


class Case:
    """Plays one seed.

    Args:
        seed: Seed of all that is drawn.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._options = CaseOptions.draw(self._rng)
        self._result = CaseResult(self._options)
        self._runs: list[DaemonRun] = []
        self._upstreams: list[ServiceUpstream] = []
        self._disrupted_at: list[float] = []
        self._numbers = itertools.count()
        self._sequence = 1
        self._born_ms = 1_000
        self._leaving: set[str] = set()

    def play(self) -> CaseResult:
        """Plays the case in virtual time and judges it."""
        seed_globally(self._seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._play, clock, clock=clock)
        served = [each for upstream in self._upstreams for each in upstream.record.requests]
        found = judge(self._result.requests, served, self._disrupted_at, GRACE_S)
        self._result.violations.extend(found)
        self._result.trace.extend(describe_requests(self._result.requests, served))
        return self._result

    async def _play(self, clock: trio.testing.MockClock) -> None:
        options = self._options
        async with trio.open_nursery() as nursery:
            links = SimulatedLinks(nursery, self._rng, options.link_kbps * 125)
            with virtual_environment(links, self._rng, stalls_sends=options.stalls_sends):
                mesh = ServiceMesh(nursery)
                mesh.link_kbps = options.link_kbps
                mesh.put_document(_make_document(1, 1.0, options.idle_timeout_s))
                for index in range(options.daemons):
                    await self._start(mesh, links, f"daemon-{index + 1}")
                await mesh.wait_serving("shop", options.daemons)
                await self._drive(mesh, links, clock)
                nursery.cancel_scope.cancel()

    async def _drive(
        self, mesh: ServiceMesh, links: SimulatedLinks, clock: trio.testing.MockClock
    ) -> None:
        options = self._options
        async with trio.open_nursery() as nursery:
            for _ in range(options.callers):
                nursery.start_soon(self._call_forever, trio.current_time() + _PLAY_S)
            first_s = self._draw_time(_PLAY_S - _SETTLE_S)
            for index in range(self._rng.randint(1, options.daemons)):
                offset_s = self._rng.choice(_STOP_OFFSETS_S) if index else 0.0
                at_s = self._rng.choice((first_s + offset_s, self._draw_time(_PLAY_S)))
                nursery.start_soon(self._stop_one, mesh, links, at_s)
            if options.has_leaving_upstreams:
                nursery.start_soon(self._replace_upstream)
            nursery.start_soon(self._change_documents, mesh)
            if options.has_disruptions:
                for _ in range(self._rng.randint(1, 4)):
                    nursery.start_soon(self._disrupt, links)
            if options.stalls_loop:
                nursery.start_soon(self._stall_loop, clock)

    async def _start(
        self,
        mesh: ServiceMesh,
        links: SimulatedLinks,
        name: str,
        earlier: ServiceNode | None = None,
    ) -> None:
        LOCAL_DAEMON.set(name)
        if earlier is None:
            upstream = ServiceUpstream(HEADER_NAMES, f"upstream-of-{name}", f"{name}:80")
            self._upstreams.append(upstream)
            links.serve(upstream)
        else:
            upstream = earlier.upstream
        node = await mesh.start_node(name, earlier=earlier, upstream=upstream)
        links.names[node.platform.settings.listeners.daemons] = name
        self._runs.append(DaemonRun(node))
        self._note(f"{name} started")
        mesh._nursery.start_soon(self._announce_forever, node)

    async def _announce_forever(self, node: ServiceNode) -> None:
        while not node.ended.is_set():
            await trio.sleep(_ANNOUNCE_S)
            await self._announce(node)

    async def _announce(self, node: ServiceNode) -> None:
        if node.ended.is_set():
            return
        self._sequence += 1
        is_leaving = node.upstream.upstream_id in self._leaving
        try:
            await node.announce(
                sequence=self._sequence,
                born_ms=self._born_ms,
                phase=UpstreamPhase.LEAVING if is_leaving else UpstreamPhase.READY,
            )
        except* RuntimeError:
            # In a process, the announcement is handled by a task that ends with the daemon.
            await trio.sleep(_GRID_S)
            if not node.ended.is_set():
                raise

    def _draw_time(self, longest_s: float) -> float:
        return round(self._rng.random() * longest_s / _GRID_S) * _GRID_S

    def _note(self, text: str) -> None:
        self._result.trace.append(f"{trio.current_time():.4f} {text}")

    async def _replace_upstream(self) -> None:
        """Lets an upstream leave and another one take its place."""
        await trio.sleep(self._draw_time(_PLAY_S - _SETTLE_S))
        running = [run.node for run in self._runs if math.isinf(run.stopped_at)]
        if not running:
            return
        node = self._rng.choice(running)
        self._note(f"{node.upstream.upstream_id} leaves")
        self._leaving.add(node.upstream.upstream_id)
        await self._announce(node)
        await trio.sleep(self._draw_time(2.0))
        self._leaving.clear()
        self._born_ms += 1
        await self._announce(node)

    async def _stop_one(self, mesh: ServiceMesh, links: SimulatedLinks, at_s: float) -> None:
        """Stops a daemon, and perhaps starts it again."""
        await trio.sleep(at_s)
        running = [run for run in self._runs if math.isinf(run.stopped_at)]
        if not running:
            return
        run = self._rng.choice(running)
        node = run.node
        name = node.daemon.directory.local_member.name
        run.stopped_at = trio.current_time()
        if self._options.has_disruptions and self._rng.random() < 0.3:
            run.is_killed = True
            self._disrupted_at.append(run.stopped_at)
            self._note(f"{name} is killed")
            await node.kill()
        else:
            self._note(f"{name} is told to stop")
            node.stop()
            with trio.move_on_after(GRACE_S) as grace:
                await node.ended.wait()
            if grace.cancelled_caught:
                self._result.violations.append(Violation("GRACE", f"{name} has not ended"))
                await node.kill()
            self._note(f"{name} has ended")
        if self._rng.random() < 0.7:
            await trio.sleep(self._draw_time(1.0))
            await self._start(mesh, links, name, node)

    async def _change_documents(self, mesh: ServiceMesh) -> None:
        for version in range(2, self._rng.randint(2, 5)):
            await trio.sleep(self._draw_time(_PLAY_S / 2))
            factor = self._rng.choice((1.0, _SHORTER))
            mesh.put_document(_make_document(version, factor, self._options.idle_timeout_s))

    async def _disrupt(self, links: SimulatedLinks) -> None:
        await trio.sleep(self._draw_time(_PLAY_S))
        names = [f"daemon-{index + 1}" for index in range(self._options.daemons)]
        first, second = self._rng.sample(names, 2)
        kind = self._rng.choice(("break", "one way", "silence"))
        for_s = self._rng.choice((0.1, 0.5, 1.0, 3.0))
        self._note(f"{kind} {first} {second} {for_s}")
        self._disrupted_at.append(trio.current_time())
        if kind == "break":
            links.break_all(first, second)
            return
        links.silence(first, second, for_s)
        if kind == "silence":
            links.silence(second, first, for_s)
        await trio.sleep(for_s)
        self._disrupted_at.append(trio.current_time())

    async def _stall_loop(self, clock: trio.testing.MockClock) -> None:
        """Holds up all daemons now and then, as a machine without processor time does."""
        for _ in range(self._rng.randint(1, 5)):
            await trio.sleep(self._draw_time(_PLAY_S / 3))
            clock.jump(self._rng.choice((0.05, 0.25, 0.5)))

    async def _call_forever(self, until: float) -> None:
        connections: list[CallerConnection] = []
        moves_after_s = self._rng.choice((self._rng.uniform(0.3, 2.2), 2.2, 6.0))
        while trio.current_time() < until:
            await trio.sleep(self._draw_time(self._rng.choice((0.1, 0.5))))
            runs = [
                run
                for run in self._runs
                if not (run.is_killed or run.node.ended.is_set())
                and trio.current_time() < run.stopped_at + moves_after_s
            ]
            if not runs:
                continue
            run = self._rng.choice(runs)
            connection = await self._connect(run, connections)
            if connection is not None:
                await self._call(connection)
        for connection in connections:
            connection.close()

    async def _connect(
        self, run: DaemonRun, connections: list[CallerConnection]
    ) -> CallerConnection | None:
        for each in connections:
            if not each.is_reusable:
                each.close()
        connections[:] = [each for each in connections if each.is_open]
        kept = [each for each in connections if each.entry is run]
        if kept and self._rng.random() < 0.8:
            return self._rng.choice(kept)
        connection = await CallerConnection.open(run)
        if connection is not None:
            connections.append(connection)
        return connection

    async def _call(self, connection: CallerConnection) -> None:
        rng = self._rng
        count = rng.choice((1, 1, 1, 2, 4)) if self._options.pipelines else 1
        requests = [self._make_request(connection.entry) for _ in range(count)]
        self._result.requests.extend(requests)
        leaves = rng.random() < 0.1
        await connection.exchange(
            requests,
            leave_after_s=self._draw_time(1.0) if leaves else math.inf,
            read_after_s=rng.choice((0.0, 0.0, 0.0, 0.5)),
        )

    def _make_request(self, entry: DaemonRun) -> SentRequest:
        rng = self._rng
        prefixes = list(_ROUTES) if self._options.has_long_requests else list(_ROUTES)[:3]
        prefix = rng.choice(prefixes)
        is_read = prefix in _READS
        delays_ms = _LONG_DELAYS_MS if self._options.has_long_delays else _DELAYS_MS
        size, fault = rng.choice(_SIZES), ""
        asked_s = rng.choice((0.3, 1.0, 3.0, 12.0))
        if self._options.has_upstream_faults and rng.random() < 0.2:
            fault = rng.choice(_FAULTS)
        target = f"{prefix}?delay_ms={rng.choice(delays_ms)}&size={size}&fault={fault}"
        return SentRequest(
            self._make_id(entry),
            "GET" if is_read else "POST",
            target,
            b"" if is_read else b"y" * rng.choice(_BODIES),
            min(_ROUTES[prefix], asked_s),
            min(_ROUTES[prefix] * _SHORTER, asked_s),
            size,
            fault,
            tuple(rng.choice(((0.0,), (0.0,), (0.0, 0.0), (0.0, 0.05, 0.2)))),
        )

    def _make_id(self, entry: DaemonRun) -> str:
        """Makes the id of a request, at times one that the upstream beside its daemon calls."""
        own = f"r{next(self._numbers)}"
        arrived = entry.node.upstream.record.requests
        running = [each.request_id for each in arrived if math.isinf(each.worked_until)]
        if running and self._rng.random() < _NESTED_RATIO:
            return f"{self._rng.choice(running)}.{own}"
        return own


def _make_document(version: int, factor: float, idle_timeout_s: float) -> ServiceDocument:
    repeatable, once = Repeatability.IDEMPOTENT, Repeatability.AT_MOST_ONCE
    make = partial(make_route, target_latency_s=0.4, max_attempts=3)
    routes = [
        make(
            prefix=prefix,
            timeout_s=timeout_s * factor,
            repeatability=repeatable if prefix in _READS else once,
        )
        for prefix, timeout_s in _ROUTES.items()
    ]
    document = make_document(*routes, version=version)
    return replace(document, limits=RequestLimits(idle_timeout_s=idle_timeout_s))
