"""Simple admission controls that the benchmarks compare with."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from fulmarstile_calls.admission._refusals import refuse, refuse_draining
from fulmarstile_calls.admission.admission import Admitted, Refused
from fulmarstile_calls.request import RefusalReason

if TYPE_CHECKING:
    from fulmarstile_calls.admission.admission import (
        AdmissionEffect,
        AdmissionSettings,
        AdmissionTicket,
    )


class FifoAdmission:
    """Admits in order of arrival from one bounded queue, regardless of the customer.

    Args:
        settings: Limits of the upstream.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._slots = min(settings.slots, settings.connections)
        self._queue_limit: int | None = settings.queue_limit
        self._running: set[int] = set()
        self._queue: OrderedDict[int, AdmissionTicket] = OrderedDict()
        self._draining = False

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def on_arrival(self, ticket: AdmissionTicket, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_arrival`."""
        if self._draining:
            return [Refused(ticket.ticket_id, refuse_draining())]
        if self._queue_limit is not None and len(self._queue) >= self._queue_limit:
            refusal = refuse(RefusalReason.QUEUE_FULL, "the queue is full", 1.0)
            return [Refused(ticket.ticket_id, refusal)]
        self._queue[ticket.ticket_id] = ticket
        return self._admit()

    def on_finished(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_finished`."""
        self._running.discard(ticket_id)
        return self._admit()

    def on_cancelled(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.on_cancelled`."""
        self._queue.pop(ticket_id, None)
        return self.on_finished(ticket_id, now)

    def on_tick(self, now: float) -> list[AdmissionEffect]:
        """Does nothing: deadlines are ignored."""
        return []

    def set_slots(self, slots: int, now: float) -> list[AdmissionEffect]:
        """See `Admission.set_slots`."""
        self._slots = slots
        return self._admit()

    def begin_draining(self, now: float) -> list[AdmissionEffect]:
        """See `Admission.begin_draining`."""
        self._draining = True
        effects: list[AdmissionEffect] = []
        for ticket_id in self._queue:
            effects.append(Refused(ticket_id, refuse_draining()))
        self._queue.clear()
        return effects

    def _admit(self) -> list[AdmissionEffect]:
        effects: list[AdmissionEffect] = []
        while self._queue and len(self._running) < self._slots:
            ticket_id, _ = self._queue.popitem(last=False)
            self._running.add(ticket_id)
            effects.append(Admitted(ticket_id))
        return effects


class UnboundedAdmission(FifoAdmission):
    """Admits in order of arrival and queues without a bound."""

    def __init__(self, settings: AdmissionSettings) -> None:
        super().__init__(settings)
        self._queue_limit = None
