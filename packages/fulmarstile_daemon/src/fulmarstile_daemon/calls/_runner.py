"""Runs calls: claims, attempts and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import xxhash

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls._call import CallerDisconnectedError, CallFailedError, make_refusal
from fulmarstile_daemon.calls._hedging import HedgedRunner
from fulmarstile_daemon.calls._local_upstream import compute_fingerprint
from fulmarstile_daemon.calls.context import (
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.balancing import Balancer
    from fulmarstile_calls.request import CallRefusal, UpstreamEndpoint
    from fulmarstile_calls.retries import RetryPolicy
    from fulmarstile_daemon.calls._attempts import AttemptRunner
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection
    from fulmarstile_daemon.calls.context import CallContext, StoredAnswer
    from fulmarstile_daemon.calls.counters import CallCounters
    from fulmarstile_daemon.calls.settings import CallSettings


class CallRunner:
    """Sends calls to upstreams and their answers to callers.

    Args:
        settings: Settings of the call proxy.
        context: State of the daemon.
        attempts: Runs attempts.
        balancer: Chooses upstreams.
        retries: Decides on retries and hedges.
        counters: Counters to update.
    """

    def __init__(
        self,
        settings: CallSettings,
        context: CallContext,
        attempts: AttemptRunner,
        balancer: Balancer,
        retries: RetryPolicy,
        counters: CallCounters,
    ) -> None:
        self._settings = settings
        self._context = context
        self._attempts = attempts
        self._balancer = balancer
        self._retries = retries
        self._counters = counters
        self._hedging = HedgedRunner(attempts, balancer, retries, counters)

    async def run(self, call: Call, caller: CallerConnection) -> None:
        """Runs a call and sends its answer.

        Args:
            call: The call.
            caller: Connection that it came from.

        Raises:
            CallFailedError: If there is no answer; nothing has been sent to the caller.
            CallerDisconnectedError: If the caller disconnected, or its answer was cut off.
        """
        await self._receive_body(call, caller)
        self._check_quarantine(call)
        if not call.is_at_most_once:
            await self._run_attempts(call, caller)
            return
        if await self._claim(call, caller):
            await self._run_claimed(call, caller)

    async def _receive_body(self, call: Call, caller: CallerConnection) -> None:
        if not call.headers.has_body:
            await caller.receive_body()
            return
        limit = self._settings.buffered_body_limit
        if (call.headers.content_length or 0) > limit:
            call.body_complete = False
            return
        if caller.wants_continue:
            if not call.is_at_most_once:
                call.body_complete = False
                return
            await caller.send_continue()
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.scope = scope
            call.body, call.body_complete = await caller.receive_small_body(limit)
        if scope.cancelled_caught:
            raise call.make_error(RefusalReason.TIMEOUT, "the request body arrived too slowly")

    def _check_quarantine(self, call: Call) -> None:
        if self._context.is_quarantined(compute_fingerprint(call)):
            raise call.make_error(RefusalReason.QUARANTINED, "the request crashed upstreams")

    async def _claim(self, call: Call, caller: CallerConnection) -> bool:
        """Claims a call; returns False if it ran before and its stored answer was sent."""
        if not call.body_complete:
            detail = "the body is too large for an at-most-once route"
            raise CallFailedError(
                make_refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, detail, status=413)
            )
        if not call.key:
            raise call.make_error(RefusalReason.KEY_MISSING, "the route needs an Idempotency-Key")
        claims = self._context.claims
        if claims is None:
            raise call.make_error(RefusalReason.LOG_UNAVAILABLE, "claims are unavailable", 1.0)
        result = None
        with trio.CancelScope(deadline=call.deadline) as scope:
            call.scope = scope
            result = await claims.claim(_make_claim_request(call))
        if result is None:
            raise call.make_error(RefusalReason.DEADLINE, "the claim took too long", 1.0)
        if isinstance(result, ClaimRefused):
            raise CallFailedError(result.refusal)
        if isinstance(result, ClaimAnswered):
            answer = result.answer
            if answer.body is None:
                raise CallFailedError(_make_completed_refusal(answer))
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
            endpoint = self._choose_endpoint(call, tried)
            refusal = await self._run_attempt(call, caller, endpoint)
            if refusal is None:
                return
            if call.answer_started:
                self._counters.broken_answers += 1
                raise CallerDisconnectedError
            if not await self._wait_for_retry(call, refusal):
                raise CallFailedError(refusal)
            tried |= {endpoint.daemon_id}

    def _choose_endpoint(self, call: Call, tried: frozenset[str]) -> UpstreamEndpoint | None:
        """Chooses an upstream; None means the local one, for a forwarded call."""
        if call.route is None:
            return None
        now = trio.current_time()
        endpoint = self._balancer.choose(call.route.pool, now, tried)
        if endpoint is None and tried:
            endpoint = self._balancer.choose(call.route.pool, now)
        if endpoint is None:
            raise call.make_error(
                RefusalReason.NO_UPSTREAM, f"no upstream of service {call.service}", 1.0
            )
        return endpoint

    async def _wait_for_retry(self, call: Call, refusal: CallRefusal) -> bool:
        if call.route is None or call.has_streamed_body:
            return False
        now = trio.current_time()
        decision = self._retries.decide_retry(
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
        if endpoint is not None:
            delay_s = self._hedging.find_hedge_delay(call)
            if delay_s is not None:
                return await self._hedging.run(call, caller, endpoint, delay_s)
        return await self._attempts.run(call, caller, endpoint)


def _make_completed_refusal(answer: StoredAnswer) -> CallRefusal:
    detail = f"the request ran with status {answer.status}; its answer is not stored"
    return make_refusal(RefusalReason.KEY_COMPLETED, Verdict.RAN, detail)


def _make_claim_request(call: Call) -> ClaimRequest:
    request = call.request
    digest = xxhash.xxh3_128(request.method + b" " + request.target + b"\0" + call.body)
    assert call.route is not None
    return ClaimRequest(
        call.customer, call.route.route.name, call.key, digest.digest(), call.deadline
    )
