"""Proxy in a daemon that callers are connected to."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fulmarstile_calls.balancing import BalancerSettings, CallSample, TwoChoicesBalancer
from fulmarstile_calls.claims import ClaimWon
from fulmarstile_calls.drain import Drain, DrainSettings
from fulmarstile_calls.quarantine import request_fingerprint
from fulmarstile_calls.rate_limiter import RateLimiter
from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_calls.retries import RetryBudgets, RetrySettings
from fulmarstile_testing.scenarios.calls.claims import refusal_or_outcome
from fulmarstile_testing.scenarios.calls.messages import HopReply, HopRequest
from fulmarstile_wire.records import OutcomeRecord
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.request import UpstreamEndpoint
    from fulmarstile_calls.retries import Attempt
    from fulmarstile_config import CompiledRoute
    from fulmarstile_testing.scenarios.calls.claims import ClaimResult
    from fulmarstile_testing.scenarios.calls.messages import CallRequest
    from fulmarstile_testing.scenarios.virtual_daemon import VirtualDaemon
    from fulmarstile_testing.scenarios.world import World

METHOD = "POST"


@dataclass(slots=True, eq=False)
class _Call:
    """A call that is not settled yet."""

    request: CallRequest
    route: CompiledRoute
    attempt: Attempt
    deadline_s: float
    fingerprint: bytes
    claim_id: str = ""
    is_claimed: bool = False
    attempt_id: int = 0
    """Attempt in flight; 0 for none."""
    endpoint: UpstreamEndpoint | None = None
    sent_at: float = 0.0
    tried_daemon_ids: frozenset[str] = frozenset()
    may_have_run: bool = False
    """Whether an attempt failed without proof that the request was not run."""
    is_settled: bool = False


class EntryProxy:
    """Routes calls, claims their keys, and sends them to daemons beside upstreams.

    Args:
        world: Simulated environment of the daemon.
        daemon: The daemon.
        random: Source of all random choices.
    """

    def __init__(self, world: World, daemon: VirtualDaemon, random: Random) -> None:
        zone = daemon.availability_zone
        self._world = world
        self._daemon = daemon
        self._balancer = TwoChoicesBalancer(BalancerSettings(), zone, Random(random.random()))
        self._retries = RetryBudgets(RetrySettings(), Random(random.random()))
        self._rate_limiter = RateLimiter()
        self._drain = Drain(DrainSettings())
        self._calls: dict[int, _Call] = {}
        self._endpoints: tuple[UpstreamEndpoint, ...] | None = None

    @property
    def in_flight(self) -> int:
        """Number of calls that are not settled."""
        return len(self._calls)

    @property
    def drain(self) -> Drain:
        """Phases of the planned stop of the daemon."""
        return self._drain

    def on_call(self, request: CallRequest) -> None:
        """Starts handling a call; it is settled later.

        Args:
            request: Request of the caller.
        """
        now = self._daemon.now
        route = self._daemon.core.routing_table.match(request.customer, METHOD, request.path)
        fingerprint = request_fingerprint(
            request.customer, METHOD, request.path, request.token.encode()
        )
        refusal = self._find_refusal(route, fingerprint, now)
        if refusal is not None or route is None:
            self._world.callers.on_refused(request, refusal)
            return
        attempt = self._retries.make_first_attempt()
        self._retries.on_call(route, attempt, now)
        deadline_s = now + route.route.timeout_ms / 1000
        call = _Call(request, route, attempt, deadline_s, fingerprint)
        self._calls[request.call] = call
        self._call_later(route.route.timeout_ms / 1000, lambda: self._on_timeout(call))
        if route.route.at_most_once:
            self._claim(call, now)
        else:
            self._send(call)

    def refresh_endpoints(self, now: float) -> None:
        """Passes a changed set of usable upstreams to the balancer."""
        endpoints = self._daemon.core.endpoints
        if endpoints is not self._endpoints:
            self._endpoints = endpoints
            self._balancer.replace_endpoints(endpoints, now)

    def on_daemon_ended(self, daemon_id: str) -> None:
        """Handles the loss of the connections to a daemon whose process ended."""
        for call in list(self._calls.values()):
            if call.endpoint is not None and call.endpoint.daemon_id == daemon_id:
                refusal = CallRefusal(RefusalReason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 502)
                self._on_reply(call, call.attempt_id, HopReply(refusal=refusal))

    def _find_refusal(
        self, route: CompiledRoute | None, fingerprint: bytes, now: float
    ) -> CallRefusal | None:
        if route is None:
            return CallRefusal(RefusalReason.NO_ROUTE, Verdict.NOT_RUN, 404)
        if fingerprint in self._daemon.core.quarantine:
            return CallRefusal(RefusalReason.QUARANTINED, Verdict.NOT_RUN, 422)
        return self._drain.check_new_call(now) or self._rate_limiter.check(route, now)

    def _claim(self, call: _Call, now: float) -> None:
        start = self._daemon.core.requester.claim(
            call.request.customer,
            call.request.key,
            call.fingerprint,
            now,
            wall_clock_ms=self._world.wall_clock_ms,
            deadline_s=call.deadline_s,
        )
        call.claim_id = start.claim_id
        self._daemon.claims.listen(start.claim_id, lambda result: self._on_claim(call, result))
        self._daemon.execute_effects(start.effects)

    def _on_claim(self, call: _Call, result: ClaimResult) -> None:
        if call.is_settled:
            return
        if isinstance(result, ClaimWon):
            call.is_claimed = True
            self._send(call)
            return
        answer = refusal_or_outcome(result)
        if isinstance(answer, OutcomeRecord):
            self._settle(call, HopReply(answer.body.decode()))
        else:
            self._settle(call, HopReply(refusal=answer))

    def _send(self, call: _Call) -> None:
        if call.is_settled:
            return
        now = self._daemon.now
        if call.is_claimed and not self._daemon.core.requester.may_run(call.claim_id, now):
            refusal = CallRefusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, 504)
            self._fail(call, refusal)
            return
        endpoint = self._balancer.choose(call.route.pool, now, call.tried_daemon_ids)
        if endpoint is None:
            endpoint = self._balancer.choose(call.route.pool, now)
        if endpoint is None:
            refusal = CallRefusal(RefusalReason.NO_UPSTREAM, Verdict.NOT_RUN, 503)
            self._on_attempt_failed(call, refusal)
            return
        call.endpoint = endpoint
        call.sent_at = now
        call.tried_daemon_ids |= {endpoint.daemon_id}
        self._balancer.on_started(endpoint.daemon_id, now)
        self._send_hop(call, endpoint, now)

    def _send_hop(self, call: _Call, endpoint: UpstreamEndpoint, now: float) -> None:
        attempt_id = call.attempt_id = self._world.next_attempt_id()
        route = call.route
        hop = HopRequest(
            request=call.request,
            attempt_id=attempt_id,
            priority=route.priority,
            weight=route.limit.weight if route.limit is not None else 1.0,
            remaining_s=call.deadline_s - now,
            fingerprint=call.fingerprint,
            at_most_once=route.route.at_most_once,
        )
        self._world.call_links.send(
            self._daemon,
            endpoint.daemon_id,
            hop,
            lambda reply: self._on_reply(call, attempt_id, reply),
        )

    def _on_reply(self, call: _Call, attempt_id: int, reply: HopReply) -> None:
        if call.is_settled or call.attempt_id != attempt_id:
            return
        self._report_sample(call, reply.refusal)
        if reply.refusal is None:
            self._settle(call, reply)
        else:
            self._on_attempt_failed(call, reply.refusal)

    def _on_attempt_failed(self, call: _Call, refusal: CallRefusal) -> None:
        call.may_have_run |= refusal.verdict is not Verdict.NOT_RUN
        now = self._daemon.now
        decision = self._retries.decide_retry(
            call.route,
            call.attempt,
            refusal.verdict,
            refusal.reason,
            now,
            call.deadline_s - now,
        )
        if not decision.retry:
            self._fail(call, refusal)
            return
        call.attempt = call.attempt.next()
        self._call_later(decision.delay_s, lambda: self._send(call))

    def _on_timeout(self, call: _Call) -> None:
        if call.is_settled:
            return
        verdict = Verdict.NOT_RUN
        if call.attempt_id:
            verdict = Verdict.MAY_HAVE_RUN
            self._world.call_links.cancel(self._daemon, call.endpoint.daemon_id, call.attempt_id)
        refusal = CallRefusal(RefusalReason.TIMEOUT, verdict, 504)
        self._report_sample(call, refusal)
        self._fail(call, refusal)

    def _fail(self, call: _Call, refusal: CallRefusal) -> None:
        if call.may_have_run and refusal.verdict is Verdict.NOT_RUN:
            refusal = CallRefusal(refusal.reason, Verdict.MAY_HAVE_RUN, refusal.status)
        self._settle(call, HopReply(refusal=refusal))

    def _report_sample(self, call: _Call, refusal: CallRefusal | None) -> None:
        if not call.attempt_id:
            return
        now = self._daemon.now
        failed = refusal is not None and refusal.reason in (
            RefusalReason.CONNECTION_LOST,
            RefusalReason.CONNECT_FAILED,
            RefusalReason.TIMEOUT,
            RefusalReason.NO_UPSTREAM,
        )
        refused = refusal is not None and not failed
        sample = CallSample(now - call.sent_at, failed, refused)
        self._balancer.on_finished(call.endpoint.daemon_id, sample, now)
        call.attempt_id = 0
        call.endpoint = None

    def _settle(self, call: _Call, reply: HopReply) -> None:
        call.is_settled = True
        del self._calls[call.request.call]
        self._report_claim(call, reply)
        if reply.refusal is None:
            self._world.callers.on_answered(call.request, reply.token)
        else:
            self._world.callers.on_refused(call.request, reply.refusal)

    def _report_claim(self, call: _Call, reply: HopReply) -> None:
        if not call.claim_id:
            return
        now = self._daemon.now
        requester = self._daemon.core.requester
        if not call.is_claimed:
            effects = requester.abandon(call.claim_id, now)
        elif reply.refusal is None:
            body = reply.token.encode()
            effects = requester.finish(call.claim_id, 200, "text/plain", body, now)
        elif reply.refusal.verdict is Verdict.NOT_RUN:
            effects = requester.release(call.claim_id, now)
        else:
            effects = requester.finish_unknown(call.claim_id, now)
        self._daemon.execute_effects(effects)

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._world.clock.call_later(delay_s, lambda: self._daemon.run(callback))
