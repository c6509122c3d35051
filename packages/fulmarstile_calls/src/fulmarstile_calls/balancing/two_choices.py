"""Power-of-two-choices balancer, based on this daemon's own measurements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_calls.balancing._service_group import ServiceGroup
from fulmarstile_calls.balancing._upstream_stats import ERROR_PENALTY, UpstreamStats
from fulmarstile_calls.balancing.balancer import NO_EXCLUSIONS

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from fulmarstile_calls.balancing._service_group import WeightedSet
    from fulmarstile_calls.balancing.balancer import CallSample
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of `TwoChoicesBalancer`."""

    latency_half_life_s: float = 5.0
    """Age at which a latency measurement counts half, in seconds."""
    eject_after_failures: int = 5
    """Consecutive failures after which an upstream is ejected."""
    eject_above_error_rate: float = 0.6
    """Share of failed calls above which an upstream is ejected."""
    ejection_s: float = 5.0
    """Duration of the first ejection, in seconds; doubled on each further one."""
    max_ejection_s: float = 60.0
    """Longest ejection, in seconds."""
    max_ejected_fraction: float = 0.5
    """Largest fraction of a service's upstreams that may be ejected at the same time."""
    refusal_hold_s: float = 0.25
    """Time for which an upstream that refused for lack of capacity counts as full, in seconds."""


class TwoChoicesBalancer:
    """Draws two upstreams at random and chooses the one with the shorter expected wait.

    Upstreams are drawn with weights by slots and speed. Those in this daemon's availability
    zone are preferred while they have capacity. What an upstream reports about its health or
    load is ignored.

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
        self._stats: dict[str, UpstreamStats] = {}
        self._services: dict[str, list[UpstreamStats]] = {}
        self._groups: dict[tuple[str, int], ServiceGroup] = {}

    def count_ejected(self, service: str, now: float) -> int:
        """Returns how many upstreams of a service are ejected."""
        return sum(1 for member in self._services.get(service, ()) if member.is_ejected(now))

    def replace_endpoints(self, endpoints: Iterable[UpstreamEndpoint], now: float) -> None:
        """See `Balancer.replace_endpoints`."""
        stats: dict[str, UpstreamStats] = {}
        services: dict[str, list[UpstreamStats]] = {}
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.daemon_id):
            member = self._stats.get(endpoint.daemon_id)
            if member is None or member.endpoint.service != endpoint.service:
                member = UpstreamStats(endpoint, now)
            member.endpoint = endpoint
            stats[endpoint.daemon_id] = member
            services.setdefault(endpoint.service, []).append(member)
        self._stats = stats
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
            best = self._choose_from(group.local_set, group, now, exclude)
            if best is not None and best.has_capacity(now) and not best.is_queueing():
                return best.endpoint
        best = self._choose_from(group.full_set, group, now, exclude)
        if best is None or not best.has_capacity(now):
            best = self._find_best(group, now, exclude)
        return best.endpoint if best is not None else None

    def on_started(self, daemon_id: str, now: float) -> None:
        """See `Balancer.on_started`."""
        member = self._stats.get(daemon_id)
        if member is not None:
            member.in_flight += 1

    def on_finished(self, daemon_id: str, sample: CallSample, now: float) -> None:
        """See `Balancer.on_finished`."""
        member = self._stats.get(daemon_id)
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

    def _find_group(self, pool: Pool) -> ServiceGroup | None:
        key = (pool.service, pool.slow_start_ms)
        group = self._groups.get(key)
        if group is not None:
            return group
        members = self._services.get(pool.service)
        if not members:
            return None
        group = ServiceGroup(members, self._availability_zone, pool.slow_start_ms / 1000)
        self._groups[key] = group
        return group

    def _choose_from(
        self, members: WeightedSet, group: ServiceGroup, now: float, exclude: frozenset[str]
    ) -> UpstreamStats | None:
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
        first_wait_s = self._estimate_wait(first, group, now)
        return first if first_wait_s <= self._estimate_wait(second, group, now) else second

    def _estimate_wait(self, member: UpstreamStats, group: ServiceGroup, now: float) -> float:
        latency_s = member.expected_latency(now, group.mean_latency_s, self._half_life_s)
        load = (member.in_flight + 1) / max(1, member.endpoint.slots)
        penalty = 1.0 + ERROR_PENALTY * member.error_rate
        if now < member.full_until:
            penalty *= ERROR_PENALTY
        return latency_s * load * penalty / group.slow_start_share(member, now)

    def _find_best(
        self, group: ServiceGroup, now: float, exclude: frozenset[str]
    ) -> UpstreamStats | None:
        """Returns the best of all upstreams; an ejected one only if there is no other."""
        best: UpstreamStats | None = None
        best_rank = (True, True, 0.0)
        for member in group.full_set.members:
            if member.endpoint.daemon_id in exclude:
                continue
            wait_s = self._estimate_wait(member, group, now)
            rank = (member.is_ejected(now), not member.has_capacity(now), wait_s)
            if best is None or rank < best_rank:
                best, best_rank = member, rank
        return best

    def _eject_if_failing(self, member: UpstreamStats, now: float) -> None:
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
        member.slow_start_from = member.ejected_until
        member.ejections += 1
        for group in self._groups.values():
            group.expire_weights()
