"""Slots and connections of the upstream on the VM of this daemon."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio
import xxhash

from fulmarstile_calls.admission import (
    AdmissionSettings,
    AdmissionTicket,
    Admitted,
    FairAdmission,
    Refused,
)
from fulmarstile_calls.crash_watch import CrashWatch
from fulmarstile_calls.quarantine import (
    Quarantine,
    QuarantineSettings,
    request_fingerprint,
)
from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls._call import CallFailedError
from fulmarstile_daemon.calls.dump import PoolDump
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.connection_pool import ConnectionPool, PoolExhaustedError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_calls.admission import Admission, AdmissionEffect
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls.settings import CallSettings

_CRASH_PROBE_S: Final = 0.1
"""Time that a probing connection must stay open for the upstream to count as alive, in seconds."""


class _Waiter:
    """A call that waits for a slot."""

    __slots__ = ("admitted", "event", "refusal")

    def __init__(self) -> None:
        self.admitted = False
        self.refusal: CallRefusal | None = None
        self.event: trio.Event | None = None

    @property
    def is_decided(self) -> bool:
        return self.admitted or self.refusal is not None


class LocalUpstream:
    """Limits the use of the local upstream's slots and connections.

    Args:
        settings: Settings of the call proxy.
        make_admission: Makes the admission control for the limits of the upstream.
    """

    def __init__(
        self,
        settings: CallSettings,
        make_admission: Callable[[AdmissionSettings], Admission] = FairAdmission,
    ) -> None:
        self._settings = settings
        self._make_admission = make_admission
        self._admission: Admission | None = None
        self._pool: ConnectionPool | None = None
        self._waiters: dict[int, _Waiter] = {}
        self._running: dict[int, Call] = {}
        self._next_ticket = 0
        self._quarantine = Quarantine(QuarantineSettings())
        self._crash_watch = CrashWatch(self._quarantine)
        self._refuse_from = math.inf
        self.service = ""
        """Service of the upstream; empty while unknown."""

    @property
    def pool(self) -> ConnectionPool | None:
        """Connections to the upstream; None before it has announced itself."""
        return self._pool

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return self._admission.running if self._admission else 0

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return self._admission.queued if self._admission else 0

    def configure(self, address: str, slots: int, connections: int, now: float) -> None:
        """Applies an announcement of the upstream.

        Args:
            address: `host:port` of the upstream.
            slots: Most requests that it runs concurrently.
            connections: Most connections that it accepts.
            now: Current time in seconds.
        """
        allowed = min(slots, connections)
        if self._admission is None:
            limits = AdmissionSettings(allowed, self._settings.queue_limit, connections)
            self._admission = self._make_admission(limits)
        else:
            self._apply(self._admission.set_slots(allowed, now))
        if self._pool is None or self._pool.address != address:
            if self._pool is not None:
                self._pool.retire()
            self._pool = ConnectionPool(
                address, connections, self._settings, peer_may_read_late=True
            )
        self._pool.limit = connections

    def set_draining(self, draining: bool, now: float) -> None:
        """Sets whether the upstream is draining.

        Args:
            draining: Whether it is; new calls are refused after `drain_announce_s`.
            now: Current time in seconds.
        """
        if not draining:
            self._refuse_from = math.inf
        elif self._refuse_from == math.inf:
            self._refuse_from = now + self._settings.drain_announce_s

    def check_service(self, call: Call) -> None:
        """Checks that the upstream is of the service that a call goes to.

        Args:
            call: The call.

        Raises:
            CallFailedError: If it is of another one.
        """
        if self.service and call.service != self.service:
            detail = f"the upstream here is of service {self.service}"
            raise call.make_error(RefusalReason.NO_UPSTREAM, detail)

    async def acquire_slot(self, call: Call, now: float) -> int:
        """Acquires a slot; waits until one is free.

        Args:
            call: The call.
            now: Current time in seconds.

        Returns:
            Ticket to pass to `release_slot` when the call ends.

        Raises:
            CallFailedError: If the call is refused.
        """
        admission = self._admission
        if admission is None:
            raise call.make_error(
                RefusalReason.NO_UPSTREAM, "no upstream has announced itself", 1.0
            )
        self.check_service(call)
        if now >= self._refuse_from:
            raise call.make_error(RefusalReason.DRAINING, "the upstream is draining", 1.0)
        ticket_id = self._next_ticket = self._next_ticket + 1
        ticket = AdmissionTicket(
            ticket_id, call.customer, call.priority, call.weight, call.deadline
        )
        waiter = self._waiters[ticket_id] = _Waiter()
        try:
            self._apply(admission.on_arrival(ticket, now))
            if not waiter.is_decided:
                waiter.event = trio.Event()
                await waiter.event.wait()
        except BaseException:
            self._apply(admission.on_cancelled(ticket_id, trio.current_time()))
            raise
        finally:
            del self._waiters[ticket_id]
        if waiter.refusal is not None:
            raise CallFailedError(waiter.refusal)
        self._running[ticket_id] = call
        return ticket_id

    def release_slot(self, ticket_id: int) -> None:
        """Releases a slot.

        Args:
            ticket_id: Ticket from `acquire_slot`.
        """
        del self._running[ticket_id]
        if self._admission is not None:
            self._apply(self._admission.on_finished(ticket_id, trio.current_time()))

    def tick(self, now: float) -> None:
        """Refuses waiting calls whose deadline can no longer be met.

        Args:
            now: Current time in seconds.
        """
        if self._admission is not None:
            self._apply(self._admission.on_tick(now))

    def begin_draining(self, now: float) -> None:
        """Refuses waiting and new calls from now on.

        Args:
            now: Current time in seconds.
        """
        if self._admission is not None:
            self._apply(self._admission.begin_draining(now))

    def list_fingerprints(self) -> tuple[bytes, ...]:
        """Lists the fingerprints of the calls that hold a slot."""
        return tuple(dict.fromkeys(map(compute_fingerprint, self._running.values())))

    def on_completed_call(self, call: Call, now: float) -> None:
        """Records that the upstream answered a call completely.

        Args:
            call: The call.
            now: Current time in seconds.
        """
        self._quarantine.on_completed(compute_fingerprint(call), now)

    async def find_suspects(
        self, in_flight: tuple[bytes, ...], started_at: float
    ) -> tuple[bytes, ...] | None:
        """Checks whether a lost connection means that the upstream crashed.

        Args:
            in_flight: Fingerprints of the calls that held a slot when the connection was lost.
            started_at: Start time of the exchange on that connection, in seconds; an exchange
                that began before the last known crash was ended by that crash.

        Returns:
            Fingerprints of the calls suspected of the crash; None if the upstream still accepts
            connections, the crash is already known, or another check is running.
        """
        pool = self._pool
        if pool is None or not self._crash_watch.begin_check(in_flight, started_at):
            return None
        crashed = False
        try:
            crashed = await _is_refusing_connections(pool)
        finally:
            suspects = self._crash_watch.end_check(crashed, trio.current_time())
        if crashed:
            pool.close_idle()
        return suspects

    def close(self) -> None:
        """Closes the connections to the upstream; those in use close after their exchange."""
        if self._pool is not None:
            self._pool.retire()

    def dump(self) -> PoolDump | None:
        """Describes the connections to the upstream."""
        if self._pool is None:
            return None
        return dump_pool(self._pool)

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


def compute_fingerprint(call: Call) -> bytes:
    """Computes the fingerprint by which a repeated request is recognized.

    Args:
        call: The call.

    Returns:
        Hash of customer, method, target and body; a streamed body is represented by its length.
    """
    request = call.request
    if call.body_complete:
        body_hash = xxhash.xxh3_128_digest(call.body) if call.body else b""
    else:
        body_hash = b"streamed %d" % (call.headers.content_length or 0)
    target = request.target.decode("latin-1")
    return request_fingerprint(call.customer, request.method.decode(), target, body_hash)


def dump_pool(pool: ConnectionPool) -> PoolDump:
    """Describes a pool.

    Args:
        pool: The pool.

    Returns:
        Its address, connection counts and limit.
    """
    return PoolDump(pool.address, pool.open_count, pool.idle_count, pool.limit)


async def _is_refusing_connections(pool: ConnectionPool) -> bool:
    """Probes with a new connection; a dying process may still accept it, but it ends at once."""
    try:
        connection = await pool.open()
    except PoolExhaustedError:
        return False
    except ExchangeError:
        return True
    try:
        with trio.move_on_after(_CRASH_PROBE_S) as scope:
            await connection.wait_closed()
    finally:
        pool.release(connection)
    return not scope.cancelled_caught
