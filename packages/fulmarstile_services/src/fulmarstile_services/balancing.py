"""Load balancing: choice of the upstream that a request is sent to."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_services._observation import Observation, TypicalTimes
from fulmarstile_services.candidates import Candidates

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from fulmarstile_services.upstream_notices import UpstreamNotices
    from fulmarstile_wire.loads import LoadReply
    from fulmarstile_wire.services import HopOutcome, Member

_MIN_REMOTE_CANDIDATES: Final = 2
"""Minimum number of upstreams in other availability zones among those that are compared."""
_MAX_SAMPLES: Final = 3
"""Maximum number of samples taken until one contains a usable upstream."""
_EWMA_GAIN: Final = 0.2
_DEFAULT_SERVICE_S: Final = 0.05
_EXPLORATION_RATIO: Final = 0.1
"""Fraction of small requests that go to an upstream which this daemon hasn't used lately."""
_SMALL_BODY_BYTES: Final = 4096
"""Largest body of a request that explores an upstream or measures its network delay, in bytes."""
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


_Candidate = tuple["Member", Observation]


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
        self._observations: dict[str, Observation] = {}
        self._unreachable: set[str] = set()
        self._candidates: dict[tuple[str, str], Candidates] = {}
        self._load_reporting: set[str] = set()

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
        return self._choose_fastest(usable, size, now, priority, target_s)

    def choose_among(
        self,
        drawn: Sequence[Member],
        size: int,
        now: float,
        priority: int,
    ) -> Member | None:
        """Chooses among given upstreams of one availability zone.

        Args:
            drawn: Daemons beside the upstreams.
            size: Bytes of the request's body.
            now: Current time in seconds.
            priority: Priority of the request; 0 is the most urgent.

        Returns:
            The daemon, or None if all refused such a request a moment ago.
        """
        observed = [(member, self._observe(member, now)) for member in drawn]
        usable = [candidate for candidate in observed if not candidate[1].is_held(priority, now)]
        return self._choose_fastest(usable, size, now, priority, None) if usable else None

    def cross_zone_penalty_s(self, size: int, target_s: float) -> float:
        """Returns the latency that a request must save to go to another availability zone.

        Args:
            size: Bytes of the request's body.
            target_s: Target latency of the request in seconds.

        Returns:
            The latency in seconds.
        """
        settings = self._settings
        penalty_s = settings.cross_zone_penalty_s + size * settings.cross_zone_penalty_s_per_byte
        return penalty_s + settings.cross_zone_target_ratio * target_s

    def _choose_fastest(
        self,
        usable: list[_Candidate],
        size: int,
        now: float,
        priority: int,
        target_s: float | None,
    ) -> Member | None:
        """Chooses the upstream with the least expected latency.

        Other availability zones are charged a penalty unless `target_s` is None.
        """
        typical = _average_times(usable, priority)
        penalty_s = 0.0 if target_s is None else self.cross_zone_penalty_s(size, target_s)
        is_small = size <= _SMALL_BODY_BYTES
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

    def on_load(self, member: Member, load: LoadReply, now: float) -> None:
        """Records the load that a daemon reported on request.

        Args:
            member: The daemon.
            load: Its reply.
            now: Current time in seconds.
        """
        observation = self._observe(member, now)
        observation.reported_load = max(0.0, load.running + load.queued - observation.in_flight)
        observation.reported_at = now
        observation.slowdown = load.slowdown
        if load.service_ms > 0.0:
            observation.service_s = load.service_ms / 1000

    def reports_load(self, service: str) -> bool:
        """Returns whether upstreams of a service report how fast their VMs are at the moment."""
        return service in self._load_reporting

    def find_candidates(self, members: tuple[Member, ...]) -> Candidates:
        """Returns the reachable members, grouped by availability zone.

        Args:
            members: See `choose`; not empty.
        """
        return self._find_candidates(members)

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
            observation.slowdown = outcome.slowdown
            if outcome.slowdown:
                self._load_reporting.add(member.service)
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

    def _observe(self, member: Member, now: float) -> Observation:
        observation = self._observations.get(member.name)
        if observation is None or observation.upstream_id != member.upstream_id:
            observation = self._observations[member.name] = Observation(member, now)
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


def _average_times(usable: list[_Candidate], priority: int) -> TypicalTimes:
    known = [observation.service_s for _, observation in usable if observation.service_s]
    service_s = sum(known) / len(known) if known else _DEFAULT_SERVICE_S
    known = [
        priority_service_s
        for _, observation in usable
        if (priority_service_s := observation.service_s_by_priority.get(priority))
    ]
    return TypicalTimes(service_s, sum(known) / len(known) if known else service_s)
