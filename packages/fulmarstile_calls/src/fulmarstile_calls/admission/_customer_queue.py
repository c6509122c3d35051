"""Waiting requests of one customer, shared among its priority classes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.admission.admission import AdmissionTicket


class CustomerQueue:
    """Waiting requests of one customer.

    The classes share the slot time that the customer gets by start-time fair queueing. A class
    that is served rarely is served first when it has a request, and each class has a share that
    the others cannot take.

    Args:
        virtual_time: Slot time that the customer is taken to have used.
        class_weights: Shares of the classes relative to one another.
    """

    __slots__ = (
        "_class_costs",
        "_class_times",
        "_classes",
        "_clock",
        "running",
        "size",
        "virtual_time",
        "weight",
    )

    def __init__(self, virtual_time: float, class_weights: tuple[float, ...]) -> None:
        self._class_costs = tuple(1.0 / weight for weight in class_weights)
        self.weight = 1.0
        self.virtual_time = virtual_time
        """Slot time used so far, divided by the weight."""
        self.size = 0
        """Number of waiting requests."""
        self.running = 0
        """Number of requests that hold a slot."""
        self._classes = tuple(OrderedDict[int, "AdmissionTicket"]() for _ in class_weights)
        self._class_times = [0.0] * len(class_weights)
        self._clock = 0.0

    def add(self, ticket: AdmissionTicket) -> None:
        """Adds a request."""
        waiting = self._classes[ticket.priority]
        if not waiting:
            times = self._class_times
            times[ticket.priority] = max(times[ticket.priority], self._clock)
        waiting[ticket.ticket_id] = ticket
        self.size += 1

    def remove(self, ticket: AdmissionTicket) -> None:
        """Removes a request that waits."""
        del self._classes[ticket.priority][ticket.ticket_id]
        self.size -= 1

    def pop_next(self) -> AdmissionTicket:
        """Removes and returns the request to be served next; there must be one."""
        times = self._class_times
        best = -1
        for index, waiting in enumerate(self._classes):
            if waiting and (best < 0 or times[index] < times[best]):
                best = index
        ticket = self._classes[best].popitem(last=False)[1]
        self._clock = times[best]
        times[best] += self._class_costs[best] * ticket.cost
        self.size -= 1
        return ticket

    def pop_excess(self) -> AdmissionTicket:
        """Removes and returns the newest request of the longest class for its share."""
        return self._pop_newest(self._longest_class())

    def pop_for(self, priority: int) -> AdmissionTicket | None:
        """Removes and returns a request that gives way to a new one of a class, if any does."""
        longest = self._longest_class()
        size_after = (len(self._classes[priority]) + 1) * self._class_costs[priority]
        if longest == priority or self._relative_size(longest) <= size_after:
            return None
        return self._pop_newest(longest)

    def count_ahead(self, priority: int) -> int:
        """Returns how many requests of the same or a higher class wait."""
        return sum(len(self._classes[index]) for index in range(priority + 1))

    def _longest_class(self) -> int:
        return max(range(len(self._classes)), key=self._relative_size)

    def _relative_size(self, index: int) -> float:
        return len(self._classes[index]) * self._class_costs[index]

    def _pop_newest(self, index: int) -> AdmissionTicket:
        self.size -= 1
        return self._classes[index].popitem(last=True)[1]
