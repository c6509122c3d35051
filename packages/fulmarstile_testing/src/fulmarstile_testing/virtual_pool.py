"""Load on a pool of differing upstreams through balancers, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from fulmarstile_calls.admission import AdmissionSettings, Admitted, FifoAdmission, Refused
from fulmarstile_calls.balancing import CallSample
from fulmarstile_testing.builders.calls import make_endpoint, make_pool, make_ticket
from fulmarstile_testing.virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from fulmarstile_calls.admission import AdmissionEffect
    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_config.document import Pool

_MAX_LATENCY_US = 60_000_000


@dataclass(slots=True)
class VirtualInstance:
    """One upstream of the pool; may be changed while it runs."""

    number: int
    availability_zone: str = "be-bru"
    slots: int = 10
    service_s: float = 0.02
    """Mean service time, in seconds."""
    failing: float = 0.0
    """Share of requests that fail at once."""

    @property
    def endpoint(self) -> UpstreamEndpoint:
        """The upstream as the balancers see it."""
        return make_endpoint(
            self.number, availability_zone=self.availability_zone, slots=self.slots
        )


class VirtualPool:
    """Daemons that spread calls over one pool.

    Args:
        balancers: Balancer of each daemon.
        instances: Upstreams of the pool.
        seed: Seed of all randomness.
        pool: Pool of the route.
    """

    def __init__(
        self,
        balancers: Sequence[Balancer],
        instances: Iterable[VirtualInstance],
        seed: int,
        pool: Pool | None = None,
    ) -> None:
        self.time = VirtualTime()
        self.pool = pool or make_pool()
        self.sent: Counter[int] = Counter()
        """Calls sent to each upstream, by its number."""
        self.good = 0
        self.failed = 0
        self.refused = 0
        self._balancers = balancers
        self._random = random.Random(seed)
        self._instances: dict[str, VirtualInstance] = {}
        self._admissions: dict[str, FifoAdmission] = {}
        self._calls: dict[int, tuple[Balancer, str, float]] = {}
        self._next_id = 0
        self._latency = HdrHistogram(1, _MAX_LATENCY_US, 3)
        self.replace_instances(instances)

    @property
    def p99_s(self) -> float:
        """Latency of the good calls at the 99th percentile, in seconds."""
        return self._latency.get_value_at_percentile(99) / 1e6

    def replace_instances(self, instances: Iterable[VirtualInstance]) -> None:
        """Replaces the upstreams that the balancers know."""
        self._instances = {each.endpoint.daemon_id: each for each in instances}
        for daemon_id, instance in self._instances.items():
            if daemon_id not in self._admissions:
                settings = AdmissionSettings(instance.slots, 50, 130)
                self._admissions[daemon_id] = FifoAdmission(settings)
        endpoints = [each.endpoint for each in self._instances.values()]
        for balancer in self._balancers:
            balancer.replace_endpoints(endpoints, self.time.now)

    def reset_counts(self) -> None:
        """Forgets what has been counted so far."""
        self.sent.clear()
        self.good = self.failed = self.refused = 0
        self._latency.reset()

    def run(self, calls_per_s: float, duration_s: float) -> None:
        """Spreads calls over the pool for a time."""
        end = self.time.now + duration_s
        at = self.time.now
        while at < end:
            at += self._random.expovariate(calls_per_s)
            self.time.call_at(at, self._call)
        self.time.run_until(end)

    def _call(self) -> None:
        now = self.time.now
        balancer = self._random.choice(self._balancers)
        endpoint = balancer.choose(self.pool, now)
        if endpoint is None:
            self.refused += 1
            return
        instance = self._instances[endpoint.daemon_id]
        self.sent[instance.number] += 1
        balancer.on_started(endpoint.daemon_id, now)
        if self._random.random() < instance.failing:
            self.failed += 1
            balancer.on_finished(endpoint.daemon_id, CallSample(0.001, failed=True), now)
            return
        self._next_id += 1
        self._calls[self._next_id] = (balancer, endpoint.daemon_id, now)
        admission = self._admissions[endpoint.daemon_id]
        self._perform(admission.on_arrival(make_ticket(self._next_id), now))

    def _perform(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Admitted):
                self._start(effect.ticket_id)
            elif isinstance(effect, Refused):
                self._refuse(effect.ticket_id)

    def _start(self, ticket_id: int) -> None:
        instance = self._instances[self._calls[ticket_id][1]]
        service_s = self._random.gammavariate(4.0, instance.service_s / 4.0)
        self.time.call_later(service_s, lambda: self._finish(ticket_id))

    def _refuse(self, ticket_id: int) -> None:
        balancer, daemon_id, _ = self._calls.pop(ticket_id)
        self.refused += 1
        balancer.on_finished(daemon_id, CallSample(0.0, refused=True), self.time.now)

    def _finish(self, ticket_id: int) -> None:
        now = self.time.now
        balancer, daemon_id, started_at = self._calls.pop(ticket_id)
        self.good += 1
        self._latency.record_value(max(1, int((now - started_at) * 1e6)))
        balancer.on_finished(daemon_id, CallSample(now - started_at), now)
        self._perform(self._admissions[daemon_id].on_finished(ticket_id, now))
