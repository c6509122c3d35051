"""Runs calls: claims, attempts and retries."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio
import xxhash

from fulmarstile_calls.balancing import CallSample
from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls._call import CallerGoneError, CallFailedError, make_refusal
from fulmarstile_daemon.calls._client import ExchangeError
from fulmarstile_daemon.calls._exchange import Exchange
from fulmarstile_daemon.calls._hop import for_upstream
from fulmarstile_daemon.calls._local import fingerprint
from fulmarstile_daemon.calls._pool import ConnectionPool, PoolExhaustedError
from fulmarstile_daemon.calls.context import (
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    StoredAnswer,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_calls.retries import RetryPolicy
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection
    from fulmarstile_daemon.calls._client import ClientConnection
    from fulmarstile_daemon.calls._exchange import Answer
    from fulmarstile_daemon.calls._hop import HopHeaders
    from fulmarstile_daemon.calls._local import LocalUpstream
    from fulmarstile_daemon.calls.context import CallContext
    from fulmarstile_daemon.calls.counters import CallCounters
    from fulmarstile_daemon.calls.settings import CallSettings

_ROOM_REASONS = frozenset({RefusalReason.QUEUE_FULL, RefusalReason.DEADLINE})
"""Refusals that say that an upstream has no room."""
_UPSTREAM_REASONS = frozenset(
    {
        RefusalReason.CONNECT_FAILED,
        RefusalReason.CONNECTION_LOST,
        RefusalReason.TIMEOUT,
        RefusalReason.TRUNCATED,
    }
)
"""Failures that count against an upstream."""
_LOST_REASONS = frozenset({RefusalReason.CONNECTION_LOST, RefusalReason.TRUNCATED})
"""Failures that an upstream's crash shows itself by."""


class CallRunner:
    """Brings calls to upstreams and their answers to callers.

    Args:
        settings: Settings of the call proxy.
        context: State of the daemon.
        local: Upstream beside this daemon.
        balancer: Chooses upstreams.
        retries: Decides about further attempts.
        hop: Writes the headers of forwarded calls.
        counters: Counters to keep.
        on_connection_lost: Called when the local upstream broke off an exchange, with the
            fingerprints of the calls that are in flight.
    """

    def __init__(
        self,
        settings: CallSettings,
        context: CallContext,
        local: LocalUpstream,
        balancer: Balancer,
        retries: RetryPolicy,
        hop: HopHeaders,
        counters: CallCounters,
        on_connection_lost: Callable[[tuple[bytes, ...]], None],
    ) -> None:
        self._settings = settings
        self._context = context
        self._local = local
        self._balancer = balancer
        self._retries = retries
        self._hop = hop
        self._counters = counters
        self._on_connection_lost = on_connection_lost
        self._daemons: dict[str, ConnectionPool] = {}

    @property
    def daemon_pools(self) -> tuple[ConnectionPool, ...]:
        """Pools of connections to other daemons."""
        return tuple(self._daemons.values())

    def keep_daemons(self, addresses: frozenset[str]) -> None:
        """Closes the connections to daemons that are no longer known.

        Args:
            addresses: `host:port` of the daemons that are.
        """
        for address in sorted(self._daemons.keys() - addresses):
            self._daemons.pop(address).retire()

    async def run(self, call: Call, caller: CallerConnection) -> None:
        """Runs a call and sends its answer.

        Args:
            call: The call.
            caller: Connection that it came from.

        Raises:
            CallFailedError: If there is no answer; the caller has been sent nothing.
            CallerGoneError: If the caller left, or got an answer that was cut off.
        """
        await self._receive_body(call, caller)
        self._check_quarantine(call)
        if call.route is None or not call.route.route.at_most_once:
            await self._run_attempts(call, caller)
            return
        if await self._claim(call, caller):
            await self._run_claimed(call, caller)

    async def _receive_body(self, call: Call, caller: CallerConnection) -> None:
        if not call.headers.has_body:
            await caller.receive_body()
            return
        limit = self._settings.buffered_body_limit
        if caller.wants_continue or (call.headers.content_length or 0) > limit:
            call.body_complete = False
            return
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.scope = scope
            call.body, call.body_complete = await caller.receive_small_body(limit)
        if scope.cancelled_caught:
            raise call.fail(RefusalReason.TIMEOUT, "the request body arrived too slowly")

    def _check_quarantine(self, call: Call) -> None:
        if self._context.is_quarantined(fingerprint(call)):
            raise call.fail(RefusalReason.QUARANTINED, "the request crashed upstreams")

    async def _claim(self, call: Call, caller: CallerConnection) -> bool:
        """Claims a call; if it has run before, sends the answer it got then."""
        if not call.key:
            raise call.fail(RefusalReason.KEY_MISSING, "the route needs an Idempotency-Key")
        claims = self._context.claims
        if claims is None:
            raise call.fail(RefusalReason.LOG_UNAVAILABLE, "claims are unavailable", 1.0)
        result = None
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.scope = scope
            result = await claims.claim(_claim_request(call))
        if result is None:
            raise call.fail(RefusalReason.DEADLINE, "the claim took too long", 1.0)
        if isinstance(result, ClaimRefused):
            raise CallFailedError(result.refusal)
        if isinstance(result, ClaimAnswered):
            answer = result.answer
            await caller.send_head(answer.status, list(answer.headers), answer.body, True)
            return False
        call.claim = result
        return True

    async def _run_claimed(self, call: Call, caller: CallerConnection) -> None:
        claims = self._context.claims
        claim = call.claim
        try:
            await self._run_attempts(call, caller)
        finally:
            if claims is not None and isinstance(claim, ClaimGranted):
                if call.combined_verdict is Verdict.NOT_RUN:
                    claims.on_not_run(claim)
                else:
                    claims.on_answered(claim, call.stored_answer)

    async def _run_attempts(self, call: Call, caller: CallerConnection) -> None:
        tried: frozenset[str] = frozenset()
        if call.route is not None:
            self._retries.on_call(call.route, call.attempt, call.arrived_at)
        while True:
            endpoint = self._choose(call, tried)
            refusal = await self._run_attempt(call, caller, endpoint)
            if refusal is None:
                return
            if call.answer_started:
                self._counters.broken_answers += 1
                raise CallerGoneError
            if not await self._wait_for_retry(call, refusal):
                raise CallFailedError(refusal)
            tried |= {endpoint.daemon_id}

    def _choose(self, call: Call, tried: frozenset[str]) -> UpstreamEndpoint | None:
        """Chooses an upstream; None stands for the local one of a forwarded call."""
        if call.route is None:
            return None
        now = trio.current_time()
        endpoint = self._balancer.choose(call.route.pool, now, tried)
        if endpoint is None and tried:
            endpoint = self._balancer.choose(call.route.pool, now)
        if endpoint is None:
            raise call.fail(
                RefusalReason.NO_UPSTREAM, f"no upstream of service {call.service}", 1.0
            )
        return endpoint

    async def _wait_for_retry(self, call: Call, refusal: CallRefusal) -> bool:
        if call.route is None or call.has_streamed:
            return False
        now = trio.current_time()
        decision = self._retries.decide(
            call.route, call.attempt, refusal.verdict, refusal.reason, now, call.deadline - now
        )
        if not decision.retry:
            return False
        self._counters.retries += 1
        call.start_next_attempt()
        await trio.sleep(decision.delay_s)
        return True

    async def _run_attempt(
        self, call: Call, caller: CallerConnection, endpoint: UpstreamEndpoint | None
    ) -> CallRefusal | None:
        """Runs one attempt; returns why it failed, or None if the answer was sent."""
        started_at = trio.current_time()
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
            refusal = _combine(call, error.refusal)
        finally:
            if scope.cancelled_caught:
                refusal = _timeout_refusal(call)
            if endpoint is not None:
                now = trio.current_time()
                sample = _make_sample(now - started_at, refusal)
                self._balancer.on_finished(endpoint.daemon_id, sample, now)
        if call.abandoned:
            raise CallerGoneError
        return refusal

    async def _run_local(self, call: Call, caller: CallerConnection, now: float) -> None:
        ticket_id = await self._local.enter(call, now)
        try:
            pool = self._local.pool
            connection = await _acquire(call, pool)
            try:
                exchange = Exchange(call, caller, connection, self._settings)
                answer = await exchange.run(for_upstream(call, now), to_daemon=False)
                if not answer.complete:
                    await _send_streamed(call, caller, answer, exchange)
            except CallFailedError as error:
                if error.refusal.reason in _LOST_REASONS:
                    self._on_connection_lost(self._local.fingerprints())
                raise
            finally:
                pool.release(connection)
        finally:
            self._local.leave(ticket_id)
        if answer.complete:
            await _send_complete(call, caller, answer)

    async def _run_remote(
        self, call: Call, caller: CallerConnection, address: str, now: float
    ) -> None:
        pool = self._daemons.get(address)
        if pool is None:
            pool = ConnectionPool(address, self._settings.peer_connections, self._settings)
            self._daemons[address] = pool
        connection = await _acquire(call, pool)
        try:
            exchange = Exchange(call, caller, connection, self._settings)
            answer = await exchange.run(self._hop.for_daemon(call, now), to_daemon=True)
            if not answer.complete:
                await _send_streamed(call, caller, answer, exchange)
        finally:
            pool.release(connection)
        if answer.complete:
            await _send_complete(call, caller, answer)


async def _acquire(call: Call, pool: ConnectionPool) -> ClientConnection:
    try:
        return await pool.acquire()
    except PoolExhaustedError as error:
        raise call.fail(RefusalReason.QUEUE_FULL, str(error), 1.0) from error
    except ExchangeError as error:
        raise call.fail(RefusalReason.CONNECT_FAILED, str(error), 1.0) from error


async def _send_complete(call: Call, caller: CallerConnection, answer: Answer) -> None:
    if call.claim is not None:
        call.stored_answer = StoredAnswer(answer.status, tuple(answer.headers), answer.body)
    call.answer_started = True
    await caller.send_head(answer.status, answer.headers, answer.body, True)


async def _send_streamed(
    call: Call, caller: CallerConnection, answer: Answer, exchange: Exchange
) -> None:
    call.answer_started = True
    await caller.send_head(answer.status, answer.headers, answer.body, False)
    await exchange.stream_body()
    await caller.send_body(None)


def _combine(call: Call, refusal: CallRefusal) -> CallRefusal:
    """Takes earlier attempts into the verdict of a refusal."""
    if refusal.verdict is Verdict.NOT_RUN and call.earlier_verdict is not Verdict.NOT_RUN:
        return replace(refusal, verdict=call.earlier_verdict)
    return refusal


def _timeout_refusal(call: Call) -> CallRefusal:
    verdict = call.combined_verdict
    reason = RefusalReason.TIMEOUT
    if verdict is Verdict.NOT_RUN:
        reason = RefusalReason.DEADLINE
    return make_refusal(reason, verdict, "no answer in time", status=504)


def _make_sample(latency_s: float, refusal: CallRefusal | None) -> CallSample:
    if refusal is None:
        return CallSample(latency_s)
    if refusal.verdict is Verdict.NOT_RUN and refusal.reason in _ROOM_REASONS:
        return CallSample(latency_s, refused=True)
    return CallSample(latency_s, failed=refusal.reason in _UPSTREAM_REASONS)


def _claim_request(call: Call) -> ClaimRequest:
    request = call.request
    digest = xxhash.xxh3_128(request.method + b" " + request.target + b"\0" + call.body)
    assert call.route is not None
    return ClaimRequest(
        call.customer, call.route.route.name, call.key, digest.digest(), call.deadline
    )
