"""Daemons that share customers' quotas, in virtual time, with faults of network and store."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

from fulmarstile_services.quotas.lease import Source, choose_interval_s
from fulmarstile_services.quotas.plan import (
    QUERY_TIMEOUT_S,
    plan_quota,
    rank_candidates,
    shard_of,
)
from fulmarstile_services.quotas.shard import QuotaShard
from fulmarstile_services.settings import QuotaBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_services.document import Customer
    from fulmarstile_wire.quotas import HoldersRecord, OwnerRecord, QuotaReply

BOUNDS: Final = QuotaBounds(window_s=5.0, overage_ratio=0.1, slack=20.0)
FIRST_WAIT_S: Final = 0.05
SHARE_WAIT_S: Final = 0.3
_STEP_S: Final = 0.02


@dataclass(slots=True, eq=False)
class VirtualDaemon:
    """A daemon with one shard."""

    name: str
    shard: QuotaShard
    incarnation: int
    known: list[str]
    """Daemons that it knows."""
    wakes_at: float = 0.0
    """Time until which it is frozen, in seconds."""
    is_down: bool = False
    has_store: bool = True
    half: int = 0
    """Daemons of different halves don't reach each other."""
    in_flight: int = 0
    waiting: list[float] = field(default_factory=list)
    """Times at which the requests arrived that wait for a token."""
    backlog: list[Callable[[], None]] = field(default_factory=list)
    """Messages that arrived while it was frozen."""


class VirtualQuotaFleet:
    """Daemons that use the quota of one customer.

    Args:
        seed: Seed of all random choices.
        size: Number of daemons.
        customer: The customer.
    """

    def __init__(self, seed: int, size: int, customer: Customer) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.customer = customer
        self.plans = {customer.name: plan_quota(customer, BOUNDS)}
        self.loss = 0.0
        """Fraction of messages that are lost."""
        self.late = 0.0
        """Fraction of messages that are delayed by up to 2 s."""
        self.topic: list[OwnerRecord | HoldersRecord] = []
        self.appends = 0
        self.accepted: list[float] = []
        """Times at which requests were accepted, in seconds."""
        self.refused: list[float] = []
        self.requests = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        names = [f"daemon-{number}" for number in range(size)]
        self.daemons = [self._start(name, names, 1) for name in names]
        self._interval_s = choose_interval_s(size)

    def restart(self, daemon: VirtualDaemon, delay_s: float) -> None:
        """Kills a daemon, and starts it again after a while."""
        daemon.is_down = True
        index = self.daemons.index(daemon)

        def start() -> None:
            # Daemons that are started at about the same time have the same incarnation.
            incarnation = max(daemon.incarnation + 1, int(self.now) * 1000)
            self.daemons[index] = self._start(daemon.name, daemon.known, incarnation)

        self.call_at(self.now + delay_s, start)

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (at, next(self._order), action))

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def offer(self, rate: float, seconds: float, daemons: list[int]) -> None:
        """Schedules requests at random times, distributed over some daemons."""
        at = self.now
        end = at + seconds
        while (at := at + self.random.expovariate(rate)) < end:
            index = self.random.choice(daemons)
            self.call_at(at, lambda index=index: self._call(index, self.now))

    def worst_excess(self) -> float:
        """Returns by how many requests any window exceeds the bound; negative if none does."""
        customer = self.customer
        quota = customer.rate_per_s * BOUNDS.window_s + customer.burst
        limit = quota * (1.0 + BOUNDS.overage_ratio) + BOUNDS.slack
        times, first, most = sorted(self.accepted), 0, 0
        for index, at in enumerate(times):
            while times[first] < at - BOUNDS.window_s:
                first += 1
            most = max(most, index - first + 1)
        return most - limit

    def _start(self, name: str, known: list[str], incarnation: int) -> VirtualDaemon:
        shard = QuotaShard(name, incarnation, shard_of(self.customer.name), BOUNDS.window_s)
        shard.set_plans(self.plans, self.now)
        daemon = VirtualDaemon(name, shard, incarnation, known)
        self.call_at(self.now + self.random.random() * _STEP_S, lambda: self._tick(daemon))
        self.call_at(self.now + self.random.random() * 0.2, lambda: self._tick_store(daemon))
        return daemon

    def _deliver(self, daemon: VirtualDaemon, action: Callable[[], None]) -> None:
        """Runs an action at a daemon once it isn't frozen."""
        if daemon.is_down:
            return
        if self.now < daemon.wakes_at:
            daemon.backlog.append(action)
            if len(daemon.backlog) == 1:
                self.call_at(daemon.wakes_at, lambda: self._wake(daemon))
            return
        action()

    def _wake(self, daemon: VirtualDaemon) -> None:
        actions, daemon.backlog = daemon.backlog, []
        self.random.shuffle(actions)
        for action in actions:
            self._deliver(daemon, action)

    def _delay_s(self) -> float:
        if self.random.random() < self.late:
            return self.random.uniform(0.05, 2.0)
        return self.random.uniform(0.0005, 0.0054)

    def _send(self, source: VirtualDaemon, to: VirtualDaemon, action: Callable[[], None]) -> None:
        if source.half == to.half and self.random.random() >= self.loss:
            self.call_at(self.now + self._delay_s(), lambda: self._deliver(to, action))

    def _tick(self, daemon: VirtualDaemon) -> None:
        if daemon.is_down:
            return
        self._deliver(daemon, lambda: self._exchange(daemon))
        self._deliver(daemon, lambda: self._retry_waiting(daemon))
        self.call_at(max(self.now, daemon.wakes_at) + _STEP_S, lambda: self._tick(daemon))

    def _exchange(self, daemon: VirtualDaemon) -> None:
        shard = daemon.shard
        is_due = self.now >= shard.lease.next_request_at(self._interval_s)
        target = shard.choose_target(rank_candidates(0, daemon.known)) if is_due else None
        if target is None or daemon.in_flight:
            return
        request = shard.lease.make_request(self.now)
        number = daemon.in_flight = request.number
        self.requests += 1

        def on_reply(reply: QuotaReply) -> None:
            if daemon.in_flight == number:
                daemon.in_flight = 0
                shard.on_reply(target, reply, self.now)
                self._retry_waiting(daemon)
                self._exchange(daemon)

        def on_timeout() -> None:
            if daemon.in_flight == number:
                daemon.in_flight = 0
                shard.on_failure()

        owner = next(other for other in self.daemons if other.name == target)

        def on_request() -> None:
            reply = owner.shard.on_request(request, self.now)
            self._send(owner, daemon, lambda: on_reply(reply))

        self._send(daemon, owner, on_request)
        self.call_at(self.now + QUERY_TIMEOUT_S, lambda: self._deliver(daemon, on_timeout))

    def _call(self, index: int, sent_at: float) -> None:
        daemon = self.daemons[index]
        self._deliver(daemon, lambda: self._decide(daemon, sent_at, is_first=True))

    def _decide(self, daemon: VirtualDaemon, sent_at: float, *, is_first: bool) -> None:
        lease, name = daemon.shard.lease, self.customer.name
        decision = lease.take(name, self.now, is_first=is_first)
        if decision.source in (Source.TOKEN, Source.SHARE):
            self.accepted.append(self.now)
        elif decision.source is Source.WAIT:
            lease.add_waiting(name, 1)
            daemon.waiting.append(sent_at)
            self._exchange(daemon)
        elif (
            decision.source is Source.SILENT
            and decision.is_worth_waiting
            and self.now + decision.retry_after_s <= sent_at + SHARE_WAIT_S
        ):
            lease.add_queued(name, 1)

            def retry() -> None:
                lease.add_queued(name, -1)
                self._decide(daemon, sent_at, is_first=False)

            at = self.now + decision.retry_after_s
            self.call_at(at, lambda: self._deliver(daemon, retry))
        else:
            self.refused.append(self.now)

    def _retry_waiting(self, daemon: VirtualDaemon) -> None:
        """Lets waiting requests take granted tokens; those that waited long enough give up."""
        waiting, daemon.waiting = daemon.waiting, []
        lease, name = daemon.shard.lease, self.customer.name
        for arrived_at in waiting:
            if lease.has_token(name, self.now) or self.now >= arrived_at + FIRST_WAIT_S:
                lease.add_waiting(name, -1)
                self._decide(daemon, arrived_at, is_first=False)
            else:
                daemon.waiting.append(arrived_at)

    def _tick_store(self, daemon: VirtualDaemon) -> None:
        """Reads the topic, and appends if the ownership requires it."""
        if daemon.is_down:
            return
        if daemon.name in rank_candidates(0, daemon.known):
            self._deliver(daemon, lambda: self._use_store(daemon))
        delay_s = self.random.uniform(0.1, 0.2)
        self.call_at(max(self.now, daemon.wakes_at) + delay_s, lambda: self._tick_store(daemon))

    def _use_store(self, daemon: VirtualDaemon) -> None:
        ownership = daemon.shard.ownership
        if not daemon.has_store:
            return
        ownership.on_read(self.topic[ownership.end_offset or 0 :], len(self.topic), self.now)

        def find_incarnation(name: str) -> int:
            return self._find_incarnation(daemon, name)

        daemon.shard.observe_restarts(find_incarnation, self.now)
        record = ownership.next_record(
            self.now, is_candidate=True, find_incarnation=find_incarnation
        )
        if record is not None:
            sent_at = self.now
            self._append(
                daemon,
                record,
                lambda at: daemon.shard.on_appended(record, at, sent_at, self.now),
            )
            return
        holders = daemon.shard.next_holders(self.now)
        if holders is not None:
            self._append(
                daemon, holders, lambda at: daemon.shard.on_holders_appended(holders, at, self.now)
            )

    def _append(
        self,
        daemon: VirtualDaemon,
        record: OwnerRecord | HoldersRecord,
        confirm: Callable[[int], object],
    ) -> None:
        """Appends a record at the end of the topic as known to a daemon; the reply may be late."""
        at = daemon.shard.ownership.end_offset

        def append() -> None:
            if at != len(self.topic):
                return
            self.topic.append(record)
            self.appends += 1
            delivered_at = self.now + self._delay_s()
            self.call_at(delivered_at, lambda: self._deliver(daemon, lambda: confirm(at)))

        self.call_at(self.now + self._delay_s(), append)

    def _find_incarnation(self, daemon: VirtualDaemon, name: str) -> int:
        """Returns the incarnation that a daemon knows of another one."""
        other = next(other for other in self.daemons if other.name == name)
        is_reached = not other.is_down and other.half == daemon.half
        return other.incarnation if is_reached else 0
