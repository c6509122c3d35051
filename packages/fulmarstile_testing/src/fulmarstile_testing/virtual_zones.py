"""Load on a service whose demand differs between availability zones, in virtual time.

Extends `VirtualService`: entry daemons see the present load of some upstreams before each
request, and decide with `ZoneSpillover` whether it leaves the zone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.zone_spillover import ZoneSpillover
from fulmarstile_testing.virtual_service import VirtualService
from fulmarstile_wire.loads import LoadReply

if TYPE_CHECKING:

    from fulmarstile_testing.virtual_service import ServiceShape
    from fulmarstile_wire.services import Member

_COMPARED: Final = 3
_ZONE_INTERVAL_S: Final = 0.5
_PRIORITY: Final = 2

Demand = "Callable[[str, float], float]"
"""Returns the relative demand of a zone at a time in seconds."""


class VirtualZones(VirtualService):
    """Entry daemons and upstreams of one service in several zones.

    Args:
        shape: The service.
        entries: Daemons that callers send to.
        seed: Seed of all randomness.
        demand: Relative demand of each zone.
        spills: Whether `ZoneSpillover` decides; otherwise the balancer alone does.
    """

    def __init__(
        self, shape: ServiceShape, entries: int, seed: int, demand: Demand, *, spills: bool = True
    ) -> None:
        super().__init__(shape, BalancingSettings(), entries, seed)
        self._demand = demand
        self._spills = spills
        self._members_by_zone: dict[str, list[Member]] = {}
        for member in self._members:
            self._members_by_zone.setdefault(member.availability_zone, []).append(member)
        self._spillovers = [ZoneSpillover(zone) for zone in self._zones]
        self._asked_at = [-1.0] * entries
        self.lost_zone = ""
        """Zone whose upstreams can't be reached any more."""
        self.shares: list[tuple[float, str, float]] = []
        """Time, zone of an entry daemon and its total share that leaves, for each request."""

    def _choose_entry(self) -> int:
        zones = sorted(self._members_by_zone)
        weights = [self._demand(zone, self.time.now) for zone in zones]
        zone = self._random.choices(zones, weights)[0]
        return self._random.choice(
            [number for number, entry_zone in enumerate(self._zones) if entry_zone == zone]
        )

    def _choose_member(self, entry: int, tried: frozenset[str]) -> Member | None:
        if not self._spills:
            return super()._choose_member(entry, tried)
        now = self.time.now
        spillover = self._spillovers[entry]
        balancer = self._balancers[entry]
        home = self._zones[entry]
        others = [zone for zone in self._members_by_zone if zone not in (home, self.lost_zone)]
        penalty_s = balancer.cross_zone_penalty_s(0, self._shape.target_s)
        self._see_zone(entry, home, frozenset(), _COMPARED)
        if spillover.may_leave(penalty_s) and now - self._asked_at[entry] >= _ZONE_INTERVAL_S:
            self._asked_at[entry] = now
            for zone in others:
                self._see_zone(entry, zone, frozenset(), 1)
        spillover.adjust(others, penalty_s, now)
        self.shares.append((now, home, sum(spillover.shares().values())))
        drawn = self._see_zone(entry, spillover.choose(self._random), tried, _COMPARED)
        chosen = balancer.choose_among(drawn, 0, now, _PRIORITY) if drawn else None
        return chosen or super()._choose_member(entry, tried)

    def _see_zone(self, entry: int, zone: str, tried: frozenset[str], count: int) -> list[Member]:
        """Lets an entry daemon see the present load of some upstreams of a zone."""
        allowed = [member for member in self._members_by_zone[zone] if member.name not in tried]
        drawn = self._random.sample(allowed, min(count, len(allowed)))
        balancer: LeastWaitBalancer = self._balancers[entry]
        loads = []
        for member in drawn:
            admission = self._admissions[member.name]
            service_ms = self._services_s[member.name] * 1000
            slots = self._shape.slots
            reply = LoadReply(True, admission.running, admission.queued, slots, service_ms)
            balancer.on_load(member, reply, self.time.now)
            loads.append(reply)
        if loads:
            load = sum(each.running + each.queued for each in loads) / self._shape.slots
            service_s = sum(each.service_ms for each in loads) / 1000
            self._spillovers[entry].on_load(
                zone, load / len(loads), service_s / len(loads), self.time.now
            )
        return drawn
