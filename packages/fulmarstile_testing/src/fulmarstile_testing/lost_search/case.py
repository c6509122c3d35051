"""One seeded case: daemons that stop and start while callers send requests."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass, field
from typing import Final

import trio
import trio.testing

from fulmarstile_services.upstream_registry import UpstreamPhase
from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES
from fulmarstile_testing.lost_search.callers import CallerConnection, SentRequest
from fulmarstile_testing.lost_search.daemon_run import DaemonRun
from fulmarstile_testing.lost_search.environment import (
    LOCAL_DAEMON,
    SimulatedLinks,
    seed_globally,
    virtual_environment,
)
from fulmarstile_testing.lost_search.judge import Violation, describe_requests, judge
from fulmarstile_testing.lost_search.options import CaseOptions
from fulmarstile_testing.lost_search.request_draw import LATE_S, RequestDraw
from fulmarstile_testing.lost_search.routes import ROUTES, make_case_document
from fulmarstile_testing.service_upstream import ServiceUpstream

GRACE_S: Final = 6.0
_PLAY_S: Final = 8.0
"""Time in which callers send requests, in seconds."""
_SETTLE_S: Final = 3.0
"""Time before the first stop, in seconds."""
_GRID_S: Final = 0.05
"""Times are multiples of it, so that events coincide."""
_ANNOUNCE_S: Final = 1.5
_CONFIG_APPLY_S: Final = 2.0
"""Longest time for which a daemon may still apply an earlier version, in seconds."""
_STOP_OFFSETS_S: Final = (0.0, 0.0, 0.05, 0.4, 1.0, 1.6, 2.0, 2.4, 2.8, 3.6, 5.2)
"""Times between stops, among them those of the phases of a shutdown, in seconds."""
_FACTORS: Final = (1.0, 0.6)
"""Factors that versions of the document apply to the timeouts."""
_SHORT_FACTORS: Final = (1.0, 0.6, 0.3)
_ROW_GAPS_S: Final = (0.05, 0.3, 0.6, 1.0)
"""Times between the stops of daemons that stop one after the other, in seconds."""
_SILENCES_S: Final = (1.0, 2.0, 3.0)
_SILENCE_LEADS_S: Final = (0.0, 0.05, 0.5)
"""Times for which a link has been silent when a daemon is told to stop, in seconds."""


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
        only_stops: Whether all daemons stop in a row beside long requests, without other faults.
    """

    def __init__(self, seed: int, *, only_stops: bool = False) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        options = CaseOptions.draw(self._rng)
        self._options = options.beside_stops() if only_stops else options
        self._result = CaseResult(self._options)
        self._runs: list[DaemonRun] = []
        self._upstreams: list[ServiceUpstream] = []
        self._disrupted_at: list[float] = []
        self._numbers = itertools.count()
        self._requests = RequestDraw(self._rng, self._options, self._numbers)
        self._sequence = 1
        self._factors_from: list[tuple[float, float]] = [(0.0, 1.0)]
        """Times of the versions of the document, in seconds, and their factors."""
        self._born_ms: dict[str, int] = {}
        self._leaving: set[str] = set()

    def play(self) -> CaseResult:
        """Plays the case in virtual time and judges it."""
        seed_globally(self._seed)
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._play, clock, clock=clock)
        served = [each for upstream in self._upstreams for each in upstream.record.requests]
        for request in self._result.requests:
            self._apply_timeout(request)
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
                mesh.put_document(make_case_document(1, 1.0, options.idle_timeout_s))
                for index in range(options.daemons):
                    await self._start(mesh, links, f"daemon-{index + 1}")
                await mesh.wait_serving("shop", options.daemons - options.forwards_all)
                await self._drive(mesh, links, clock)
                nursery.cancel_scope.cancel()

    async def _drive(
        self, mesh: ServiceMesh, links: SimulatedLinks, clock: trio.testing.MockClock
    ) -> None:
        options = self._options
        async with trio.open_nursery() as nursery:
            for _ in range(options.callers):
                nursery.start_soon(self._call_forever, trio.current_time() + _PLAY_S)
            for at_s in self._draw_stops():
                nursery.start_soon(self._stop_one, mesh, links, at_s)
            if options.has_leaving_upstreams:
                for _ in range(self._rng.randint(1, 3)):
                    nursery.start_soon(self._replace_upstream, links)
            nursery.start_soon(self._change_documents, mesh)
            if options.has_disruptions:
                for _ in range(self._rng.randint(1, 4)):
                    nursery.start_soon(self._disrupt, links)
            if options.stalls_loop:
                nursery.start_soon(self._stall_loop, clock)

    def _draw_stops(self) -> list[float]:
        first_s = self._draw_time(_PLAY_S - _SETTLE_S)
        if self._options.stops_in_a_row:
            gap_s = self._rng.choice(_ROW_GAPS_S)
            return [first_s + index * gap_s for index in range(self._options.daemons)]
        stops = []
        for index in range(self._rng.randint(1, self._options.daemons)):
            offset_s = self._rng.choice(_STOP_OFFSETS_S) if index else 0.0
            stops.append(self._rng.choice((first_s + offset_s, self._draw_time(_PLAY_S))))
        return stops

    async def _start(
        self,
        mesh: ServiceMesh,
        links: SimulatedLinks,
        name: str,
        earlier: ServiceNode | None = None,
    ) -> DaemonRun:
        LOCAL_DAEMON.set(name)
        if earlier is None:
            upstream = self._serve_upstream(links, f"upstream-of-{name}", f"{name}:80")
        else:
            upstream = earlier.upstream
        service = "stock" if self._options.forwards_all and name == "daemon-1" else "shop"
        node = await mesh.start_node(name, service=service, earlier=earlier, upstream=upstream)
        links.names[node.platform.settings.listeners.daemons] = name
        run = DaemonRun(node)
        self._runs.append(run)
        self._note(f"{name} started")
        mesh._nursery.start_soon(self._announce_forever, node)
        return run

    def _serve_upstream(
        self, links: SimulatedLinks, upstream_id: str, address: str
    ) -> ServiceUpstream:
        upstream = ServiceUpstream(HEADER_NAMES, upstream_id, address)
        self._upstreams.append(upstream)
        links.serve(upstream)
        return upstream

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
                service=node.platform.settings.service,
                sequence=self._sequence,
                born_ms=self._born_ms.get(node.upstream.address, 1_000),
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

    async def _replace_upstream(self, links: SimulatedLinks) -> None:
        """Lets an upstream leave and another one take its place and address."""
        await trio.sleep(self._draw_time(_PLAY_S - _SETTLE_S))
        running = [run.node for run in self._runs if math.isinf(run.stopped_at)]
        if not running:
            return
        node = self._rng.choice(running)
        upstream_id, address = node.upstream.upstream_id, node.upstream.address
        if self._rng.random() < 0.7:
            self._note(f"{upstream_id} leaves")
            self._leaving.add(upstream_id)
            await self._announce(node)
            await trio.sleep(self._draw_time(2.0))
            self._leaving.discard(upstream_id)
        if self._rng.random() < 0.6:
            # What the earlier one works on, it still finishes.
            upstream_id = f"upstream-{next(self._numbers)}"
            node.upstream = self._serve_upstream(links, upstream_id, address)
        self._note(f"{upstream_id} takes the place")
        self._born_ms[address] = self._born_ms.get(address, 1_000) + 1
        await self._announce(node)

    async def _stop_one(self, mesh: ServiceMesh, links: SimulatedLinks, at_s: float) -> None:
        """Stops a daemon, and perhaps starts it again."""
        await trio.sleep(at_s)
        running = [run for run in self._runs if math.isinf(run.stopped_at)]
        if not running:
            return
        run = self._rng.choice(running)
        await self._stop(mesh, links, run)
        if not self._options.stops_again and self._rng.random() < 0.3:
            return
        await trio.sleep(self._draw_time(1.0))
        run = await self._start(mesh, links, run.name, run.node)
        if self._options.stops_again:
            await trio.sleep(self._draw_time(1.5))
            if math.isinf(run.stopped_at):
                await self._stop(mesh, links, run)

    async def _stop(self, mesh: ServiceMesh, links: SimulatedLinks, run: DaemonRun) -> None:
        run.stopped_at = trio.current_time()
        if self._options.has_disruptions and self._rng.random() < 0.3:
            run.is_killed = True
            self._disrupted_at.append(run.stopped_at)
            self._note(f"{run.name} is killed")
            await run.node.kill()
            return
        if self._options.has_silent_stops:
            mesh._nursery.start_soon(self._silence, links, run.name, self._rng.choice(_SILENCES_S))
            await trio.sleep(self._rng.choice(_SILENCE_LEADS_S))
            run.stopped_at = trio.current_time()
        self._note(f"{run.name} is told to stop")
        run.node.stop()
        with trio.move_on_after(GRACE_S) as grace:
            await run.node.ended.wait()
        if grace.cancelled_caught:
            self._result.violations.append(Violation("GRACE", f"{run.name} has not ended"))
            await run.node.kill()
        self._note(f"{run.name} has ended")

    async def _change_documents(self, mesh: ServiceMesh) -> None:
        changes_routes = self._options.changes_routes
        for version in range(2, self._rng.randint(2, 8 if changes_routes else 5)):
            await trio.sleep(self._draw_time(_PLAY_S / (4 if changes_routes else 2)))
            factor = self._rng.choice(_SHORT_FACTORS if changes_routes else _FACTORS)
            self._factors_from.append((trio.current_time(), factor))
            removed = self._rng.choice(list(ROUTES)) if changes_routes else ""
            self._note(f"version {version}: factor {factor}, without {removed or 'nothing'}")
            idle_timeout_s = self._options.idle_timeout_s
            mesh.put_document(make_case_document(version, factor, idle_timeout_s, removed))

    def _apply_timeout(self, request: SentRequest) -> None:
        """Applies the shortest timeout that a daemon may have had for a request."""
        # A request that was never sent ends with its connection.
        oldest_at = min(request.started_at, request.ended_at) - _CONFIG_APPLY_S
        ages = [at for at, _ in self._factors_from if at <= oldest_at]
        factors = [
            factor
            for at, factor in self._factors_from
            if max(ages, default=0.0) <= at <= request.ended_at
        ]
        timeout_s = next(s for prefix, s in ROUTES.items() if request.target.startswith(prefix))
        request.wait_s = min(request.asked_s, timeout_s * min(factors))

    def _draw_other(self, name: str) -> str:
        names = [f"daemon-{index + 1}" for index in range(self._options.daemons)]
        names.remove(name)
        return self._rng.choice(names)

    async def _disrupt(self, links: SimulatedLinks) -> None:
        await trio.sleep(self._draw_time(_PLAY_S))
        name = f"daemon-{self._rng.randint(1, self._options.daemons)}"
        if self._rng.random() < 2 / 3:
            await self._silence(links, name, self._rng.choice((0.1, 0.5, 1.0, 3.0)))
            return
        other = self._draw_other(name)
        self._note(f"break {name} {other}")
        self._disrupted_at.append(trio.current_time())
        links.break_all(name, other)

    async def _silence(self, links: SimulatedLinks, name: str, for_s: float) -> None:
        """Holds back all bytes between two daemons, or those in one direction."""
        first, second = self._rng.sample((name, self._draw_other(name)), 2)
        both_ways = self._rng.random() < 0.5
        self._note(f"silence {'both ways' if both_ways else 'one way'} {first} {second} {for_s}")
        self._disrupted_at.append(trio.current_time())
        links.silence(first, second, for_s)
        if both_ways:
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
        if self._options.has_late_requests:
            moves_after_s = LATE_S[1]
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
            if self._options.has_late_requests:
                runs = [run for run in runs if self._requests.is_late(run)] or runs
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
        requests = [self._requests.make(connection.entry) for _ in range(count)]
        self._result.requests.extend(requests)
        leaves = rng.random() < 0.1
        await connection.exchange(
            requests,
            leave_after_s=self._draw_time(1.0) if leaves else math.inf,
            read_after_s=rng.choice((0.0, 0.0, 0.0, 0.5)),
        )
