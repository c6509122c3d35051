"""Waiting requests of one customer, shared among its priority classes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.admission.admission import AdmissionTicket


class CustomerQueue:
    """Waiting requests of one customer.

    The classes share the customer's slot time by start-time fair queueing. A class that is
    rarely served is served first when it has a request, and each class has a share that the
    others cannot take.

    Args:
        virtual_time: Slot time per weight that the customer is assumed to have used already.
        class_weights: Relative shares of the classes.
    """

    __slots__ = (
        "_class_costs",
        "_class_virtual_times",
        "_virtual_clock",
        "_waiting_by_class",
        "running",
        "size",
        "virtual_time",
        "weight",
    )

    def __init__(self, virtual_time: float, class_weights: tuple[float, ...]) -> None:
        self._class_costs = tuple(1.0 / weight for weight in class_weights)
        self.weight = 1.0
        self.virtual_time = virtual_time
        """Slot time used so far, divided by the customer's weight, in seconds."""
        self.size = 0
        """Number of waiting requests."""
        self.running = 0
        """Number of requests that hold a slot."""
        self._waiting_by_class = tuple(OrderedDict[int, "AdmissionTicket"]() for _ in class_weights)
        self._class_virtual_times = [0.0] * len(class_weights)
        self._virtual_clock = 0.0

    def add(self, ticket: AdmissionTicket) -> None:
        """Adds a request."""
        waiting = self._waiting_by_class[ticket.priority]
        if not waiting:
            times = self._class_virtual_times
            times[ticket.priority] = max(times[ticket.priority], self._virtual_clock)
        waiting[ticket.ticket_id] = ticket
        self.size += 1

    def remove(self, ticket: AdmissionTicket) -> None:
        """Removes a waiting request."""
        del self._waiting_by_class[ticket.priority][ticket.ticket_id]
        self.size -= 1

    def pop_next(self) -> AdmissionTicket:
        """Removes and returns the request to be served next; there must be one."""
        times = self._class_virtual_times
        best = -1
        for index, waiting in enumerate(self._waiting_by_class):
            if waiting and (best < 0 or times[index] < times[best]):
                best = index
        ticket = self._waiting_by_class[best].popitem(last=False)[1]
        self._virtual_clock = times[best]
        times[best] += self._class_costs[best] * ticket.cost
        self.size -= 1
        return ticket

    def evict_newest(self) -> AdmissionTicket:
        """Removes and returns the newest request of the longest class relative to its share."""
        return self._pop_newest(self._longest_class())

    def evict_for(self, priority: int) -> AdmissionTicket | None:
        """Removes and returns a request to make room for a new one of a class, or returns None."""
        longest = self._longest_class()
        size_after = (len(self._waiting_by_class[priority]) + 1) * self._class_costs[priority]
        if longest == priority or self._weighted_size(longest) <= size_after:
            return None
        return self._pop_newest(longest)

    def count_ahead(self, priority: int) -> int:
        """Returns how many requests of the same or a higher class wait."""
        return sum(len(self._waiting_by_class[index]) for index in range(priority + 1))

    def _longest_class(self) -> int:
        return max(range(len(self._waiting_by_class)), key=self._weighted_size)

    def _weighted_size(self, index: int) -> float:
        return len(self._waiting_by_class[index]) * self._class_costs[index]

    def _pop_newest(self, index: int) -> AdmissionTicket:
        self.size -= 1
        return self._waiting_by_class[index].popitem(last=True)[1]
