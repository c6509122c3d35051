"""A roll-out in virtual time: requests, daemons that report, and evaluators that decide.

Of the daemons only what the core sees is modelled: the delay of their reports and of the state
that they follow.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from fulmarstile_services.rollouts.counter import EvidenceCounter
from fulmarstile_services.rollouts.evaluator import RolloutEvaluator
from fulmarstile_services.rollouts.model import RolloutOrder, ServicePool, ServingUpstream
from fulmarstile_services.settings import RolloutBounds
from fulmarstile_wire.rollouts import RolloutPhase, RolloutState, UpstreamEvidence

BOUNDS: Final = RolloutBounds(exposure_ratio=0.1, exposure_slack=50.0, rollback_s=5.0)
_TICK_S: Final = 0.025
_POLL_S: Final = 0.25
"""Interval at which daemons report and fetch the state, in seconds."""
_MAX_STATE_DELAY_S: Final = 0.3
_STORE_S: Final = 0.1
_SIGMA: Final = 0.5
"""Spread of the service times of one upstream and route, which are log-normal."""
_ROUTE_FACTORS: Final = {"read": 0.5, "list": 1.0, "write": 1.5, "report": 3.0}
_LOAD_WINDOW_S: Final = 0.5
_OVERTIME_S: Final = 5.0
"""Time after the deadline at which a play ends, in seconds."""


@dataclass(frozen=True, slots=True)
class Badness:
    """What is wrong with the responses of some upstreams, and when."""

    fail_ratio: float = 0.0
    slow_ratio: float = 1.0
    from_s: float = 0.0
    until_s: float = math.inf
    min_load: float = 0.0
    """Load from which on it shows, as a fraction of an equal share of all requests."""
    route: str = ""
    """The only route concerned; empty for all."""


GOOD: Final = Badness()


@dataclass(frozen=True, slots=True)
class RolloutPlay:
    """One roll-out to be played."""

    upstreams: int = 14
    """Upstreams of each version."""
    rate: float = 100.0
    """Requests to the service per second."""
    duration_s: float = 12.0
    seed: int = 0
    target: Badness = GOOD
    baseline: Badness = GOOD
    one_target: Badness = GOOD
    """What is wrong with one upstream of the target version."""
    one_baseline: Badness = GOOD
    cold_s: float = 0.0
    """Time for which upstreams of the target version are cold, and 5 times slower, in seconds."""
    rate_factor: float = 1.0
    """Factor by which the rate changes."""
    rate_changes_at_s: float = 1.0
    service_s: float = 0.01
    """Typical service time of the fastest upstream, in seconds."""
    evaluators: int = 1
    split_evidence: bool = False
    """Whether each daemon reports to one of the evaluators only."""
    lost_ratio: float = 0.0
    repeated_ratio: float = 0.0
    max_delay_s: float = 0.1
    """Longest delay of a report, in seconds; reports may overtake one another."""
    restarts_at_s: float = math.inf
    """When one daemon beside each version restarts, in seconds."""
    target_appears_at_s: float = 0.0


@dataclass(slots=True)
class RolloutResult:
    """What became of a roll-out."""

    phase: RolloutPhase = RolloutPhase.CANARY
    reason: str = ""
    decided_at_s: float = math.inf
    """When the final state was proposed, in seconds since the order."""
    finished_at_s: float = math.inf
    """When the store had recorded it."""
    requests: int = 0
    """Requests between order and deadline."""
    exposed: int = 0
    """Those that the target version received before its completion."""
    bad: int = 0
    """Bad responses of the target version."""
    first_bad_at_s: float = math.inf
    fiftieth_bad_at_s: float = math.inf
    last_exposed_at_s: float = 0.0
    """Last request to the target version, in seconds since the order."""
    unfinished: int = 0
    """Requests that the baseline was running when it was stopped."""

    @property
    def allowed(self) -> float:
        """Exposure that the bounds allow."""
        return BOUNDS.exposure_ratio * self.requests + BOUNDS.exposure_slack

    @property
    def used_ratio(self) -> float:
        """Exposure as a fraction of the allowed one."""
        return self.exposed / self.allowed


@dataclass(slots=True)
class _Upstream:
    name: str
    is_target: bool
    speed: float
    report_at_s: float
    counter: EvidenceCounter
    incarnation: int = 1
    running: int = 0
    is_odd: bool = False
    """Whether it is the one that has faults of its own."""
    recent: deque[float] = field(default_factory=deque)

    def measure_load(self, now: float) -> float:
        while self.recent and self.recent[0] < now - _LOAD_WINDOW_S:
            self.recent.popleft()
        return len(self.recent) / _LOAD_WINDOW_S


class VirtualRollout:
    """Plays one roll-out.

    Args:
        play: The roll-out.
    """

    def __init__(self, play: RolloutPlay) -> None:
        self._play = play
        self._random = random.Random(play.seed)
        self._now = 0.0
        self._result = RolloutResult()
        order = RolloutOrder("planning", "v2", play.duration_s, 7)
        self._evaluators = [RolloutEvaluator(order, BOUNDS, 0.0) for _ in range(play.evaluators)]
        self._states: deque[tuple[float, list[RolloutState]]] = deque()
        self._baseline = [self._build_upstream(n, False) for n in range(play.upstreams)]
        self._target = [self._build_upstream(n, True) for n in range(play.upstreams)]
        self._weights = [1.0 / upstream.speed for upstream in self._baseline]
        self._target_weights = [1.0 / upstream.speed for upstream in self._target]
        self._ends: list[tuple[float, int, _Upstream, str, float, bool]] = []
        self._reports: list[tuple[float, int, int, UpstreamEvidence]] = []
        self._sequence = 0

    def run(self) -> RolloutResult:
        """Plays the roll-out until it is recorded, or some seconds after its deadline."""
        evaluate_at_s, recorded_at_s = 0.0, math.inf
        while self._now < self._play.duration_s + _OVERTIME_S:
            self._send_requests()
            self._end_requests()
            self._exchange_reports()
            if self._now >= evaluate_at_s:
                evaluate_at_s += _POLL_S / 2
                if self._evaluate() and math.isinf(recorded_at_s):
                    recorded_at_s = self._now + _STORE_S
            if self._now >= recorded_at_s and self._record():
                break
            self._now += _TICK_S
        return self._result

    def _build_upstream(self, number: int, is_target: bool) -> _Upstream:
        version = "v2" if is_target else "v1"
        name = f"{version}-{number}"
        speed = 3.0 ** self._random.random()
        counter = EvidenceCounter(name, 1, name, 5, version)
        report_at_s = self._random.random() * _POLL_S
        return _Upstream(name, is_target, speed, report_at_s, counter, is_odd=number == 0)

    def _send_requests(self) -> None:
        play = self._play
        rate = play.rate * (play.rate_factor if self._now >= play.rate_changes_at_s else 1.0)
        expected = rate * _TICK_S
        count = int(expected) + (self._random.random() < expected % 1.0)
        if expected < 20:
            count = self._draw_poisson(expected)
        for _ in range(count):
            self._send_request()

    def _draw_poisson(self, expected: float) -> int:
        limit, product, count = math.exp(-expected), self._random.random(), 0
        while product > limit:
            product *= self._random.random()
            count += 1
        return count

    def _send_request(self) -> None:
        state = self._read_state()
        upstream = self._choose(state)
        route = self._random.choice(list(_ROUTE_FACTORS))
        upstream.running += 1
        upstream.recent.append(self._now)
        service_s = self._play.service_s * _ROUTE_FACTORS[route] * upstream.speed
        service_s *= math.exp(self._random.gauss(0.0, _SIGMA))
        has_failed, slow_ratio = self._apply_badness(upstream, route)
        is_bad = has_failed or slow_ratio > 2.0
        if upstream.is_target and self._now < self._play.cold_s:
            slow_ratio *= 5.0
        service_s *= slow_ratio
        self._count_request(upstream)
        self._sequence += 1
        end = (self._now + service_s, self._sequence, upstream, route, service_s, has_failed)
        heapq.heappush(self._ends, end)
        if is_bad and upstream.is_target:
            self._count_bad(self._now + service_s)

    def _count_request(self, upstream: _Upstream) -> None:
        in_time = self._now < self._play.duration_s
        self._result.requests += in_time
        if upstream.is_target:
            self._result.exposed += in_time
            self._result.last_exposed_at_s = self._now

    def _count_bad(self, at_s: float) -> None:
        self._result.bad += 1
        self._result.first_bad_at_s = min(self._result.first_bad_at_s, at_s)
        if self._result.bad == 50:
            self._result.fiftieth_bad_at_s = at_s

    def _apply_badness(self, upstream: _Upstream, route: str) -> tuple[bool, float]:
        kinds = [self._play.target if upstream.is_target else self._play.baseline]
        if upstream.is_odd:
            kinds.append(self._play.one_target if upstream.is_target else self._play.one_baseline)
        has_failed, slow_ratio = False, 1.0
        for kind in kinds:
            if not kind.from_s <= self._now < kind.until_s or kind.route not in ("", route):
                continue
            if kind.min_load:
                share = self._play.rate / self._play.upstreams
                if upstream.measure_load(self._now) < kind.min_load * share:
                    continue
            has_failed |= self._random.random() < kind.fail_ratio
            slow_ratio *= kind.slow_ratio
        return has_failed, slow_ratio

    def _read_state(self) -> RolloutState | None:
        known_at_s = self._now - self._random.random() * _MAX_STATE_DELAY_S
        for at_s, states in reversed(self._states):
            if at_s <= known_at_s:
                return states[int(self._random.random() * len(states))]
        return None

    def _choose(self, state: RolloutState | None) -> _Upstream:
        if state is not None and self._is_for_target(state):
            return self._random.choices(self._target, self._target_weights)[0]
        if (
            state is not None
            and state.phase is RolloutPhase.CANARY
            and self._random.random() < state.share
        ):
            name = self._random.choice(state.canaries)
            return self._target[int(name.partition("-")[2])]
        return self._random.choices(self._baseline, self._weights)[0]

    def _is_for_target(self, state: RolloutState) -> bool:
        if state.phase is RolloutPhase.CANARY:
            return 0 < state.promote_at_ms <= self._now * 1000
        return state.phase is not RolloutPhase.ROLLED_BACK

    def _end_requests(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            _, _, upstream, route, service_s, has_failed = heapq.heappop(self._ends)
            upstream.running -= 1
            if has_failed:
                upstream.counter.on_failed(route, service_s)
            else:
                upstream.counter.on_completed(route, service_s)

    def _exchange_reports(self) -> None:
        play = self._play
        for upstream in self._list_serving():
            if self._now < upstream.report_at_s:
                continue
            upstream.report_at_s += _POLL_S
            if upstream.is_odd and upstream.incarnation == 1 and self._now >= play.restarts_at_s:
                upstream.incarnation = 2
                version = "v2" if upstream.is_target else "v1"
                upstream.counter = EvidenceCounter(upstream.name, 2, upstream.name, 5, version)
            self._report(upstream, upstream.counter.export(self._now, upstream.running, 0))
        while self._reports and self._reports[0][0] <= self._now:
            _, _, number, evidence = heapq.heappop(self._reports)
            self._evaluators[number].on_evidence(evidence, self._now)

    def _report(self, upstream: _Upstream, evidence: UpstreamEvidence) -> None:
        numbers = range(len(self._evaluators))
        if self._play.split_evidence:
            numbers = [int(upstream.name.partition("-")[2]) % len(self._evaluators)]
        for number in numbers:
            copies = self._random.random() >= self._play.lost_ratio
            copies += self._random.random() < self._play.repeated_ratio
            for _ in range(copies):
                self._sequence += 1
                at_s = self._now + self._random.random() * self._play.max_delay_s
                heapq.heappush(self._reports, (at_s, self._sequence, number, evidence))

    def _list_serving(self) -> list[_Upstream]:
        if self._now < self._play.target_appears_at_s:
            return self._baseline
        return self._baseline + self._target

    def _evaluate(self) -> bool:
        is_cold = self._now < self._play.cold_s
        pool = ServicePool(
            tuple(
                ServingUpstream(
                    upstream.name,
                    upstream.name,
                    "v2" if upstream.is_target else "v1",
                    4,
                    is_cold=upstream.is_target and is_cold,
                )
                for upstream in self._list_serving()
            )
        )
        states = [evaluator.evaluate(pool, self._now) for evaluator in self._evaluators]
        for evaluator in self._evaluators:
            for state in states:
                evaluator.merge_state(state, self._now)
        states = [evaluator.state(self._now) for evaluator in self._evaluators]
        self._states.append((self._now, states))
        if len(self._states) > 10:
            self._states.popleft()
        if not states[0].phase.is_final or not math.isinf(self._result.decided_at_s):
            return False
        self._result.decided_at_s = self._now
        return True

    def _record(self) -> bool:
        state = self._evaluators[0].state(self._now)
        if self._result.phase is RolloutPhase.CANARY:
            self._result.phase, self._result.reason = state.phase, state.reason
            self._result.finished_at_s = self._now
            self._result.unfinished = sum(upstream.running for upstream in self._baseline)
            for evaluator in self._evaluators:
                evaluator.record(state.phase, state.reason, self._now)
        is_rolled_back = state.phase is RolloutPhase.ROLLED_BACK
        return not is_rolled_back or self._now >= self._result.finished_at_s + 1.0
