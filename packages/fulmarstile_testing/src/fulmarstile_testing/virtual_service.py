"""Load on a service with many upstreams, placed by daemons that learn from answers only.

Virtual time: each entry daemon has a `LeastWaitBalancer`, each upstream a `FairAdmission`. What
an entry knows of an upstream is what came with its last answer from there, so it is as old as
that answer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

from fulmarstile_calls.admission import AdmissionSettings, Admitted, FairAdmission, Refused
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.upstream_notices import UpstreamNotices
from fulmarstile_testing.builders.calls import make_ticket
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.virtual_time import VirtualTime
from fulmarstile_wire.services import HopOutcome, UpstreamNotice
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.admission import AdmissionEffect
    from fulmarstile_wire.services import Member

_MAX_LATENCY_US: Final = 60_000_000
_QUEUE_PER_SLOT: Final = 4
_SERVICE_GAIN: Final = 0.05
_MAX_ATTEMPTS: Final = 3
_PRIORITY: Final = 2
_TICK_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """A service and the requests for it."""

    upstreams: int = 100
    slots: int = 5
    service_s: float = 0.4
    """Mean service time at an upstream of speed 1, in seconds."""
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    target_s: float = 1.5
    """Target latency in seconds."""
    zones: int = 5

    @property
    def capacity_per_s(self) -> float:
        """Requests a second that all upstreams together can run."""
        speed = sum(self.speeds) / len(self.speeds)
        return self.upstreams * self.slots * speed / self.service_s


@dataclass(slots=True)
class PlacingResult:
    """What callers got."""

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    crossings: int = 0
    """Attempts that were sent to another availability zone."""
    p99_s: float = 0.0
    in_target_by_zone: dict[str, int] = field(default_factory=dict)
    """Requests answered in time, by the zone of the caller."""
    asked_by_zone: dict[str, int] = field(default_factory=dict)


class _Request:
    __slots__ = ("arrived_at", "entry", "member", "started_at", "tried")

    def __init__(self, entry: int, arrived_at: float) -> None:
        self.entry = entry
        self.arrived_at = arrived_at
        self.started_at = 0.0
        self.tried: set[str] = set()
        self.member: Member | None = None


class VirtualService:
    """Entry daemons and upstreams of one service.

    Args:
        shape: The service.
        settings: Settings of the balancers.
        entries: Daemons that callers send to.
        seed: Seed of all randomness.
    """

    def __init__(
        self, shape: ServiceShape, settings: BalancingSettings, entries: int, seed: int
    ) -> None:
        self.time = VirtualTime()
        self.result = PlacingResult()
        self._shape = shape
        self._random = random.Random(seed)
        zones = [f"zone-{number}" for number in range(shape.zones)]
        self._members = tuple(
            make_member(
                f"daemon-{number}", availability_zone=zones[number % len(zones)], slots=shape.slots
            )
            for number in range(shape.upstreams)
        )
        limits = AdmissionSettings(shape.slots, shape.slots * _QUEUE_PER_SLOT, 1000)
        self._admissions = {member.name: FairAdmission(limits) for member in self._members}
        speeds = shape.speeds
        self._speeds = {
            member.name: speeds[number // len(zones) % len(speeds)]
            for number, member in enumerate(self._members)
        }
        self._services_s = dict.fromkeys(self._admissions, 0.0)
        self._zones = [zones[number % len(zones)] for number in range(entries)]
        self._notices = [UpstreamNotices() for _ in self._zones]
        self._balancers = [
            LeastWaitBalancer(
                settings, zone, random.Random(seed * 1000 + number), self._notices[number]
            )
            for number, zone in enumerate(self._zones)
        ]
        self._rate_limits: dict[str, float] = {}
        self.starts: dict[str, list[float]] = {name: [] for name in self._admissions}
        """Times at which requests started at each upstream, by name of its daemon, in seconds."""
        self._requests: dict[int, _Request] = {}
        self._next_id = 0
        self._latency = HdrHistogram(1, _MAX_LATENCY_US, 3)

    def limit_upstreams(self, count: int, rate_limit: float) -> tuple[str, ...]:
        """Lets some upstreams name a rate limit in their responses from now on.

        Args:
            count: Number of upstreams.
            rate_limit: Requests per second of each.

        Returns:
            Names of the daemons beside them.
        """
        names = tuple(member.name for member in self._members[:count])
        for name in names:
            self._rate_limits[name] = rate_limit
            self._apply(name, self._admissions[name].set_rate_limit(rate_limit, self.time.now))
            self._tick(name)
        return names

    def _tick(self, name: str) -> None:
        self._apply(name, self._admissions[name].on_tick(self.time.now))
        self.time.call_later(_TICK_S, lambda: self._tick(name))

    def run(self, load: float, duration_s: float) -> PlacingResult:
        """Plays requests that arrive at random.

        Args:
            load: Requests offered, as a part of what the service can run.
            duration_s: Duration in seconds.

        Returns:
            What callers got.
        """
        rate_per_s = load * self._shape.capacity_per_s
        at = 0.0
        while at < duration_s:
            at += self._random.expovariate(rate_per_s)
            self.time.call_at(at, self._arrive)
        self.time.run_until(duration_s + 10 * self._shape.target_s)
        self.result.p99_s = self._latency.get_value_at_percentile(99) / 1e6
        return self.result

    def _arrive(self) -> None:
        self.result.asked += 1
        self._next_id += 1
        request = _Request(self._choose_entry(), self.time.now)
        zone = self._zones[request.entry]
        self.result.asked_by_zone[zone] = self.result.asked_by_zone.get(zone, 0) + 1
        self._requests[self._next_id] = request
        self._send(self._next_id, request)

    def _choose_entry(self) -> int:
        """Returns the number of the entry daemon that gets the next request."""
        return self._random.randrange(len(self._balancers))

    def _choose_member(self, entry: int, tried: frozenset[str]) -> Member | None:
        return self._balancers[entry].choose(
            self._members, 0, self.time.now, tried, _PRIORITY, self._shape.target_s
        )

    def _send(self, number: int, request: _Request) -> None:
        now = self.time.now
        balancer = self._balancers[request.entry]
        member = None
        if len(request.tried) < _MAX_ATTEMPTS:
            member = self._choose_member(request.entry, frozenset(request.tried))
        if member is None:
            del self._requests[number]
            self.result.refused += 1
            return
        request.member = member
        request.tried.add(member.name)
        self.result.crossings += member.availability_zone != self._zones[request.entry]
        balancer.on_sent(member, now)
        useful_until = request.arrived_at + 0.55 * self._shape.target_s
        ticket = make_ticket(number, deadline_s=useful_until)
        self._apply(member.name, self._admissions[member.name].on_arrival(ticket, now))

    def _apply(self, name: str, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            request = self._requests[effect.ticket_id]
            if isinstance(effect, Admitted):
                request.started_at = self.time.now
                self.starts[name].append(self.time.now)
                mean_s = self._shape.service_s / self._speeds[name]
                service_s = self._random.gammavariate(4.0, mean_s / 4.0)
                self.time.call_later(service_s, lambda n=effect.ticket_id: self._finish(n))
            elif isinstance(effect, Refused):
                refusal = effect.refusal
                outcome = self._describe(
                    name, refusal.reason.value, int(refusal.retry_after_s * 1000)
                )
                self._tell(request, outcome)
                self._send(effect.ticket_id, request)

    def _describe(self, name: str, reason: str = "", retry_after_ms: int = 0) -> HopOutcome:
        admission = self._admissions[name]
        return HopOutcome(
            Verdict.NOT_RUN if reason else Verdict.RAN,
            reason,
            retry_after_ms,
            reached_upstream=not reason,
            running=admission.running,
            queued=admission.queued,
            slots=self._shape.slots,
            service_ms=self._services_s[name] * 1000,
            notice=self._make_notice(name),
        )

    def _make_notice(self, name: str) -> UpstreamNotice | None:
        if name not in self._rate_limits:
            return None
        member = next(member for member in self._members if member.name == name)
        return UpstreamNotice(
            member.upstream_id, member.upstream_born_ms, 1, self._rate_limits[name]
        )

    def _tell(self, request: _Request, outcome: HopOutcome) -> None:
        if request.member is not None:
            if outcome.notice is not None:
                self._notices[request.entry].merge(outcome.notice)
            self._balancers[request.entry].on_ended(
                request.member, outcome, False, self.time.now, _PRIORITY
            )

    def _finish(self, number: int) -> None:
        request = self._requests.pop(number)
        now = self.time.now
        if request.member is None:
            return
        name = request.member.name
        elapsed_s = now - request.started_at
        known_s = self._services_s[name] or elapsed_s
        self._services_s[name] = known_s + _SERVICE_GAIN * (elapsed_s - known_s)
        effects = self._admissions[name].on_finished(number, now)
        self._tell(request, self._describe(name))
        latency_s = now - request.arrived_at
        self._latency.record_value(max(1, int(latency_s * 1e6)))
        if latency_s <= self._shape.target_s:
            self.result.in_target += 1
            zone = self._zones[request.entry]
            self.result.in_target_by_zone[zone] = self.result.in_target_by_zone.get(zone, 0) + 1
        else:
            self.result.late += 1
        self._apply(name, effects)
