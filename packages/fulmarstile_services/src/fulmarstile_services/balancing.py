"""Choice of the upstream that a request is sent to."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_services.candidates import Candidates

if TYPE_CHECKING:
    import random

    from fulmarstile_wire.services import HopOutcome, Member

_LEAST_FAR: Final = 2
"""Upstreams of other availability zones among those that are compared."""
_DRAWS: Final = 3
"""How often others are drawn if none of those drawn can be used."""
_LOAD_MEMORY_S: Final = 1.0
"""Age at which a reported load counts half."""
_GAIN: Final = 0.2
_ERROR_WEIGHT: Final = 6.0
"""By how much an upstream that always fails looks slower than it is."""
_DEFAULT_SERVICE_S: Final = 0.05
_COLD_FACTOR: Final = 2.0
_NEWCOMER_SHARE: Final = 0.1
"""Share of requests that go to an upstream which this daemon has not tried lately."""
_UNTRIED_AFTER_S: Final = 2.0
_SMALL_BYTES: Final = 4096
"""Largest body of a request that tries an upstream or measures the way to it, in bytes."""
_USUAL_WAY_S: Final = 0.02
"""Time on the way to an upstream and back that makes no difference, in seconds."""
_MIN_REFUSAL_HOLD_S: Final = 0.015
_MAX_REFUSAL_HOLD_S: Final = 0.05
_REFUSAL_HOLD_SHARE: Final = 0.25
"""Part of the delay told with a refusal for which an upstream gets no such request."""


@dataclass(frozen=True, slots=True)
class BalancingSettings:
    """Settings of `LeastWaitBalancer`."""

    other_zone_s: float = 0.012
    """Wait that a request to another availability zone must save, in seconds."""
    other_zone_s_per_byte: float = 6e-6
    """Wait that each byte to another availability zone must save besides, in seconds."""
    other_zone_target_share: float = 0.2
    """Part of the target latency that such a request must save besides."""
    compared: int = 6
    """Upstreams compared for one request."""


@dataclass(frozen=True, slots=True)
class _Usual:
    """Times that upstreams of a service usually take, in seconds."""

    service_s: float
    """For a request of any priority."""
    own_s: float
    """For a request of the priority that one is chosen for."""


class _Observation:
    __slots__ = (
        "body_wait_s",
        "class_s",
        "cold_until",
        "error_rate",
        "full_until",
        "in_flight",
        "reported",
        "reported_at",
        "service_s",
        "tried_at",
        "upstream_id",
        "way_s",
    )

    def __init__(self, member: Member, now: float) -> None:
        self.upstream_id = member.upstream_id
        self.cold_until = now + member.cold_left_s
        self.in_flight = 0
        self.reported = 0.0
        """Requests that the upstream had running and waiting, without those of this daemon."""
        self.reported_at = now
        self.service_s = 0.0
        """Mean time of requests of any priority, in seconds; 0 if it is not known."""
        self.class_s: dict[int, float] = {}
        """Mean time of requests of each priority, in seconds."""
        self.body_wait_s = 0.0
        """Time that large bodies wait before they are sent there, in seconds."""
        self.way_s = 0.0
        """Time that small requests and their answers spend on the way lately, in seconds."""
        self.error_rate = 0.0
        self.full_until: dict[int, float] = {}
        """Times until which requests of a priority are not sent, because one was refused."""
        self.tried_at = now - _UNTRIED_AFTER_S

    def is_full(self, priority: int, now: float) -> bool:
        """Tells whether a request of the same or a higher rank was refused a moment ago."""
        if not self.full_until:
            return False
        if all(until <= now for until in self.full_until.values()):
            self.full_until.clear()
            return False
        return any(rank <= priority and now < until for rank, until in self.full_until.items())

    def is_untried(self, now: float) -> bool:
        """Tells whether this daemon has sent nothing there for a while."""
        return now - self.tried_at >= _UNTRIED_AFTER_S and not self.in_flight

    def expect(self, slots: int, priority: int, usual: _Usual, now: float) -> float:
        """Returns the expected time to an answer.

        What waits for a slot is of any priority; the request itself takes the time of its own.

        Args:
            slots: Slots of the upstream.
            priority: Rank of the request.
            usual: Times that upstreams of its service usually take.
            now: Current time in seconds.

        Returns:
            The time in seconds, longer for an upstream that fails.
        """
        memory = self._remember(now)
        load = (self.reported * memory + self.in_flight + 1) / slots
        service_s = self.service_s or usual.service_s
        own_s = self.class_s.get(priority) or usual.own_s * service_s / usual.service_s
        if now < self.cold_until:
            service_s = max(service_s, usual.service_s * _COLD_FACTOR)
            own_s = max(own_s, usual.own_s * _COLD_FACTOR)
        expected_s = own_s + service_s * (0.5 * load * load if load < 1.0 else load - 0.5)
        expected_s *= 1.0 + _ERROR_WEIGHT * self.error_rate
        return expected_s + max(0.0, self.way_s * memory - _USUAL_WAY_S)

    def expect_body(self, size: int, link_kbps: int, now: float) -> float:
        """Returns the expected time until a large body has arrived.

        Args:
            size: Its size in bytes.
            link_kbps: Capacity of the link that it comes over; 0 if it is not known.
            now: Current time in seconds.

        Returns:
            The time in seconds.
        """
        wait_s = self.body_wait_s * self._remember(now)
        return wait_s + size * 8 / 1000 / link_kbps if link_kbps else wait_s

    def _remember(self, now: float) -> float:
        """Returns the part of what was reported that still counts."""
        return _LOAD_MEMORY_S / (_LOAD_MEMORY_S + now - self.reported_at)


_Candidate = tuple["Member", _Observation]


class LeastWaitBalancer:
    """Chooses the upstream with the shortest expected time to an answer.

    The expectation follows from the load and speed that the daemon beside each upstream
    reports with every answer, from the requests that this daemon has in flight there and from
    the time that requests lose on the way, as on a link that bodies fill.
    Another availability zone must be faster by a margin that grows with the request's size.

    Args:
        settings: Settings.
        availability_zone: Availability zone of this daemon.
        random: Source of randomness.
    """

    def __init__(
        self, settings: BalancingSettings, availability_zone: str, random: random.Random
    ) -> None:
        self._settings = settings
        self._availability_zone = availability_zone
        self._random = random
        self._observations: dict[str, _Observation] = {}
        self._unreachable: set[str] = set()
        self._candidates: dict[str, Candidates] = {}

    @property
    def has_unreachable(self) -> bool:
        """Whether any daemon did not answer the last attempt to reach it."""
        return bool(self._unreachable)

    def is_reachable(self, name: str) -> bool:
        """Tells whether a daemon answered the last attempt to reach it."""
        return name not in self._unreachable

    def set_reachable(self, member: Member, reachable: bool, now: float) -> bool:
        """Notes whether a daemon can be reached.

        Args:
            member: The daemon.
            reachable: Whether it answers.
            now: Current time in seconds.

        Returns:
            Whether that is a change.
        """
        self._observe(member, now)
        if reachable is (member.name not in self._unreachable):
            return False
        if reachable:
            self._note_reachable(member.name)
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
        """Chooses where a request is sent.

        Args:
            members: Daemons beside the upstreams of the service that it goes to; the same tuple
                until any of them changes.
            size: Bytes of the request's body.
            now: Current time in seconds.
            exclude: Names of daemons that it was sent to before.
            priority: Rank of the request; 0 is the most urgent.
            target_s: Its target latency in seconds; what is answered well within it gains nothing
                from a faster upstream.

        Returns:
            The daemon, or None if all are excluded or have refused such requests a moment ago.
        """
        usable = self._draw(members, exclude, priority, now)
        if not usable:
            return None
        is_small = size <= _SMALL_BYTES
        if is_small and self._random.random() < _NEWCOMER_SHARE:
            untried = [member for member, known in usable if known.is_untried(now)]
            if untried:
                return self._random.choice(untried)
        usual = _find_usual(usable, priority)
        settings = self._settings
        crossing_s = settings.other_zone_s + size * settings.other_zone_s_per_byte
        crossing_s += settings.other_zone_target_share * target_s
        best: Member | None = None
        best_s = math.inf
        for member, known in usable:
            expected_s = known.expect(max(1, member.slots), priority, usual, now)
            if member.availability_zone != self._availability_zone:
                expected_s += crossing_s
            if not is_small:
                expected_s += known.expect_body(size, member.link_kbps, now)
            if expected_s < best_s:
                best, best_s = member, expected_s
        return best

    def on_sent(self, member: Member, now: float) -> None:
        """Notes that a request was sent to a daemon."""
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
        """Notes how a request ended that `on_sent` reported.

        Args:
            member: The daemon.
            outcome: What it said; None if it said nothing.
            failed: Whether the upstream failed.
            now: Current time in seconds.
            priority: Rank of the request; 0 is the most urgent.
        """
        observation = self._observations.get(member.name)
        if observation is None:
            return
        observation.in_flight = max(0, observation.in_flight - 1)
        observation.error_rate += _GAIN * ((1.0 if failed else 0.0) - observation.error_rate)
        if outcome is None:
            return
        load = outcome.running + outcome.queued
        # Without slots and load, nobody has looked at the upstream.
        has_load = bool(outcome.slots or load)
        if has_load or outcome.body_wait_ms:
            observation.body_wait_s = outcome.body_wait_ms / 1000
        if has_load:
            observation.reported = max(0.0, load - observation.in_flight)
            observation.reported_at = now
        if outcome.service_ms > 0.0:
            observation.service_s = outcome.service_ms / 1000
        if outcome.class_ms > 0.0:
            observation.class_s[priority] = outcome.class_ms / 1000
        # A link without room for a large body takes small requests.
        is_full = outcome.reason and outcome.reason != RefusalReason.LINK_BUSY.value
        if is_full and not outcome.reached_upstream:
            hold_s = outcome.retry_after_ms / 1000 * _REFUSAL_HOLD_SHARE
            hold_s = min(_MAX_REFUSAL_HOLD_S, max(_MIN_REFUSAL_HOLD_S, hold_s))
            observation.full_until[priority] = now + hold_s

    def on_network_delay(self, member: Member, size: int, way_s: float) -> None:
        """Notes how long a request and its answer were on the way.

        Args:
            member: The daemon that it was sent to.
            size: Bytes of the request's body.
            way_s: Time outside that daemon, in seconds.
        """
        observation = self._observations.get(member.name)
        if observation is not None and size <= _SMALL_BYTES:
            observation.way_s += _GAIN * (max(0.0, way_s) - observation.way_s)

    def _observe(self, member: Member, now: float) -> _Observation:
        observation = self._observations.get(member.name)
        if observation is None or observation.upstream_id != member.upstream_id:
            observation = self._observations[member.name] = _Observation(member, now)
            self._note_reachable(member.name)
        return observation

    def _note_reachable(self, name: str) -> None:
        if name in self._unreachable:
            self._unreachable.remove(name)
            self._candidates.clear()

    def _draw(
        self, members: tuple[Member, ...], exclude: frozenset[str], priority: int, now: float
    ) -> list[_Candidate]:
        """Draws upstreams that a request may be sent to."""
        if not members:
            return []
        candidates = self._find_candidates(members)
        compared = self._settings.compared
        for _ in range(_DRAWS):
            drawn = candidates.draw(compared, _LEAST_FAR, self._random)
            left = [member for member in drawn if member.name not in exclude]
            if not left and len(drawn) <= len(exclude):
                left = [each for each in candidates.unreachable if each.name not in exclude]
            observed = [(each, self._observe(each, now)) for each in left]
            usable = [each for each in observed if not each[1].is_full(priority, now)]
            if usable or len(members) <= compared:
                return usable
        return []

    def _find_candidates(self, members: tuple[Member, ...]) -> Candidates:
        service = members[0].service
        known = self._candidates.get(service)
        if known is None or known.members is not members:
            known = Candidates(members, self._availability_zone, self.is_reachable)
            self._candidates[service] = known
        return known


def _find_usual(usable: list[_Candidate], priority: int) -> _Usual:
    known = [each.service_s for _, each in usable if each.service_s]
    service_s = sum(known) / len(known) if known else _DEFAULT_SERVICE_S
    known = [own_s for _, each in usable if (own_s := each.class_s.get(priority))]
    return _Usual(service_s, sum(known) / len(known) if known else service_s)
