"""Attempts: each sends a call to one upstream and the answer to the caller."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.balancing import CallSample
from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls._call import CallerDisconnectedError, CallFailedError, make_refusal
from fulmarstile_daemon.calls._exchange import Exchange
from fulmarstile_daemon.calls._hop import build_upstream_headers
from fulmarstile_daemon.calls.context import StoredAnswer
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.connection_pool import ConnectionPool, PoolExhaustedError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_calls.scheduling_delay import SchedulingDelay
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection
    from fulmarstile_daemon.calls._exchange import Answer
    from fulmarstile_daemon.calls._hop import HopHeaders
    from fulmarstile_daemon.calls._local_upstream import LocalUpstream
    from fulmarstile_daemon.calls.settings import CallSettings
    from fulmarstile_http.client_connection import ClientConnection

_NO_CAPACITY_REASONS: Final = frozenset({RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE})
"""Refusals of an upstream that has no capacity left."""
_UPSTREAM_FAILURE_REASONS: Final = frozenset(
    {
        RefusalReason.CONNECT_FAILED,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TIMEOUT,
        RefusalReason.TRUNCATED,
    }
)
"""Failures that count against an upstream."""
_POSSIBLE_CRASH_REASONS: Final = frozenset({RefusalReason.CONNECTION_LOST, RefusalReason.TRUNCATED})
"""Failures that may be due to a crash of the upstream."""


class AttemptRunner:
    """Runs attempts over the local upstream or another daemon.

    Args:
        settings: Settings of the call proxy.
        local: Upstream on the VM of this daemon.
        balancer: Receives the outcome of attempts.
        hop: Builds the headers of forwarded calls.
        scheduling_delay: Scheduling delay of this process.
        on_connection_lost: Called when the connection of an exchange with the local upstream was
            lost, with the fingerprints of the calls in flight and the start time of the exchange.
    """

    def __init__(
        self,
        settings: CallSettings,
        local: LocalUpstream,
        balancer: Balancer,
        hop: HopHeaders,
        scheduling_delay: SchedulingDelay,
        on_connection_lost: Callable[[tuple[bytes, ...], float], None],
    ) -> None:
        self._settings = settings
        self._local = local
        self._balancer = balancer
        self._hop = hop
        self._scheduling_delay = scheduling_delay
        self._on_connection_lost = on_connection_lost
        self._daemon_pools: dict[str, ConnectionPool] = {}

    @property
    def daemon_pools(self) -> tuple[ConnectionPool, ...]:
        """Pools of connections to other daemons."""
        return tuple(self._daemon_pools.values())

    def allow_late_readers(self, now: float) -> None:
        """Keeps the connections to daemons that are alive but read late, as upstreams may.

        Args:
            now: The current time, in seconds.
        """
        for pool in self._daemon_pools.values():
            pool.allow_late_readers(now)

    def close_unknown_daemons(self, addresses: frozenset[str]) -> None:
        """Closes the connections to daemons that are no longer known.

        Args:
            addresses: `host:port` of the known daemons.
        """
        for address in sorted(self._daemon_pools.keys() - addresses):
            self._daemon_pools.pop(address).retire()

    async def run(
        self, call: Call, caller: CallerConnection, endpoint: UpstreamEndpoint | None
    ) -> CallRefusal | None:
        """Runs one attempt.

        Args:
            call: The call.
            caller: Connection that it came from.
            endpoint: Upstream to use; None for the local one, if another daemon forwarded the call.

        Returns:
            Why the attempt failed, or None if the answer was sent.

        Raises:
            CallerDisconnectedError: If the caller disconnected.
        """
        started_at = trio.current_time()
        delay_before_s = self._scheduling_delay.measure(started_at)
        if endpoint is not None:
            self._balancer.on_started(endpoint.daemon_id, started_at)
        refusal: CallRefusal | None = None
        scope = call.scope = trio.CancelScope(deadline=call.deadline)
        try:
            with scope:
                if endpoint is None or endpoint.is_local:
                    await self._run_local(call, caller, started_at)
                else:
                    await self._run_remote(call, caller, endpoint.calls_address, started_at)
        except CallFailedError as error:
            refusal = _add_earlier_verdict(call, error.refusal)
        finally:
            if scope.cancelled_caught:
                refusal = _make_timeout_refusal(call)
            if endpoint is not None:
                now = trio.current_time()
                elapsed_s = now - started_at
                was_delayed = self._scheduling_delay.was_significant_during(
                    delay_before_s, elapsed_s, now
                )
                sample = _make_sample(call, elapsed_s, refusal, was_delayed)
                self._balancer.on_finished(endpoint.daemon_id, sample, now)
        if call.abandoned:
            raise CallerDisconnectedError
        return refusal

    async def _run_local(self, call: Call, caller: CallerConnection, now: float) -> None:
        ticket_id = await self._local.acquire_slot(call, now)
        started_at = trio.current_time()
        try:
            pool = self._local.pool
            connection = await _acquire(call, pool)
            try:
                # While the call waited, an upstream of another service may have replaced this one.
                self._local.check_service(call)
                exchange = Exchange(call, caller, connection, self._settings)
                answer = await exchange.run(build_upstream_headers(call, now), to_daemon=False)
                if not answer.complete:
                    await _send_streamed(call, caller, answer, exchange)
                self._local.on_completed_call(call, trio.current_time())
            except CallFailedError as error:
                if error.refusal.reason in _POSSIBLE_CRASH_REASONS:
                    self._on_connection_lost(self._local.list_fingerprints(), started_at)
                raise
            finally:
                _release(call, pool, connection)
        finally:
            self._local.release_slot(ticket_id)
        if answer.complete:
            await _send_complete(call, caller, answer)

    async def _run_remote(
        self, call: Call, caller: CallerConnection, address: str, now: float
    ) -> None:
        pool = self._daemon_pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self._settings.peer_connections, self._settings)
            self._daemon_pools[address] = pool
        connection = await _acquire(call, pool)
        try:
            exchange = Exchange(call, caller, connection, self._settings)
            answer = await exchange.run(self._hop.build_daemon_headers(call, now), to_daemon=True)
            if not answer.complete:
                await _send_streamed(call, caller, answer, exchange)
        finally:
            _release(call, pool, connection)
        if answer.complete:
            await _send_complete(call, caller, answer)


async def _acquire(call: Call, pool: ConnectionPool) -> ClientConnection:
    try:
        return await pool.acquire()
    except PoolExhaustedError as error:
        raise call.make_error(RefusalReason.QUEUE_FULL, str(error), 1.0) from error
    except ExchangeError as error:
        raise call.make_error(RefusalReason.CONNECT_FAILED, str(error), 1.0) from error


def _release(call: Call, pool: ConnectionPool, connection: ClientConnection) -> None:
    """Returns a connection to its pool; if it was reused and timed out, closes the idle ones."""
    timed_out = call.scope is not None and call.scope.cancel_called and not call.abandoned
    if timed_out and not call.is_waiting_for_caller:
        pool.report_timeout(connection)
    pool.release(connection)


async def _send_complete(call: Call, caller: CallerConnection, answer: Answer) -> None:
    if call.claim is not None:
        call.stored_answer = StoredAnswer(answer.status, tuple(answer.headers), answer.body)
    _begin_answer(call)
    await caller.send_head(answer.status, answer.headers, answer.body, True)


async def _send_streamed(
    call: Call, caller: CallerConnection, answer: Answer, exchange: Exchange
) -> None:
    _begin_answer(call)
    await caller.send_head(answer.status, answer.headers, answer.body, False)
    await exchange.stream_body()
    if call.claim is not None:
        call.stored_answer = StoredAnswer(answer.status, tuple(answer.headers), None)
    await caller.send_body(None)


def _begin_answer(call: Call) -> None:
    if call.try_to_win is not None:
        call.try_to_win(call)
    call.answer_started = True


def _add_earlier_verdict(call: Call, refusal: CallRefusal) -> CallRefusal:
    """Replaces a `NOT_RUN` verdict if this or an earlier attempt may have reached an upstream."""
    if refusal.verdict is Verdict.NOT_RUN and call.combined_verdict is not Verdict.NOT_RUN:
        return replace(refusal, verdict=call.combined_verdict)
    return refusal


def _make_timeout_refusal(call: Call) -> CallRefusal:
    verdict = call.combined_verdict
    reason = RefusalReason.TIMEOUT
    if verdict is Verdict.NOT_RUN:
        reason = RefusalReason.DEADLINE
    return make_refusal(reason, verdict, "no answer in time", status=504)


def _make_sample(
    call: Call, latency_s: float, refusal: CallRefusal | None, was_delayed: bool
) -> CallSample:
    """Makes a sample of an attempt; a timeout due to this daemon or the caller is no failure."""
    if refusal is None:
        return CallSample(latency_s)
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in _NO_CAPACITY_REASONS:
        return CallSample(latency_s, refused=True)
    if refusal.reason is RefusalReason.TIMEOUT and (was_delayed or call.is_waiting_for_caller):
        return CallSample(latency_s)
    return CallSample(latency_s, failed=refusal.reason in _UPSTREAM_FAILURE_REASONS)
