"""Attempts of a request: choice of the upstream, forwarding, hedging and retries."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._call import AttemptResult, ServiceCall, make_failure
from fulmarstile_daemon.services._hedges import Hedge, HedgeScheduler
from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._stop_times import StopTimes
from fulmarstile_daemon.services.events import AttemptFailed, DependencyLost, HedgeStarted
from fulmarstile_services.hedging import HedgeTimer
from fulmarstile_services.retry_policy import RetryDecision, RetryPolicy
from fulmarstile_wire.services import HopRequest, MemberPhase
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._replies import CallReplies
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services._upstream_choice import UpstreamChooser
    from fulmarstile_daemon.services._version_choice import VersionChoice
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.retry_budget import RetryBudget
    from fulmarstile_wire.services import HopOutcome, Member


class AttemptRunner:
    """Sends admitted requests to upstreams until one responds or no attempt is left.

    Args:
        directory: Directory of the known daemons.
        balancer: Records what is seen of upstreams.
        chooser: Selects upstreams.
        budget: Retry budget.
        notices: Merges what upstreams say about themselves.
        upstream: Upstream on this VM.
        links: Connections to other daemons.
        replies: Creates the replies of requests that end early.
        metrics: Counters.
        log: Log of the daemon.
        versions: Chooses the version of each attempt.
    """

    def __init__(
        self,
        directory: Directory,
        balancer: LeastWaitBalancer,
        chooser: UpstreamChooser,
        budget: RetryBudget,
        notices: NoticeMerger,
        upstream: LocalUpstream,
        links: DaemonLinks,
        replies: CallReplies,
        metrics: ServiceMetrics,
        log: EventLog,
        versions: VersionChoice,
    ) -> None:
        self._versions = versions
        self._directory = directory
        self._balancer = balancer
        self._chooser = chooser
        self._retry_budget = budget
        self._retry_policy = RetryPolicy(budget)
        self._hedge_timer = HedgeTimer()
        self._hedges = HedgeScheduler()
        self._notices = notices
        self._upstream = upstream
        self._links = links
        self._replies = replies
        self._metrics = metrics
        self._log = log
        self.stop_times = StopTimes()
        """Tells when this daemon may break off what it has sent."""

    async def run_hedges(self) -> None:
        """Starts the second attempts of hedged requests, until cancelled."""
        await self._hedges.start_due_hedges()

    async def run(self, call: ServiceCall) -> AttemptResult:
        """Sends a request to upstreams, one after the other.

        Args:
            call: The request, whose scope has its deadline; its history is updated.

        Returns:
            The result of the last attempt.
        """
        tried: set[str] = set()
        reason = RefusalReason.NO_UPSTREAM
        if self._directory.serving(call.service):
            reason = RefusalReason.QUEUE_FULL
        result = AttemptResult(make_failure(Verdict.NOT_RUN, reason))
        while call.may_be_sent:
            member = await self._select_member(call, frozenset(tried))
            if member is None or not call.may_be_sent:
                break
            tried.add(member.name)
            result = await self._attempt_hedged(call, member, tried)
            if result.is_success:
                break
            call.history.add_outcome(result.outcome)
            call.last_failure = result.response or call.last_failure
            call.is_version_moved |= result.outcome.reason == RefusalReason.VERSION_MOVED.value
            if _was_cut(result.outcome):
                # Those that had no room when it was sent may have some now.
                tried = {member.name}
                call.history.refusals = 0
            if not self._should_retry(call, member, result.outcome):
                break
        return result

    async def _select_member(self, call: ServiceCall, tried: frozenset[str]) -> Member | None:
        size = len(call.request.body)
        target_s = call.route.target_latency_s
        members = self._versions.choose(call)
        member = await self._chooser.choose(members, size, tried, call.priority, target_s)
        if member is None and (others := self._versions.find_alternative(call, members)):
            member = await self._chooser.choose(others, size, tried, call.priority, target_s)
        return member

    def _select_for_hedge(self, call: ServiceCall, tried: frozenset[str]) -> Member | None:
        members = self._versions.choose(call)
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
        member = self._select_for_hedge(call, frozenset(tried))
        if member is None or not self._retry_budget.try_spend_for_hedge(call.service):
            return None
        tried.add(member.name)
        call.history.upstream_attempts += 1
        self._metrics.hedges += 1
        self._log.write(HedgeStarted(request_id=call.request_id, daemon_tried=member.name))
        return partial(self._attempt, call, member)

    def _finish_early(self, call: ServiceCall, result: AttemptResult) -> None:
        """Ends a request whose second attempt succeeded before the first one."""
        call.scope.finish_early(partial(self._replies.make_final, call, result))

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
            "" if call.customer is None else call.customer.name,
            self._versions.find_route(call),
            self._find_sender_end_ms(now),
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
            if hop.route:
                self._metrics.count_version(call.service, member.upstream_version, failed)
            if result is not None and result.is_success:
                self._hedge_timer.observe(call.route, ended_at - now)

    def _find_sender_end_ms(self, now: float) -> int:
        """Returns the time until this daemon may break off requests, in ms; 0 if it isn't stopping.

        Args:
            now: Current time in seconds.
        """
        may_break_off_at = self.stop_times.may_break_off_at
        if may_break_off_at == math.inf:
            return 0
        return int(max(1.0, (may_break_off_at - now) * 1000))

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
        if not call.may_be_sent:
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
                document_version=call.known.version,
                document_active_s=call.known.active_s,
                document_silent_s=call.known.silent_s,
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


def _was_cut(outcome: HopOutcome) -> bool:
    """Checks whether the daemon beside the upstream broke a request off because it terminates."""
    is_draining = outcome.reason == RefusalReason.DRAINING.value
    return is_draining and outcome.verdict is Verdict.MAY_HAVE_RUN
