"""Load on one upstream behind admission control, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

from fulmarstile_calls.admission import AdmissionTicket, Admitted, Refused
from fulmarstile_config.document import Priority
from fulmarstile_testing.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.admission import Admission, AdmissionEffect

TICK_S: Final = 0.01
"""Interval of the admission's ticks, in seconds."""

_MAX_LATENCY_US: Final = 60_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of one customer."""

    customer: str
    calls_per_s: float
    service_s: float = 0.02
    """Mean service time, in seconds."""
    timeout_s: float = 1.0
    """Time after which the caller has left, in seconds."""
    priority: Priority = Priority.NORMAL
    weight: float = 1.0
    retries: int = 0
    """How often the caller sends a refused request again, at once."""


class LoadResult:
    """What became of the requests of one load."""

    def __init__(self) -> None:
        self.offered = 0
        self.good = 0
        """Requests finished before their deadline."""
        self.late = 0
        self.refused = 0
        self.slowest_refusal_s = 0.0
        """Longest time that a caller waited for a refusal, in seconds."""
        self._latency = HdrHistogram(1, _MAX_LATENCY_US, 3)

    @property
    def p99_s(self) -> float:
        """Latency of the good requests at the 99th percentile, in seconds."""
        return self._latency.get_value_at_percentile(99) / 1e6

    def record_good(self, latency_s: float) -> None:
        """Counts a request that finished in time."""
        self.good += 1
        self._latency.record_value(max(1, int(latency_s * 1e6)))


class VirtualUpstream:
    """One upstream that runs what its admission admits.

    Args:
        admission: Admission control.
        seed: Seed of all randomness.
    """

    def __init__(self, admission: Admission, seed: int) -> None:
        self.time = VirtualTime()
        self.most_running = 0
        """Largest number of requests that ran at the same time."""
        self.refusals: Counter[str] = Counter()
        """Number of refusals by reason."""
        self._admission = admission
        self._random = random.Random(seed)
        self._results: dict[tuple[str, Priority], LoadResult] = {}
        self._requests: dict[int, tuple[Load, AdmissionTicket, float, int]] = {}
        self._next_id = 0

    def run(self, loads: Iterable[Load], duration_s: float) -> dict[str, LoadResult]:
        """Runs loads and returns the result of each customer and priority.

        Args:
            loads: The loads, of differing customers or priorities.
            duration_s: Duration in seconds.

        Returns:
            Results by customer, or by `customer/priority` for other than normal priority.
        """
        results: dict[str, LoadResult] = {}
        for load in loads:
            result = self._results[load.customer, load.priority] = LoadResult()
            name = load.customer
            if load.priority is not Priority.NORMAL:
                name = f"{name}/{load.priority.name.lower()}"
            results[name] = result
            self._schedule_arrival(load)
        self._tick()
        self.time.run_until(duration_s)
        return results

    def _schedule_arrival(self, load: Load) -> None:
        delay_s = self._random.expovariate(load.calls_per_s)
        self.time.call_later(delay_s, lambda: self._arrive_and_continue(load))

    def _arrive_and_continue(self, load: Load) -> None:
        self._results[load.customer, load.priority].offered += 1
        self._arrive(load, load.retries)
        self._schedule_arrival(load)

    def _arrive(self, load: Load, retries: int) -> None:
        now = self.time.now
        self._next_id += 1
        ticket = AdmissionTicket(
            self._next_id, load.customer, load.priority, load.weight, now + load.timeout_s
        )
        self._requests[ticket.ticket_id] = (load, ticket, now, retries)
        self._perform(self._admission.on_arrival(ticket, now))

    def _tick(self) -> None:
        self._perform(self._admission.on_tick(self.time.now))
        self.time.call_later(TICK_S, self._tick)

    def _perform(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Admitted):
                self._start(effect.ticket_id)
            elif isinstance(effect, Refused):
                self._refuse(effect)

    def _start(self, ticket_id: int) -> None:
        self.most_running = max(self.most_running, self._admission.running)
        load = self._requests[ticket_id][0]
        service_s = self._random.gammavariate(4.0, load.service_s / 4.0)
        self.time.call_later(service_s, lambda: self._finish(ticket_id))

    def _finish(self, ticket_id: int) -> None:
        load, ticket, arrived_at, _ = self._requests.pop(ticket_id)
        result = self._results[load.customer, load.priority]
        if self.time.now <= ticket.deadline_s:
            result.record_good(self.time.now - arrived_at)
        else:
            result.late += 1
        self._perform(self._admission.on_finished(ticket_id, self.time.now))

    def _refuse(self, effect: Refused) -> None:
        load, _, arrived_at, retries = self._requests.pop(effect.ticket_id)
        self.refusals[effect.refusal.reason.value] += 1
        result = self._results[load.customer, load.priority]
        result.refused += 1
        result.slowest_refusal_s = max(result.slowest_refusal_s, self.time.now - arrived_at)
        if retries:
            self.time.call_later(0.005, lambda: self._arrive(load, retries - 1))
