"""Balancer that compares two random upstreams by its own observations."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_calls.balancing._group import Group
from fulmarstile_calls.balancing._observation import ERROR_PENALTY, Observation
from fulmarstile_calls.balancing.balancer import NO_EXCLUSIONS

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from fulmarstile_calls.balancing._group import WeightedSet
    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of `TwoChoicesBalancer`."""

    latency_half_life_s: float = 5.0
    """Age at which an observation counts half, in seconds."""
    eject_after_failures: int = 5
    """Failures in a row that set an upstream aside."""
    eject_above_error_rate: float = 0.6
    """Share of failed calls that sets an upstream aside."""
    ejection_s: float = 5.0
    """Duration of the first ejection, in seconds; doubled on each repeat."""
    max_ejection_s: float = 60.0
    """Longest ejection, in seconds."""
    max_ejected_fraction: float = 0.5
    """Largest part of a service's upstreams that may be set aside at the same time."""
    refusal_hold_s: float = 0.25
    """Time for which an upstream that refused for lack of room counts as full, in seconds."""


class TwoChoicesBalancer:
    """Draws two upstreams and takes the one with the shorter expected wait.

    Upstreams are drawn by slots and speed. Those of the own availability zone come first
    while they have room. Nothing that an upstream says about its health or load counts.

    Args:
        settings: Settings.
        availability_zone: Availability zone of this daemon.
        random: Source of randomness.
    """

    def __init__(
        self, settings: BalancerSettings, availability_zone: str, random: random.Random
    ) -> None:
        self._settings = settings
        self._half_life_s = settings.latency_half_life_s
        self._availability_zone = availability_zone
        self._random = random
        self._observations: dict[str, Observation] = {}
        self._services: dict[str, list[Observation]] = {}
        self._groups: dict[tuple[str, int], Group] = {}

    def count_ejected(self, service: str, now: float) -> int:
        """Returns how many upstreams of a service are set aside."""
        return sum(1 for member in self._services.get(service, ()) if member.is_ejected(now))

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """See `Balancer.replace_endpoints`."""
        observations: dict[str, Observation] = {}
        services: dict[str, list[Observation]] = {}
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.daemon_id):
            known = self._observations.get(endpoint.daemon_id)
            if known is None or known.endpoint.service != endpoint.service:
                known = Observation(endpoint, now)
            known.endpoint = endpoint
            observations[endpoint.daemon_id] = known
            services.setdefault(endpoint.service, []).append(known)
        self._observations = observations
        self._services = services
        self._groups.clear()

    def choose(
        self, pool: Pool, now: float, exclude: frozenset[str] = NO_EXCLUSIONS
    ) -> UpstreamEndpoint | None:
        """See `Balancer.choose`."""
        group = self._find_group(pool)
        if group is None:
            return None
        group.refresh(now, self._half_life_s)
        if pool.prefer_availability_zone:
            best = self._choose_from(group.nearby, group, now, exclude)
            if best is not None and best.has_room(now) and not best.is_slowed():
                return best.endpoint
        best = self._choose_from(group.everywhere, group, now, exclude)
        if best is None or not best.has_room(now):
            best = self._search(group, now, exclude)
        return best.endpoint if best is not None else None

    def on_started(self, daemon_id: str, now: float) -> None:
        """See `Balancer.on_started`."""
        member = self._observations.get(daemon_id)
        if member is not None:
            member.in_flight += 1

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """See `Balancer.on_finished`."""
        member = self._observations.get(daemon_id)
        if member is None:
            return
        if member.in_flight > 0:
            member.in_flight -= 1
        if sample.refused:
            member.full_until = now + self._settings.refusal_hold_s
        elif sample.failed:
            member.record_failure()
            self._eject_if_failing(member, now)
        else:
            member.record_success(sample, now, self._half_life_s)

    def _find_group(self, pool: Pool) -> Group | None:
        key = (pool.service, pool.slow_start_ms)
        group = self._groups.get(key)
        if group is not None:
            return group
        members = self._services.get(pool.service)
        if not members:
            return None
        group = Group(members, self._availability_zone, pool.slow_start_ms / 1000)
        self._groups[key] = group
        return group

    def _choose_from(
        self, members: WeightedSet, group: Group, now: float, exclude: frozenset[str]
    ) -> Observation | None:
        first = members.draw(self._random)
        second = members.draw(self._random)
        if first is None or second is None:
            return None
        if exclude:
            if first.endpoint.daemon_id in exclude:
                first = second
            elif second.endpoint.daemon_id in exclude:
                second = first
            if first.endpoint.daemon_id in exclude:
                return None
        if first is second:
            return first
        first_wait_s = self._expect_wait(first, group, now)
        return first if first_wait_s <= self._expect_wait(second, group, now) else second

    def _expect_wait(self, member: Observation, group: Group, now: float) -> float:
        latency_s = member.expected_latency(now, group.usual_s, self._half_life_s)
        load = (member.in_flight + 1) / max(1, member.endpoint.slots)
        penalty = 1.0 + ERROR_PENALTY * member.error_rate
        if now < member.full_until:
            penalty *= ERROR_PENALTY
        return latency_s * load * penalty / group.ramp(member, now)

    def _search(self, group: Group, now: float, exclude: frozenset[str]) -> Observation | None:
        """Returns the best of all upstreams; one that is set aside only if there is no other."""
        best: Observation | None = None
        best_rank = (True, True, 0.0)
        for member in group.everywhere.members:
            if member.endpoint.daemon_id in exclude:
                continue
            wait_s = self._expect_wait(member, group, now)
            rank = (member.is_ejected(now), not member.has_room(now), wait_s)
            if best is None or rank < best_rank:
                best, best_rank = member, rank
        return best

    def _eject_if_failing(self, member: Observation, now: float) -> None:
        settings = self._settings
        limit = 1 if member.ejections else settings.eject_after_failures
        fails_often = member.error_rate > settings.eject_above_error_rate
        if member.is_ejected(now) or not (member.failures >= limit or fails_often):
            return
        service = member.endpoint.service
        allowed = int(len(self._services[service]) * settings.max_ejected_fraction)
        if self.count_ejected(service, now) >= allowed:
            return
        duration_s = settings.ejection_s * 2 ** min(member.ejections, 16)
        member.ejected_until = now + min(duration_s, settings.max_ejection_s)
        member.ramp_from = member.ejected_until
        member.ejections += 1
        for group in self._groups.values():
            group.expire_weights()
