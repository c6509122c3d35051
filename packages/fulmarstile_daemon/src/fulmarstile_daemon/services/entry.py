"""Handles callers' requests: routing, upstream selection, attempts and the reply."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._call import (
    AttemptResult,
    ServiceCall,
    compute_fingerprint,
    make_failure,
)
from fulmarstile_daemon.services._hedges import Hedge, HedgeScheduler
from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._request_server import make_error_response
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services._stop_times import StopTimes
from fulmarstile_daemon.services.events import (
    AttemptFailed,
    CallEnded,
    CallRejected,
    CallServed,
    DependencyLost,
    HedgeStarted,
    RequestCut,
)
from fulmarstile_services.hedging import HedgeTimer
from fulmarstile_services.retry_policy import RetryDecision, RetryPolicy
from fulmarstile_services.slot_class import classify
from fulmarstile_services.wait_policy import retry_after_s, useful_wait_s
from fulmarstile_wire.services import HopRequest, MemberPhase
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.documents import ActiveRoutes
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.document import ServiceRoute
    from fulmarstile_services.retry_budget import RetryBudget
    from fulmarstile_services.routing_table import RoutingTable
    from fulmarstile_services.weighted_round_robin import WeightedRoundRobin
    from fulmarstile_wire.services import HopOutcome, Member

_NOT_READY_RETRY_S: Final = 0.3
"""`retry-after` while no document is known, in seconds."""
_NO_UPSTREAM_RETRY_S: Final = 0.25
"""`retry-after` while a service has no upstream, in seconds."""
_STOPPING_RETRY_S: Final = 0.1
"""`retry-after` of a daemon that is shutting down, in seconds."""


class CallEntry:
    """Handles the requests of the callers on this VM.

    Args:
        names: Names of headers.
        routes: Active routing table.
        round_robin: Distributes requests over the services of a route.
        directory: Directory of the known daemons.
        balancer: Selects upstreams.
        budget: Retry budget.
        notices: Merges what upstreams say about themselves.
        upstream: Upstream on this VM.
        links: Connections to other daemons.
        metrics: Counters.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        routes: ActiveRoutes,
        round_robin: WeightedRoundRobin,
        directory: Directory,
        balancer: LeastWaitBalancer,
        budget: RetryBudget,
        notices: NoticeMerger,
        upstream: LocalUpstream,
        links: DaemonLinks,
        metrics: ServiceMetrics,
        log: EventLog,
    ) -> None:
        self._names = names
        self._routes = routes
        self._round_robin = round_robin
        self._directory = directory
        self._balancer = balancer
        self._retry_budget = budget
        self._retry_policy = RetryPolicy(budget)
        self._hedge_timer = HedgeTimer()
        self._hedges = HedgeScheduler()
        self._notices = notices
        self._upstream = upstream
        self._links = links
        self._metrics = metrics
        self._log = log
        self.caller_service = ""
        """Service of the upstream on this VM, passed to upstreams as the caller."""
        self.stop_times = StopTimes()
        """Decides which requests are accepted during shutdown."""

    async def run_hedges(self) -> None:
        """Starts the second attempts of hedged requests, until cancelled."""
        await self._hedges.start_due_hedges()

    async def handle(self, request: ReceivedRequest, scope: RequestScope) -> CallerResponse:
        """Handles a request.

        Args:
            request: The request.
            scope: Cancel scope, whose deadline is set.

        Returns:
            The response of an upstream, or one of the daemon itself.
        """
        table = self._routes.table
        if table is None:
            reply = make_error_response(503, "no configuration is known yet", _NOT_READY_RETRY_S)
            return self._reject(request, reply, RefusalReason.NOT_READY)
        route = table.find(request.headers.get(b"host"), _read_path(request))
        if route is None:
            reply = make_error_response(404, "no route matches")
            return self._reject(request, reply, RefusalReason.NO_ROUTE)
        call = self._open_call(request, route, table, scope)
        if self._directory.is_suspect(call.fingerprint):
            self._metrics.count_refusal(RefusalReason.QUARANTINED)
            return self._finish(call, make_error_response(503, "the request crashes upstreams"), "")
        # A request that runs on this VM would fail without the nested calls of its upstream.
        is_accepted = call.has_parent or self.stop_times.accepts(call.deadline, trio.current_time())
        if not is_accepted:
            self._metrics.count_refusal(RefusalReason.DRAINING)
            reply = make_error_response(503, "the daemon stops", _STOPPING_RETRY_S)
            return self._finish(call, reply, RefusalReason.DRAINING.value, _STOPPING_RETRY_S)
        self._retry_budget.on_request(call.service)
        try:
            return await self._run(call)
        except trio.Cancelled:
            if not scope.cancel_scope.cancel_called:
                self._log_cut(call)
            raise

    def _log_cut(self, call: ServiceCall) -> None:
        now = trio.current_time()
        self._log.write(
            RequestCut(
                request_id=call.request_id,
                stage=call.progress.stage.value,
                daemon_tried=call.last_daemon,
                body_bytes=len(call.request.body),
                elapsed_ms=round((now - call.request.arrived_at) * 1000, 1),
                attempt_ms=round((now - call.attempted_at) * 1000, 1),
                left_ms=round((call.deadline - now) * 1000, 1),
            )
        )

    def _reject(
        self, request: ReceivedRequest, reply: CallerResponse, reason: RefusalReason
    ) -> CallerResponse:
        """Logs and returns the rejection of a request that has no route."""
        table = self._routes.table
        self._metrics.count_refusal(reason)
        self._log.write(
            CallRejected(
                request_id=request.headers.get(self._names.request_id),
                status=reply.status,
                reason=reason.value,
                host=request.headers.get(b"host"),
                path=_read_path(request),
                document_version=-1 if table is None else table.version,
            )
        )
        return reply

    def _open_call(
        self,
        request: ReceivedRequest,
        route: ServiceRoute,
        table: RoutingTable,
        scope: RequestScope,
    ) -> ServiceCall:
        wait_s = route.timeout_s
        value = request.headers.get_bytes(self._names.time_left_ms)
        if value.isdigit():
            wait_s = min(wait_s, int(value) / 1000)
        arrived_at = request.arrived_at
        request_id = request.headers.get_bytes(self._names.request_id)
        parent = self._upstream.find_parent_class(request_id)
        return ServiceCall(
            request,
            request_id.decode("utf-8", "replace"),
            route,
            self._round_robin.choose(route),
            self.caller_service,
            deadline=arrived_at + wait_s,
            useful_until=arrived_at + useful_wait_s(route, wait_s, len(request.body)),
            priority=classify(table.effective_priority(route), parent),
            has_parent=parent is not None,
            document_version=table.version,
            fingerprint=compute_fingerprint(self.caller_service, request),
            scope=scope,
        )

    async def _run(self, call: ServiceCall) -> CallerResponse:
        tried: set[str] = set()
        reason = RefusalReason.NO_UPSTREAM
        if self._directory.serving(call.service):
            reason = RefusalReason.QUEUE_FULL
        result = AttemptResult(make_failure(Verdict.NOT_RUN, reason))
        call.scope.set_deadline(
            call.deadline, partial(self._make_cancelled_reply, call), call.withdraw
        )
        while not call.is_withdrawn:
            member = self._select_member(call, frozenset(tried))
            if member is None:
                break
            tried.add(member.name)
            result = await self._attempt_hedged(call, member, tried)
            if result.is_success:
                break
            call.history.add_outcome(result.outcome)
            call.last_failure = result.response or call.last_failure
            if not self._should_retry(call, member, result.outcome):
                break
        return self._make_final_reply(call, result)

    def _select_member(self, call: ServiceCall, tried: frozenset[str]) -> Member | None:
        members = self._directory.serving(call.service)
        size = len(call.request.body)
        target_s = call.route.target_latency_s
        return self._balancer.choose(
            members, size, trio.current_time(), tried, call.priority, target_s
        )

    async def _attempt_hedged(
        self, call: ServiceCall, member: Member, tried: set[str]
    ) -> AttemptResult:
        """Runs an attempt, and hedges it if its response is late."""
        delay_s = self._hedge_timer.delay_s(call.route)
        if delay_s is None or call.history.upstream_attempts + 2 > call.route.max_attempts:
            return await self._attempt(call, member)
        hedge = Hedge(
            trio.current_time() + delay_s,
            partial(self._start_hedge, call, tried),
            partial(self._finish_early, call),
        )
        return await self._hedges.run(hedge, partial(self._attempt, call, member))

    def _start_hedge(
        self, call: ServiceCall, tried: set[str]
    ) -> Callable[[], Awaitable[AttemptResult]] | None:
        if call.is_withdrawn:
            return None
        member = self._select_member(call, frozenset(tried))
        if member is None or not self._retry_budget.try_spend_for_hedge(call.service):
            return None
        tried.add(member.name)
        call.history.upstream_attempts += 1
        self._metrics.hedges += 1
        self._log.write(HedgeStarted(request_id=call.request_id, daemon_tried=member.name))
        return partial(self._attempt, call, member)

    def _finish_early(self, call: ServiceCall, result: AttemptResult) -> None:
        """Ends a request whose second attempt succeeded before the first one."""
        call.scope.finish_early(partial(self._make_final_reply, call, result))

    async def _attempt(self, call: ServiceCall, member: Member) -> AttemptResult:
        now = call.attempted_at = trio.current_time()
        progress = call.progress = AttemptProgress()
        call.unresolved.append(progress)
        call.last_daemon = member.name
        call.last_upstream = member.upstream_id
        hop = HopRequest(
            call.service,
            member.upstream_id,
            call.caller_service,
            call.priority,
            max(1, int((call.deadline - now) * 1000)),
            max(0, int((call.useful_until - now) * 1000)),
            call.route.is_idempotent,
            max(1, int(call.route.target_latency_s * 1000)),
            call.fingerprint,
            self._directory.notices.find_restriction(member),
        )
        self._balancer.on_sent(member, now)
        result: AttemptResult | None = None
        try:
            result = await self._send(call, member, hop, progress)
            self._notices.merge(result.outcome.notice, member.name)
            if result.outcome.verdict is Verdict.NOT_RUN:
                call.unresolved.remove(progress)
            return result
        finally:
            ended_at = trio.current_time()
            outcome = result.outcome if result else None
            # A cancelled attempt counts as a failure only if it exceeded the target latency.
            failed = ended_at - now > call.route.target_latency_s
            if outcome is not None:
                failed = outcome.verdict is Verdict.MAY_HAVE_RUN
            if result is not None and result.response is not None and not result.is_success:
                failed = True
            if outcome is not None and outcome.reached_upstream and outcome.reason:
                failed = True
            self._balancer.on_ended(member, outcome, failed, ended_at, call.priority)
            if outcome is not None and outcome.spent_ms > 0.0:
                network_delay_s = ended_at - now - outcome.spent_ms / 1000
                self._balancer.on_network_delay(member, len(call.request.body), network_delay_s)
            self._metrics.observe_attempt(ended_at - now)
            if result is not None and result.is_success:
                self._hedge_timer.observe(call.route, ended_at - now)

    async def _send(
        self, call: ServiceCall, member: Member, hop: HopRequest, progress: AttemptProgress
    ) -> AttemptResult:
        if member.name == self._directory.local_member.name:
            return await self._upstream.run(
                hop, call.request, call.deadline, call.useful_until, progress
            )
        try:
            return await self._links.forward(member, hop, call.request, progress)
        except DaemonUnreachableError as error:
            if self._balancer.set_reachable(member, False, trio.current_time()):
                self._log.write(DependencyLost(dependency=member.name, reason=str(error)))
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED))

    def _should_retry(self, call: ServiceCall, member: Member, outcome: HopOutcome) -> bool:
        if outcome.phase is not MemberPhase.SERVING:
            self._balancer.set_reachable(member, True, trio.current_time())
        left_s = call.deadline - trio.current_time()
        if call.is_withdrawn:
            decision = RetryDecision(False, "the daemon is shutting down")
        else:
            decision = self._retry_policy.decide(
                call.route, call.service, call.history, outcome, left_s
            )
        self._metrics.count_attempt_failure(outcome.reason, decision.retry)
        if not outcome.reached_upstream:
            call.refused_by.append(f"{member.name}:{outcome.reason}")
            return decision.retry
        self._log.write(
            AttemptFailed(
                request_id=call.request_id,
                daemon_tried=member.name,
                verdict=outcome.verdict.value,
                reason=outcome.reason or "upstream-error",
                retried=decision.retry,
                why=decision.why,
                left_ms=round(left_s * 1000, 1),
                running=outcome.running,
                queued=outcome.queued,
                slots=outcome.slots,
            )
        )
        return decision.retry

    def _make_cancelled_reply(self, call: ServiceCall) -> CallerResponse:
        """Creates the reply after the deadline of the request or the end of the shutdown."""
        verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
        reason = RefusalReason.DRAINING if call.is_withdrawn else RefusalReason.TIMEOUT
        failure = make_failure(verdict, reason)
        return self._make_final_reply(call, AttemptResult(failure))

    def _make_final_reply(self, call: ServiceCall, result: AttemptResult) -> CallerResponse:
        """Creates the reply from the last attempt."""
        outcome = result.outcome
        response = result.response
        if response is None and outcome.verdict is Verdict.NOT_RUN:
            # An upstream's failure response is more informative than the refusal of a retry.
            response = call.last_failure
        if response is not None:
            return self._finish(
                call,
                CallerResponse(response.status, response.headers.end_to_end, response.body),
                "",
            )
        if not call.may_have_run:
            delay_s = self._retry_after(call, outcome)
            reply = make_error_response(503, f"not run: {outcome.reason}", delay_s)
            return self._finish(call, reply, outcome.reason, delay_s)
        status = 504 if outcome.reason == RefusalReason.TIMEOUT.value else 502
        reply = make_error_response(status, f"no answer: {outcome.reason}")
        return self._finish(call, reply, outcome.reason)

    def _retry_after(self, call: ServiceCall, outcome: HopOutcome) -> float:
        left_s = max(0.0, call.deadline - trio.current_time())
        wanted_s = outcome.retry_after_ms / 1000 or _NO_UPSTREAM_RETRY_S
        return retry_after_s(call.route, wanted_s, left_s)

    def _finish(
        self, call: ServiceCall, reply: CallerResponse, reason: str, delay_s: float = 0.0
    ) -> CallerResponse:
        elapsed_s = trio.current_time() - call.request.arrived_at
        self._metrics.count_answer(reply.status, reason, elapsed_s)
        attempts = call.history.upstream_attempts + call.history.refusals + 1
        kind = CallServed if reply.status < 400 and attempts == 1 else CallEnded
        self._log.write(
            kind(
                request_id=call.request_id,
                status=reply.status,
                route=call.route.host + call.route.prefix,
                service=call.service,
                document_version=call.document_version,
                elapsed_ms=round(elapsed_s * 1000, 1),
                attempts=attempts,
                upstream=call.last_upstream,
                daemon_tried=call.last_daemon,
                reason=reason,
                retry_after_s=round(delay_s, 3),
                refused_by=tuple(call.refused_by),
                caller=call.caller_service,
            )
        )
        return reply


def _read_path(request: ReceivedRequest) -> str:
    """Returns the path of a request without its query."""
    return request.target.partition(b"?")[0].decode("latin-1")
