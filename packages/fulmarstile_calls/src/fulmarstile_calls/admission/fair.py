"""Weighted fair admission with priority classes and deadlines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.admission._customer_queue import CustomerQueue
from fulmarstile_calls.admission._rate_bucket import RateBucket
from fulmarstile_calls.admission._refusals import refuse, refuse_draining
from fulmarstile_calls.admission._service_time import ServiceTimes
from fulmarstile_calls.admission.admission import Admitted, Refused
from fulmarstile_calls.request import RefusalReason

if TYPE_CHECKING:
    from fulmarstile_calls.admission.admission import (
        AdmissionEffect,
        AdmissionSettings,
        AdmissionTicket,
    )

MIN_WEIGHT: Final = 0.001
"""Smallest weight of a customer."""

_RETRY_SPREAD: Final = 16


class _Running:
    __slots__ = ("charged_s", "priority", "queue", "started_at")

    def __init__(
        self, queue: CustomerQueue, priority: int, started_at: float, charged_s: float
    ) -> None:
        self.queue = queue
        self.priority = priority
        self.started_at = started_at
        self.charged_s = charged_s


class FairAdmission:
    """Shares an upstream's slots among customers by the slot time that they use.

    Each customer has its own queue; a free slot goes to the customer that has used the least
    slot time for its weight. When all queues together are full, a request is evicted from the
    longest one relative to its weight. Requests whose deadline cannot be met are refused at
    once. If the upstream has announced a rate limit, no more requests start than that.

    Args:
        settings: Limits of the upstream.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._connections = settings.connections
        self._announced_slots = settings.slots
        self._slots = min(settings.slots, settings.connections)
        self._customers: dict[str, CustomerQueue] = {}
        self._waiting: dict[int, AdmissionTicket] = {}
        self._running: dict[int, _Running] = {}
        self._service_times = ServiceTimes(len(settings.class_weights))
        self._rate_bucket = RateBucket()
        self._virtual_time = 0.0
        self._draining = False

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def slots(self) -> int:
        """Number of slots."""
        return self._slots

    @property
    def customer_count(self) -> int:
        """Number of customers with a queue."""
        return len(self._customers)

    def rate_wait_s(self, now: float) -> float:
        """Returns the time for which the rate limit alone holds back a new request, in seconds."""
        return self._rate_bucket.wait_s(len(self._waiting) + 1, now)

    def has_room(self, now: float) -> bool:
        """Returns whether a request that arrives now is admitted without waiting."""
        return not self._waiting and self._can_start(now)

    def on_arrival(self, ticket: AdmissionTicket, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_arrival`."""
        if self._draining:
            return [Refused(ticket.ticket_id, refuse_draining())]
        if now >= ticket.deadline_s:
            return [self._refuse_late(ticket, RefusalReason.DEADLINE, 0.0)]
        queue = self._get_queue(ticket)
        if self.has_room(now):
            self._start(ticket, queue, now)
            return [Admitted(ticket.ticket_id)]
        wait_s = self._estimate_wait(ticket, queue, now)
        service_s = self._service_times.for_class(ticket.priority).mean_s
        if now + wait_s + service_s > ticket.deadline_s:
            self._remove_if_idle(ticket.customer, queue)
            return [self._refuse_deadline(ticket, wait_s)]
        return self._enqueue(ticket, queue, wait_s, now)

    def on_finished(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_finished`."""
        running = self._running.pop(ticket_id, None)
        if running is None:
            return []
        elapsed_s = now - running.started_at
        self._service_times.observe(running.priority, elapsed_s)
        self._charge_actual_time(running, elapsed_s)
        return self._admit(now)

    def on_cancelled(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_cancelled`."""
        ticket = self._waiting.pop(ticket_id, None)
        if ticket is not None:
            queue = self._customers[ticket.customer]
            queue.remove(ticket)
            self._remove_if_idle(ticket.customer, queue)
            return []
        running = self._running.pop(ticket_id, None)
        if running is None:
            return []
        elapsed_s = now - running.started_at
        self._service_times.observe_cancelled(running.priority, elapsed_s)
        self._charge_actual_time(running, elapsed_s)
        return self._admit(now)

    def on_tick(self, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_tick`."""
        effects: list[AdmissionEffect] = []
        for ticket in [t for t in self._waiting.values() if self._will_miss_deadline(t, now)]:
            self._remove(ticket)
            effects.append(self._refuse_deadline(ticket, self._service_times.all.mean_s))
        effects.extend(self._admit(now))
        self._remove_idle()
        return effects

    def set_slots(self, slots: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.set_slots`; never more than the connections."""
        self._announced_slots = slots
        self._slots = max(0, min(slots, self._connections))
        return self._admit(now)

    def set_connections(self, connections: int, now: float) -> list[AdmissionEffect]:
        """Changes the number of connections that the upstream accepts.

        Args:
            connections: The number; requests that hold a slot keep it.
            now: Monotonic time in seconds.

        Returns:
            The waiting requests that get a slot.
        """
        self._connections = connections
        return self.set_slots(self._announced_slots, now)

    def set_rate_limit(self, rate_limit: float, now: float) -> list[AdmissionEffect]:
        """Changes the rate limit that the upstream has announced.

        Args:
            rate_limit: Requests per second; 0 for no limit.
            now: Monotonic time in seconds.

        Returns:
            Effects on waiting requests: those that can start now are admitted, those that the limit
            leaves no time are refused.
        """
        self._rate_bucket.set_rate_limit(rate_limit, now)
        effects = self._admit(now)
        return effects + self._refuse_over_limit(now)

    def begin_draining(self, now: float) -> list[AdmissionEffect]:
        """See `Admission.begin_draining`."""
        self._draining = True
        tickets = list(self._waiting.values())
        for ticket in tickets:
            self._remove(ticket)
        return [Refused(ticket.ticket_id, refuse_draining()) for ticket in tickets]

    def _get_queue(self, ticket: AdmissionTicket) -> CustomerQueue:
        queue = self._customers.get(ticket.customer)
        if queue is None:
            queue = self._customers[ticket.customer] = CustomerQueue(
                self._virtual_time, self._settings.class_weights
            )
        queue.weight = max(MIN_WEIGHT, ticket.weight)
        return queue

    def _refuse_over_limit(self, now: float) -> list[AdmissionEffect]:
        """Refuses the waiting requests that the rate limit won't let start before their deadline.

        The more urgent classes are assumed to start first.
        """
        effects: list[AdmissionEffect] = []
        position = 0
        for ticket in sorted(self._waiting.values(), key=_by_urgency):
            wait_s = self._rate_bucket.wait_s(position + 1, now)
            if now + wait_s > ticket.deadline_s:
                self._remove(ticket)
                effects.append(self._refuse_deadline(ticket, wait_s))
            else:
                position += 1
        return effects

    def _can_start(self, now: float) -> bool:
        return len(self._running) < self._slots and self._rate_bucket.has_token(now)

    def _start(self, ticket: AdmissionTicket, queue: CustomerQueue, now: float) -> None:
        self._rate_bucket.take()
        start = max(queue.virtual_time, self._virtual_time)
        self._virtual_time = start
        charged_s = self._service_times.for_class(ticket.priority).mean_s
        queue.virtual_time = start + charged_s / queue.weight
        queue.running += 1
        self._running[ticket.ticket_id] = _Running(queue, ticket.priority, now, charged_s)

    def _charge_actual_time(self, running: _Running, elapsed_s: float) -> None:
        """Replaces the estimated slot time charged to a customer by the actual one."""
        queue = running.queue
        queue.running -= 1
        queue.virtual_time += (elapsed_s - running.charged_s) / queue.weight

    def _enqueue(
        self, ticket: AdmissionTicket, queue: CustomerQueue, wait_s: float, now: float
    ) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        if len(self._waiting) >= self._settings.queue_limit:
            evicted = self._evict_for(ticket, queue)
            if evicted is None:
                self._remove_if_idle(ticket.customer, queue)
                return [self._refuse_full(ticket, wait_s)]
            del self._waiting[evicted.ticket_id]
            effects.append(self._refuse_full(evicted, wait_s))
        if queue.size == 0:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.add(ticket)
        self._waiting[ticket.ticket_id] = ticket
        effects.extend(self._admit(now))
        return effects

    def _evict_for(self, ticket: AdmissionTicket, queue: CustomerQueue) -> AdmissionTicket | None:
        """Removes and returns a waiting request to make room for a new one, or returns None."""
        longest = max(self._customers.values(), key=_weighted_size, default=queue)
        if longest is not queue and _weighted_size(longest) > (queue.size + 1) / queue.weight:
            return longest.evict_newest()
        return queue.evict_for(ticket.priority)

    def _admit(self, now: float) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        while self._waiting and self._can_start(now):
            queue = self._choose_queue()
            ticket = queue.pop_next()
            del self._waiting[ticket.ticket_id]
            if self._will_miss_deadline(ticket, now) or self._may_miss_deadline(ticket, now):
                effects.append(self._refuse_deadline(ticket, self._service_times.all.mean_s))
                continue
            self._start(ticket, queue, now)
            effects.append(Admitted(ticket.ticket_id))
        return effects

    def _choose_queue(self) -> CustomerQueue:
        best: CustomerQueue | None = None
        for queue in self._customers.values():
            if queue.size and (best is None or queue.virtual_time < best.virtual_time):
                best = queue
        if best is None:
            raise LookupError("no request is waiting")
        return best

    def _will_miss_deadline(self, ticket: AdmissionTicket, now: float) -> bool:
        if now >= ticket.deadline_s:
            return True
        fast_s = self._service_times.for_class(ticket.priority).fast_s
        return bool(self._running) and now + fast_s > ticket.deadline_s

    def _may_miss_deadline(self, ticket: AdmissionTicket, now: float) -> bool:
        """Returns whether a request may be late while others that can use the slot are waiting."""
        if len(self._waiting) < self._slots:
            return False
        return now + self._service_times.for_class(ticket.priority).slow_s > ticket.deadline_s

    def _estimate_wait(self, ticket: AdmissionTicket, queue: CustomerQueue, now: float) -> float:
        """Returns the estimated time until a request would start, in seconds."""
        if self._slots == 0:
            return self._service_times.all.mean_s
        slot_s = self._service_times.all.mean_s / self._slots
        total_weight = sum(other.weight for other in self._customers.values() if other.size)
        if not queue.size:
            total_weight += queue.weight
        ahead = queue.count_ahead(ticket.priority) + 1
        position = min(ahead * total_weight / queue.weight, len(self._waiting) + 1)
        slot_wait_s = position * slot_s if len(self._running) >= self._slots else 0.0
        return max(slot_wait_s, self._rate_bucket.wait_s(position, now))

    def _refuse_full(self, ticket: AdmissionTicket, wait_s: float) -> Refused:
        delay_s = self._spread_retry(ticket, wait_s)
        return Refused(
            ticket.ticket_id, refuse(RefusalReason.QUEUE_FULL, "the queue is full", delay_s)
        )

    def _refuse_deadline(self, ticket: AdmissionTicket, wait_s: float) -> Refused:
        is_limited = self._rate_bucket.is_limited and len(self._running) < self._slots
        reason = RefusalReason.RATE_LIMITED if is_limited else RefusalReason.DEADLINE
        return self._refuse_late(ticket, reason, wait_s)

    def _refuse_late(
        self, ticket: AdmissionTicket, reason: RefusalReason, wait_s: float
    ) -> Refused:
        delay_s = self._spread_retry(ticket, wait_s)
        return Refused(ticket.ticket_id, refuse(reason, "the deadline cannot be met", delay_s))

    def _spread_retry(self, ticket: AdmissionTicket, wait_s: float) -> float:
        """Returns the retry delay, which spreads callers over one to two times the wait."""
        return wait_s * (1 + ticket.ticket_id % _RETRY_SPREAD / _RETRY_SPREAD)

    def _remove(self, ticket: AdmissionTicket) -> None:
        del self._waiting[ticket.ticket_id]
        self._customers[ticket.customer].remove(ticket)

    def _remove_if_idle(self, customer: str, queue: CustomerQueue) -> None:
        if queue.size or queue.running or queue.virtual_time > self._virtual_time:
            return
        self._customers.pop(customer, None)

    def _remove_idle(self) -> None:
        for customer, queue in list(self._customers.items()):
            self._remove_if_idle(customer, queue)


def _by_urgency(ticket: AdmissionTicket) -> tuple[int, int]:
    return ticket.priority, ticket.ticket_id


def _weighted_size(queue: CustomerQueue) -> float:
    return queue.size / queue.weight
