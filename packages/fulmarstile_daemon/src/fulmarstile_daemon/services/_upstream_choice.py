"""Choice of the upstream of an attempt, with present loads where upstreams report them."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services.events import ZoneShareChanged
from fulmarstile_services.candidates import sample_members
from fulmarstile_services.zone_spillover import ZoneSpillover
from fulmarstile_wire.loads import LoadReply, LoadRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.candidates import Candidates
    from fulmarstile_wire.services import Member

_COMPARED: Final = 3
"""Upstreams whose loads are compared for one request."""
_WAIT_TARGET_RATIO: Final = 0.04
"""Part of its target latency that a request waits for loads at most."""
_MAX_WAIT_S: Final = 0.03
_ZONE_INTERVAL_S: Final = 0.5
"""Interval at which the load of another availability zone is asked for, in seconds."""
_ZONE_TIMEOUT_S: Final = 0.5
"""Timeout of such a question, in seconds."""
_LOGGED_STEP: Final = 0.1
"""Change of a zone's share from which it is logged."""


class UpstreamChooser:
    """Chooses upstreams.

    Where a service's upstreams report how fast their VMs are, a load is of use for milliseconds
    only. So some of them are asked for their present load before each request is sent, and the
    part of the requests that leaves the availability zone follows the loads of the zones.

    Args:
        balancer: Compares upstreams.
        upstream: Upstream on this VM.
        links: Connections to other daemons.
        local_member: Record of this daemon.
        random: Source of randomness.
        log: Log of the daemon.
    """

    def __init__(
        self,
        balancer: LeastWaitBalancer,
        upstream: LocalUpstream,
        links: DaemonLinks,
        local_member: Member,
        random: random.Random,
        log: EventLog,
    ) -> None:
        self._balancer = balancer
        self._upstream = upstream
        self._links = links
        self._local_name = local_member.name
        self._availability_zone = local_member.availability_zone
        self._random = random
        self._log = log
        self._services: dict[str, _ServiceZones] = {}
        self._nursery: trio.Nursery | None = None
        self.load_requests = 0
        """Loads that were asked for."""

    async def run(self) -> None:
        """Asks for the loads of other availability zones when they are needed, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    def zone_shares(self) -> dict[str, dict[str, float]]:
        """Returns the share of requests that goes to each other zone, by service."""
        return {name: zones.spillover.shares() for name, zones in self._services.items()}

    async def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        exclude: frozenset[str],
        priority: int,
        target_s: float,
    ) -> Member | None:
        """Chooses the upstream that a request is sent to; see `LeastWaitBalancer.choose`.

        Args:
            members: Daemons beside the upstreams of the service; the same tuple object until any
                of them changes.
            size: Bytes of the request's body.
            exclude: Names of daemons that the request was sent to before.
            priority: Priority of the request; 0 is the most urgent.
            target_s: Target latency of the request in seconds.

        Returns:
            The daemon, or None if there is no usable one.
        """
        if members and self._balancer.reports_load(members[0].service):
            member = await self._choose_by_present_load(members, size, exclude, priority, target_s)
            if member is not None:
                return member
        return self._balancer.choose(
            members, size, trio.current_time(), exclude, priority, target_s
        )

    async def _choose_by_present_load(
        self,
        members: tuple[Member, ...],
        size: int,
        exclude: frozenset[str],
        priority: int,
        target_s: float,
    ) -> Member | None:
        service = members[0].service
        zones = self._services.setdefault(service, _ServiceZones(self._availability_zone))
        candidates = self._balancer.find_candidates(members)
        penalty_s = self._balancer.cross_zone_penalty_s(size, target_s)
        zone = self._choose_zone(service, zones, candidates, penalty_s)
        drawn = self._draw(candidates.by_zone.get(zone, []), exclude)
        asked = list(drawn)
        if zone != self._availability_zone:
            # Without requests that stay, the load of the own zone would become unknown.
            asked += self._draw(candidates.local, frozenset(), count=1)
        if not drawn:
            return None
        wait_s = min(_MAX_WAIT_S, _WAIT_TARGET_RATIO * target_s)
        loads = await self._ask_all(service, asked, wait_s)
        zones.on_loads(loads, trio.current_time())
        known = [member for member in drawn if member in loads and loads[member].is_serving]
        return self._balancer.choose_among(known or drawn, size, trio.current_time(), priority)

    def _choose_zone(
        self, service: str, zones: _ServiceZones, candidates: Candidates, penalty_s: float
    ) -> str:
        now = trio.current_time()
        others = [name for name in candidates.by_zone if name != self._availability_zone]
        spillover = zones.spillover
        spillover.adjust(others, penalty_s, now)
        self._log_shares(service, zones)
        if spillover.may_leave(penalty_s):
            self._ask_other_zones(service, zones, candidates, others, now)
        return spillover.choose(self._random)

    def _ask_other_zones(
        self,
        service: str,
        zones: _ServiceZones,
        candidates: Candidates,
        others: Sequence[str],
        now: float,
    ) -> None:
        for name in others:
            if (
                self._nursery is None
                or now - zones.asked_at.get(name, -math.inf) < _ZONE_INTERVAL_S
            ):
                continue
            zones.asked_at[name] = now
            member = self._random.choice(candidates.by_zone[name])
            self._nursery.start_soon(self._learn_load, service, zones, member)

    async def _learn_load(self, service: str, zones: _ServiceZones, member: Member) -> None:
        loads = await self._ask_all(service, [member], _ZONE_TIMEOUT_S)
        zones.on_loads(loads, trio.current_time())

    def _draw(
        self, members: list[Member], exclude: frozenset[str], count: int = _COMPARED
    ) -> list[Member]:
        sampled = sample_members(members, count + len(exclude), self._random)
        allowed = [member for member in sampled if member.name not in exclude]
        return self._random.sample(allowed, min(count, len(allowed)))

    async def _ask_all(
        self, service: str, members: Sequence[Member], timeout_s: float
    ) -> dict[Member, LoadReply]:
        """Asks daemons for their loads; those that don't reply in time are left out."""
        loads: dict[Member, LoadReply] = {}
        request = LoadRequest(service)
        async with trio.open_nursery() as nursery:
            for member in members:
                if member.name == self._local_name:
                    loads[member] = self._upstream.on_load_request(request)
                else:
                    nursery.start_soon(partial(self._ask, member, request, timeout_s, loads))
        now = trio.current_time()
        for member, load in loads.items():
            if load.is_serving:
                self._balancer.on_load(member, load, now)
        return loads

    async def _ask(
        self, member: Member, request: LoadRequest, timeout_s: float, loads: dict[Member, LoadReply]
    ) -> None:
        self.load_requests += 1
        try:
            reply = await self._links.query(member, request, timeout_s, replace_silent=False)
        except DaemonUnreachableError:
            # Choosing goes on without this load; requests and probes find out why it is missing.
            return
        if isinstance(reply, LoadReply):
            loads[member] = reply

    def _log_shares(self, service: str, zones: _ServiceZones) -> None:
        shares = zones.spillover.shares()
        for name in zones.logged.keys() | shares.keys():
            share = shares.get(name, 0.0)
            known = zones.logged.get(name, 0.0)
            if abs(share - known) < _LOGGED_STEP and (share > 0.0 or known == 0.0):
                continue
            zones.logged[name] = share
            self._log.write(
                ZoneShareChanged(
                    service=service,
                    availability_zone=name,
                    share=round(share, 2),
                    local_load=round(zones.spillover.load(self._availability_zone), 2),
                    load=round(zones.spillover.load(name), 2),
                )
            )


class _ServiceZones:
    """Loads of the availability zones of one service."""

    def __init__(self, availability_zone: str) -> None:
        self.spillover = ZoneSpillover(availability_zone)
        self.asked_at: dict[str, float] = {}
        """Times at which other zones were last asked, by name."""
        self.logged: dict[str, float] = {}
        """Shares of other zones when they were last logged, by name."""

    def on_loads(self, loads: dict[Member, LoadReply], now: float) -> None:
        """Records the mean load of the upstreams of each zone that replied."""
        by_zone: dict[str, list[LoadReply]] = {}
        for member, load in loads.items():
            if load.is_serving and load.slots:
                by_zone.setdefault(member.availability_zone, []).append(load)
        for zone, replies in by_zone.items():
            load = sum((reply.running + reply.queued) / reply.slots for reply in replies)
            service_s = sum(reply.service_ms * (reply.slowdown or 1.0) / 1000 for reply in replies)
            self.spillover.on_load(zone, load / len(replies), service_s / len(replies), now)
