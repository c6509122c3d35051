"""Interface of admission control for a daemon's local upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of one upstream."""

    slots: int
    """Requests that the upstream runs at the same time."""
    queue_limit: int
    """Requests that may wait for a slot."""
    connections: int
    """Connections that the upstream accepts; never more requests run than this."""
    class_weights: tuple[float, ...] = (27.0, 9.0, 3.0, 1.0)
    """Relative shares of a customer's priority classes, the first one for priority 0."""


@dataclass(frozen=True, slots=True)
class AdmissionTicket:
    """A request that asks for a slot of the upstream."""

    ticket_id: int
    """Unique among the requests of this daemon."""
    customer: str
    priority: int
    """Priority class of the request; 0 is the highest, as in `Priority`."""
    weight: float
    """Share of the customer relative to other customers."""
    deadline_s: float
    """Monotonic time by which the caller needs the answer, in seconds."""
    cost: float = 1.0
    """Slot time that the request is expected to take, relative to other requests."""


class AdmissionEffect:
    """Base class of the decisions that admission control returns."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Admitted(AdmissionEffect):
    """The request holds a slot and may be sent to the upstream."""

    ticket_id: int


@dataclass(frozen=True, slots=True)
class Refused(AdmissionEffect):
    """The request is not run; the refusal is sent to its caller."""

    ticket_id: int
    refusal: CallRefusal


class Admission(Protocol):
    """Decides which requests hold the upstream's slots, which wait and which are refused."""

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        ...

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        ...

    def on_arrival(self, ticket: AdmissionTicket, now: float) -> list[AdmissionEffect]:
        """Admits, queues or refuses a request.

        Args:
            ticket: The request.
            now: Monotonic time in seconds.

        Returns:
            Effects, also for other requests; none for a request that waits.
        """
        ...

    def on_finished(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """Frees the slot of a request that the upstream has finished."""
        ...

    def on_cancelled(self, ticket_id: int, now: float) -> list[AdmissionEffect]:
        """Removes a request whose caller has disconnected.

        A request that holds a slot is reported here only once the upstream has stopped
        working on it.
        """
        ...

    def on_tick(self, now: float) -> list[AdmissionEffect]:
        """Refuses the waiting requests whose deadline can no longer be met."""
        ...

    def set_slots(self, slots: int, now: float) -> list[AdmissionEffect]:
        """Changes the number of slots; requests that hold one keep it."""
        ...

    def begin_draining(self, now: float) -> list[AdmissionEffect]:
        """Refuses all waiting and later requests; running ones finish."""
        ...
