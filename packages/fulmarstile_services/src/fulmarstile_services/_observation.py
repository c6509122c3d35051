"""What a daemon has seen of an upstream, and the latency that it expects there."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.service_times import SLOWDOWN_LIFETIME_S

if TYPE_CHECKING:
    from fulmarstile_wire.services import Member

_HALF_WEIGHT_AGE_S: Final = 1.0
"""Age at which a report counts half, in seconds."""
_ERROR_WEIGHT: Final = 6.0
"""Relative increase of the expected latency of an upstream that always fails."""
_COLD_FACTOR: Final = 2.0
_UNTRIED_AFTER_S: Final = 2.0
_LIMITED_UNTRIED_AFTER_S: Final = 10.0
"""Like `_UNTRIED_AFTER_S`, for an upstream that has announced a rate limit, in seconds.

Every daemon explores it, and its limit holds for all of them together.
"""
_MIN_LIMITED_SLOTS: Final = 0.05
"""Lower bound of the slots that a rate limit can keep busy."""
_IGNORED_NETWORK_DELAY_S: Final = 0.02
"""Part of the round-trip network delay that is ignored in the expected latency, in seconds."""


@dataclass(frozen=True, slots=True)
class TypicalTimes:
    """Mean service times over the compared upstreams, in seconds."""

    service_s: float
    """For requests of any priority."""
    priority_service_s: float
    """For requests with the priority of the one to be sent."""


class Observation:
    """What a daemon has seen of one upstream."""

    __slots__ = (
        "body_wait_s",
        "cold_until",
        "error_rate",
        "held_until",
        "in_flight",
        "network_delay_s",
        "reported_at",
        "reported_load",
        "service_s",
        "service_s_by_priority",
        "slowdown",
        "tried_at",
        "upstream_id",
    )

    def __init__(self, member: Member, now: float) -> None:
        self.upstream_id = member.upstream_id
        self.cold_until = now + member.cold_left_s
        self.in_flight = 0
        self.reported_load = 0.0
        """Requests running and queued at the upstream, except those of this daemon."""
        self.reported_at = now
        self.service_s = 0.0
        """Mean service time of requests of any priority, in seconds; 0 if unknown."""
        self.service_s_by_priority: dict[int, float] = {}
        """Mean service time of requests by priority, in seconds."""
        self.slowdown = 0.0
        """Last reported factor by which the VM slows requests; 0 if it reports none."""
        self.body_wait_s = 0.0
        """Time that large bodies wait before they may be sent to the upstream, in seconds."""
        self.network_delay_s = 0.0
        """EWMA of the time that small requests and answers spend in transit, in seconds."""
        self.error_rate = 0.0
        self.held_until: dict[int, float] = {}
        """Times until which a refusal holds back requests of its priority and less urgent ones."""
        self.tried_at = now - _LIMITED_UNTRIED_AFTER_S

    def is_held(self, priority: int, now: float) -> bool:
        """Returns whether an equally or more urgent request was refused a moment ago."""
        if not self.held_until:
            return False
        if all(until <= now for until in self.held_until.values()):
            self.held_until.clear()
            return False
        return any(
            refused <= priority and now < until for refused, until in self.held_until.items()
        )

    def is_untried(self, rate_limit: float, now: float) -> bool:
        """Returns whether this daemon has sent nothing to the upstream for a while."""
        untried_after_s = _LIMITED_UNTRIED_AFTER_S if rate_limit else _UNTRIED_AFTER_S
        return now - self.tried_at >= untried_after_s and not self.in_flight

    def expect_latency_s(
        self, slots: int, rate_limit: float, priority: int, typical: TypicalTimes, now: float
    ) -> float:
        """Returns the expected time to an answer.

        The queue wait is estimated from the mean service time of all priorities, the service
        time of the request itself from that of its own priority.

        Args:
            slots: Slots of the upstream.
            rate_limit: Requests per second that it accepts; 0 for no limit. Such an upstream is
                treated as if it had only the slots that this rate keeps busy.
            priority: Priority of the request.
            typical: Mean service times over the compared upstreams.
            now: Current time in seconds.

        Returns:
            The time in seconds, increased for an upstream that fails.
        """
        freshness = self._freshness(now)
        slowdown = self.present_slowdown(now)
        service_s = (self.service_s or typical.service_s) * slowdown
        usable_slots: float = slots
        if rate_limit:
            usable_slots = min(slots, max(_MIN_LIMITED_SLOTS, rate_limit * service_s))
        load = (self.reported_load * freshness + self.in_flight + 1) / usable_slots
        priority_service_s = (
            self.service_s_by_priority.get(priority, 0.0) * slowdown
            or typical.priority_service_s * service_s / typical.service_s
        )
        if now < self.cold_until:
            service_s = max(service_s, typical.service_s * _COLD_FACTOR)
            priority_service_s = max(priority_service_s, typical.priority_service_s * _COLD_FACTOR)
        expected_s = priority_service_s + service_s * (
            0.5 * load * load if load < 1.0 else load - 0.5
        )
        expected_s *= 1.0 + _ERROR_WEIGHT * self.error_rate
        return expected_s + max(0.0, self.network_delay_s * freshness - _IGNORED_NETWORK_DELAY_S)

    def present_slowdown(self, now: float) -> float:
        """Returns the factor by which the VM is expected to slow requests now.

        Args:
            now: Current time in seconds.

        Returns:
            The last reported factor, which approaches 1 with its age.
        """
        if not self.slowdown:
            return 1.0
        weight = max(0.0, 1.0 - (now - self.reported_at) / SLOWDOWN_LIFETIME_S)
        return 1.0 + (self.slowdown - 1.0) * weight

    def expect_transfer_s(self, size: int, link_kbps: int, now: float) -> float:
        """Returns the expected time until a large body has arrived at the upstream.

        Args:
            size: Size of the body in bytes.
            link_kbps: Capacity of the receiving link in kilobits per second; 0 if unknown.
            now: Current time in seconds.

        Returns:
            The time in seconds.
        """
        wait_s = self.body_wait_s * self._freshness(now)
        return wait_s + size * 8 / 1000 / link_kbps if link_kbps else wait_s

    def _freshness(self, now: float) -> float:
        """Returns the weight of the last report, which decreases with its age."""
        return _HALF_WEIGHT_AGE_S / (_HALF_WEIGHT_AGE_S + now - self.reported_at)
