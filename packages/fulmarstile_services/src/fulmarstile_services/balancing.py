"""Load balancing: choice of the upstream that a request is sent to."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_services.candidates import Candidates

if TYPE_CHECKING:
    import random

    from fulmarstile_services.upstream_notices import UpstreamNotices
    from fulmarstile_wire.services import HopOutcome, Member

_MIN_REMOTE_CANDIDATES: Final = 2
"""Minimum number of upstreams in other availability zones among those that are compared."""
_MAX_SAMPLES: Final = 3
"""Maximum number of samples taken until one contains a usable upstream."""
_HALF_WEIGHT_AGE_S: Final = 1.0
"""Age at which a report counts half, in seconds."""
_EWMA_GAIN: Final = 0.2
_ERROR_WEIGHT: Final = 6.0
"""Relative increase of the expected latency of an upstream that always fails."""
_DEFAULT_SERVICE_S: Final = 0.05
_COLD_FACTOR: Final = 2.0
_EXPLORATION_RATIO: Final = 0.1
"""Fraction of small requests that go to an upstream which this daemon hasn't used lately."""
_UNTRIED_AFTER_S: Final = 2.0
_LIMITED_UNTRIED_AFTER_S: Final = 10.0
"""Like `_UNTRIED_AFTER_S`, for an upstream that has announced a rate limit, in seconds.

Every daemon explores it, and its limit holds for all of them together.
"""
_MIN_LIMITED_SLOTS: Final = 0.05
"""Lower bound of the slots that a rate limit can keep busy."""
_SMALL_BODY_BYTES: Final = 4096
"""Largest body of a request that explores an upstream or measures its network delay, in bytes."""
_IGNORED_NETWORK_DELAY_S: Final = 0.02
"""Part of the round-trip network delay that is ignored in the expected latency, in seconds."""
_MIN_REFUSAL_HOLD_S: Final = 0.015
_MAX_REFUSAL_HOLD_S: Final = 0.05
_MAX_LIMIT_HOLD_S: Final = 0.2
"""Like `_MAX_REFUSAL_HOLD_S`, for a refusal because of an announced rate limit, in seconds."""
_REFUSAL_HOLD_RATIO: Final = 0.25
"""Fraction of a refusal's retry delay for which the upstream gets no such requests."""


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """Settings of `LeastWaitBalancer`."""

    cross_zone_penalty_s: float = 0.012
    """Latency that a request must save to go to another availability zone, in seconds."""
    cross_zone_penalty_s_per_byte: float = 6e-6
    """Additional latency that it must save for each byte of its body, in seconds."""
    cross_zone_target_ratio: float = 0.2
    """Additional latency that it must save, as a fraction of its target latency."""
    compared: int = 6
    """Number of upstreams compared for one request."""


@dataclass(frozen=True, slots=True)
class _TypicalTimes:
    """Mean service times over the compared upstreams, in seconds."""

    service_s: float
    """For requests of any priority."""
    priority_service_s: float
    """For requests with the priority of the one to be sent."""


class _Observation:
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
        self, slots: int, rate_limit: float, priority: int, typical: _TypicalTimes, now: float
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
        service_s = self.service_s or typical.service_s
        usable_slots: float = slots
        if rate_limit:
            usable_slots = min(slots, max(_MIN_LIMITED_SLOTS, rate_limit * service_s))
        load = (self.reported_load * freshness + self.in_flight + 1) / usable_slots
        priority_service_s = (
            self.service_s_by_priority.get(priority)
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


_Candidate = tuple["Member", _Observation]


class LeastWaitBalancer:
    """Chooses the upstream with the shortest expected time to an answer.

    The expected time is computed from the load and service times that the daemon beside each
    upstream reports with every answer, from the requests that this daemon has in flight there,
    and from the network delay, which rises for example when large bodies fill a link. An upstream
    in another availability zone must be faster by a margin that grows with the request's size. One
    that has announced a rate limit counts as having only the slots that this rate keeps busy.

    Args:
        settings: Settings.
        availability_zone: Availability zone of this daemon.
        random: Source of randomness.
        notices: What upstreams have said about themselves.
    """

    def __init__(
        self,
        settings: BalancingSettings,
        availability_zone: str,
        random: random.Random,
        notices: UpstreamNotices,
    ) -> None:
        self._settings = settings
        self._availability_zone = availability_zone
        self._random = random
        self._notices = notices
        self._observations: dict[str, _Observation] = {}
        self._unreachable: set[str] = set()
        self._candidates: dict[tuple[str, str], Candidates] = {}

    @property
    def has_unreachable(self) -> bool:
        """Whether any daemon failed to answer the last attempt to reach it."""
        return bool(self._unreachable)

    def is_reachable(self, name: str) -> bool:
        """Returns whether a daemon answered the last attempt to reach it."""
        return name not in self._unreachable

    def set_reachable(self, member: Member, reachable: bool, now: float) -> bool:
        """Records whether a daemon is reachable.

        Args:
            member: The daemon.
            reachable: Whether it answers.
            now: Current time in seconds.

        Returns:
            Whether this changed.
        """
        self._observe(member, now)
        if reachable is (member.name not in self._unreachable):
            return False
        if reachable:
            self._mark_reachable(member.name)
        else:
            self._unreachable.add(member.name)
            self._candidates.clear()
        return True

    def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        now: float,
        exclude: frozenset[str],
        priority: int = 0,
        target_s: float = 0.0,
    ) -> Member | None:
        """Chooses the upstream that a request is sent to.

        Args:
            members: Daemons beside the upstreams of the service that the request goes to; the
                same tuple object until any of them changes.
            size: Bytes of the request's body.
            now: Current time in seconds.
            exclude: Names of daemons that the request was sent to before.
            priority: Priority of the request; 0 is the most urgent.
            target_s: Target latency of the request in seconds; a request that is answered well
                within it gains nothing from a faster upstream.

        Returns:
            The daemon, or None if all are excluded or refused such a request a moment ago.
        """
        usable = self._sample_usable(members, exclude, priority, now)
        if not usable:
            return None
        is_small = size <= _SMALL_BODY_BYTES
        if is_small and self._random.random() < _EXPLORATION_RATIO:
            untried = [
                member
                for member, observation in usable
                if observation.is_untried(self._find_rate_limit(member), now)
            ]
            if untried:
                return self._random.choice(untried)
        typical = _average_times(usable, priority)
        settings = self._settings
        penalty_s = settings.cross_zone_penalty_s + size * settings.cross_zone_penalty_s_per_byte
        penalty_s += settings.cross_zone_target_ratio * target_s
        best: Member | None = None
        best_s = math.inf
        for member, observation in usable:
            rate_limit = self._find_rate_limit(member)
            expected_s = observation.expect_latency_s(
                max(1, member.slots), rate_limit, priority, typical, now
            )
            if member.availability_zone != self._availability_zone:
                expected_s += penalty_s
            if not is_small:
                expected_s += observation.expect_transfer_s(size, member.link_kbps, now)
            if expected_s < best_s:
                best, best_s = member, expected_s
        return best

    def on_sent(self, member: Member, now: float) -> None:
        """Records that a request was sent to a daemon."""
        observation = self._observe(member, now)
        observation.in_flight += 1
        observation.tried_at = now

    def on_ended(
        self,
        member: Member,
        outcome: HopOutcome | None,
        failed: bool,
        now: float,
        priority: int = 0,
    ) -> None:
        """Records how a request ended that was passed to `on_sent`.

        Args:
            member: The daemon.
            outcome: Outcome that the daemon reported; None if it reported nothing.
            failed: Whether the upstream failed.
            now: Current time in seconds.
            priority: Priority of the request; 0 is the most urgent.
        """
        observation = self._observations.get(member.name)
        if observation is None:
            return
        observation.in_flight = max(0, observation.in_flight - 1)
        observation.error_rate += _EWMA_GAIN * ((1.0 if failed else 0.0) - observation.error_rate)
        if outcome is None:
            return
        load = outcome.running + outcome.queued
        # An outcome without slots and load was made without looking at the upstream.
        has_load = bool(outcome.slots or load)
        if has_load or outcome.body_wait_ms:
            observation.body_wait_s = outcome.body_wait_ms / 1000
        if has_load:
            observation.reported_load = max(0.0, load - observation.in_flight)
            observation.reported_at = now
        if outcome.service_ms > 0.0:
            observation.service_s = outcome.service_ms / 1000
        if outcome.class_service_ms > 0.0:
            observation.service_s_by_priority[priority] = outcome.class_service_ms / 1000
        # A link that is too busy for a large body still accepts small requests.
        is_refused = outcome.reason and outcome.reason != RefusalReason.LINK_BUSY.value
        if is_refused and not outcome.reached_upstream:
            hold_s = outcome.retry_after_ms / 1000 * _REFUSAL_HOLD_RATIO
            is_limited = outcome.reason == RefusalReason.RATE_LIMITED.value
            max_hold_s = _MAX_LIMIT_HOLD_S if is_limited else _MAX_REFUSAL_HOLD_S
            hold_s = min(max_hold_s, max(_MIN_REFUSAL_HOLD_S, hold_s))
            observation.held_until[priority] = now + hold_s

    def on_network_delay(self, member: Member, size: int, network_delay_s: float) -> None:
        """Records how long a request and its answer were in transit.

        Args:
            member: The daemon that the request was sent to.
            size: Bytes of the request's body.
            network_delay_s: Time from sending the request to receiving the answer, without the
                time that the daemon had the request, in seconds.
        """
        observation = self._observations.get(member.name)
        if observation is not None and size <= _SMALL_BODY_BYTES:
            observation.network_delay_s += _EWMA_GAIN * (
                max(0.0, network_delay_s) - observation.network_delay_s
            )

    def _find_rate_limit(self, member: Member) -> float:
        notice = self._notices.find_for(member)
        return 0.0 if notice is None else notice.rate_limit

    def _observe(self, member: Member, now: float) -> _Observation:
        observation = self._observations.get(member.name)
        if observation is None or observation.upstream_id != member.upstream_id:
            observation = self._observations[member.name] = _Observation(member, now)
            self._mark_reachable(member.name)
        return observation

    def _mark_reachable(self, name: str) -> None:
        if name in self._unreachable:
            self._unreachable.remove(name)
            self._candidates.clear()

    def _sample_usable(
        self, members: tuple[Member, ...], exclude: frozenset[str], priority: int, now: float
    ) -> list[_Candidate]:
        """Samples upstreams that a request may be sent to."""
        if not members:
            return []
        candidates = self._find_candidates(members)
        compared = self._settings.compared
        for _ in range(_MAX_SAMPLES):
            sampled = candidates.sample(compared, _MIN_REMOTE_CANDIDATES, self._random)
            allowed = [member for member in sampled if member.name not in exclude]
            if not allowed and len(sampled) <= len(exclude):
                allowed = [
                    candidate
                    for candidate in candidates.unreachable
                    if candidate.name not in exclude
                ]
            observed = [(candidate, self._observe(candidate, now)) for candidate in allowed]
            usable = [
                candidate for candidate in observed if not candidate[1].is_held(priority, now)
            ]
            if usable or len(members) <= compared:
                return usable
        return []

    def _find_candidates(self, members: tuple[Member, ...]) -> Candidates:
        # During a roll-out the members of the two sides come by turns.
        key = (members[0].service, members[0].upstream_version)
        known = self._candidates.get(key)
        if known is None or known.members is not members:
            known = Candidates(members, self._availability_zone, self.is_reachable)
            self._candidates[key] = known
        return known


def _average_times(usable: list[_Candidate], priority: int) -> _TypicalTimes:
    known = [observation.service_s for _, observation in usable if observation.service_s]
    service_s = sum(known) / len(known) if known else _DEFAULT_SERVICE_S
    known = [
        priority_service_s
        for _, observation in usable
        if (priority_service_s := observation.service_s_by_priority.get(priority))
    ]
    return _TypicalTimes(service_s, sum(known) / len(known) if known else service_s)
