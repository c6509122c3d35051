"""Concurrency slots of the upstream on this VM, and the queue for them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.admission import (
    AdmissionSettings,
    AdmissionTicket,
    Admitted,
    FairAdmission,
    Refused,
)
from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_services.slot_class import SLOT_WEIGHTS, SlotClass
from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.admission import AdmissionEffect
    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_wire.services import HopRequest

_QUEUE_PER_SLOT: Final = 4
"""Maximum number of queued requests per slot."""
_TICK_INTERVAL_S: Final = 0.02
_TARGET_LATENCY_GAIN: Final = 0.01
"""Weight of a new value in the EWMA of target latencies."""
_WITHDRAWN: Final = CallRefusal(
    RefusalReason.DRAINING, Verdict.NOT_RUN, 503, "the daemon that sent it is shutting down", 0.1
)
"""Refusal of a request that was withdrawn while it waited."""
_REPLACED: Final = CallRefusal(
    RefusalReason.NO_UPSTREAM, Verdict.NOT_RUN, 503, "the upstream was replaced", 0.1
)
"""Refusal of a request that waited for a previous incarnation of the upstream."""


class SlotRefusedError(FulmarstileError):
    """A request got no slot.

    Args:
        refusal: Reason of the refusal.
    """

    def __init__(self, refusal: CallRefusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _Waiter:
    """A request that has asked for a slot."""

    __slots__ = ("admitted", "event", "refusal")

    def __init__(self) -> None:
        self.admitted = False
        self.refusal: CallRefusal | None = None
        self.event: trio.Event | None = None


class Slots:
    """Assigns the slots of the current incarnation of the upstream to requests."""

    def __init__(self) -> None:
        self._admission = FairAdmission(AdmissionSettings(0, 0, 0))
        self._waiters: dict[int, _Waiter] = {}
        self._next_ticket = 0
        self._mean_target_ms = 0.0
        self._is_draining = False
        self._has_waiting = trio.Event()

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._admission.running

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._admission.queued

    @property
    def count(self) -> int:
        """Number of slots."""
        return self._admission.slots

    @property
    def rate_wait_s(self) -> float:
        """Time for which the rate limit alone holds back a new request, in seconds."""
        return self._admission.rate_wait_s(trio.current_time())

    def restart(self, count: int, connections: int) -> None:
        """Resets the slots for another incarnation; requests queued for the old one are refused.

        Args:
            count: Number of slots.
            connections: Maximum number of connections that the upstream accepts.
        """
        for waiter in self._waiters.values():
            if waiter.event is not None and not waiter.admitted:
                waiter.event.set()
        self._admission = FairAdmission(
            AdmissionSettings(count, count * _QUEUE_PER_SLOT, connections, SLOT_WEIGHTS)
        )
        if self._is_draining:
            self._admission.begin_draining(trio.current_time())

    def resize(self, count: int) -> None:
        """Changes the number of slots; requests that hold one keep it."""
        if count != self._admission.slots:
            self._apply(self._admission.set_slots(count, trio.current_time()))

    def set_connections(self, connections: int) -> None:
        """Changes the number of connections; requests that hold a slot keep it."""
        self._apply(self._admission.set_connections(connections, trio.current_time()))

    def set_rate_limit(self, rate_limit: float) -> None:
        """Limits how many requests start per second; 0 for no limit."""
        self._apply(self._admission.set_rate_limit(rate_limit, trio.current_time()))

    def refuse_all(self) -> None:
        """Refuses queued and later requests of this incarnation."""
        self._apply(self._admission.begin_draining(trio.current_time()))

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuses the requests that wait now; later ones may wait again.

        Args:
            reason: Why they are refused.
        """
        refusal = CallRefusal(reason, Verdict.NOT_RUN, 503, "a roll-out has ended", 0.0)
        for ticket_id in list(self._waiters):
            self._withdraw(ticket_id, refusal)

    def close(self) -> None:
        """Refuses queued and later requests of every incarnation."""
        self._is_draining = True
        self.refuse_all()

    async def tick_forever(self) -> None:
        """Refuses queued requests whose time has run out, until cancelled."""
        while True:
            if not self._admission.queued:
                self._has_waiting = trio.Event()
                await self._has_waiting.wait()
            await trio.sleep(_TICK_INTERVAL_S)
            self._apply(self._admission.on_tick(trio.current_time()))

    async def acquire(
        self, hop: HopRequest, deadline: float, useful_until: float, progress: AttemptProgress
    ) -> int:
        """Acquires a slot, waiting for one if necessary.

        Args:
            hop: The request.
            deadline: Time by which the caller needs the answer, in seconds; a free slot is
                assigned until then.
            useful_until: Time until which waiting in the queue is worthwhile, in seconds.
            progress: Allows the request to be withdrawn while it waits.

        Returns:
            Ticket to pass to `release`.

        Raises:
            SlotRefusedError: If no slot is available in time.
        """
        if progress.is_withdrawn:
            raise SlotRefusedError(_WITHDRAWN)
        admission = self._admission
        has_room = admission.has_room(trio.current_time())
        ticket_id = self._next_ticket = self._next_ticket + 1
        ticket = AdmissionTicket(
            ticket_id,
            "",
            min(hop.priority, SlotClass.OTHER),
            1.0,
            deadline if has_room else useful_until,
            self._estimate_cost(hop),
        )
        waiter = self._waiters[ticket_id] = _Waiter()
        progress.on_withdrawn = partial(self._withdraw, ticket_id)
        try:
            self._apply(admission.on_arrival(ticket, trio.current_time()))
            if not waiter.admitted and waiter.refusal is None:
                waiter.event = trio.Event()
                self._has_waiting.set()
                await waiter.event.wait()
        except BaseException:
            # Those that waited with it for a previous incarnation have been refused.
            if admission is self._admission:
                self._apply(admission.on_cancelled(ticket_id, trio.current_time()))
            raise
        finally:
            progress.on_withdrawn = None
            del self._waiters[ticket_id]
        if not waiter.admitted or admission is not self._admission:
            raise SlotRefusedError(waiter.refusal or _REPLACED)
        return ticket_id

    def release(self, ticket_id: int) -> None:
        """Releases a slot.

        Args:
            ticket_id: Ticket from `acquire`.
        """
        self._apply(self._admission.on_finished(ticket_id, trio.current_time()))

    def _withdraw(self, ticket_id: int, refusal: CallRefusal = _WITHDRAWN) -> None:
        waiter = self._waiters[ticket_id]
        if waiter.admitted or waiter.refusal is not None:
            return
        waiter.refusal = refusal
        self._apply(self._admission.on_cancelled(ticket_id, trio.current_time()))
        if waiter.event is not None:
            waiter.event.set()

    def _estimate_cost(self, hop: HopRequest) -> float:
        """Estimates the relative slot time of a request from its target latency."""
        if not self._mean_target_ms:
            self._mean_target_ms = float(hop.target_ms)
        self._mean_target_ms += _TARGET_LATENCY_GAIN * (hop.target_ms - self._mean_target_ms)
        return hop.target_ms / self._mean_target_ms

    def _apply(self, effects: Iterable[AdmissionEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Admitted):
                waiter = self._waiters[effect.ticket_id]
                waiter.admitted = True
            elif isinstance(effect, Refused):
                waiter = self._waiters[effect.ticket_id]
                waiter.refusal = effect.refusal
            if waiter.event is not None:
                waiter.event.set()
