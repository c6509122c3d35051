"""Handles callers' requests: runs the stages of a request in order."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempts import AttemptRunner
from fulmarstile_daemon.services._authentication import Authentication, Authenticator
from fulmarstile_daemon.services._call import ServiceCall, compute_fingerprint
from fulmarstile_daemon.services._quota import QuotaStage
from fulmarstile_daemon.services._replies import CallReplies, read_path
from fulmarstile_daemon.services._request_server import make_error_response
from fulmarstile_services.slot_class import classify
from fulmarstile_services.wait_policy import useful_wait_s

if TYPE_CHECKING:
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import CallerResponse, ReceivedRequest
    from fulmarstile_daemon.services._stop_times import StopTimes
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services._upstream_choice import UpstreamChooser
    from fulmarstile_daemon.services._version_choice import VersionChoice
    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.document import ServiceRoute
    from fulmarstile_services.freshness import Freshness
    from fulmarstile_services.retry_budget import RetryBudget
    from fulmarstile_services.routing_table import RoutingTable
    from fulmarstile_services.slot_class import SlotClass
    from fulmarstile_services.weighted_round_robin import WeightedRoundRobin

_NOT_READY_RETRY_S: Final = 0.3
"""`retry-after` while no document is known, in seconds."""
_OUTDATED_RETRY_S: Final = 0.3
"""`retry-after` of a request whose route a newer version may have, in seconds."""
_STOPPING_RETRY_S: Final = 0.1
"""`retry-after` of a daemon that is shutting down, in seconds."""

_UNKNOWN_BODY_S: Final = 10.0
"""Longest time for the body of a request without a route, in seconds."""

_MAX_TIME_DIGITS: Final = 15
"""Longest time left that is read, in decimal digits; a longer one sets no limit."""


class CallEntry:
    """Handles the requests of the callers on this VM.

    Args:
        names: Names of headers.
        routes: Active routing table.
        round_robin: Distributes requests over the services of a route.
        directory: Directory of the known daemons.
        balancer: Records what is seen of upstreams.
        chooser: Selects upstreams.
        budget: Retry budget.
        notices: Merges what upstreams say about themselves.
        upstream: Upstream on this VM.
        links: Connections to other daemons.
        metrics: Counters.
        log: Log of the daemon.
        freshness: Age of the knowledge of the document.
        versions: Chooses the version of each attempt.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        routes: ActiveRoutes,
        round_robin: WeightedRoundRobin,
        directory: Directory,
        balancer: LeastWaitBalancer,
        chooser: UpstreamChooser,
        budget: RetryBudget,
        notices: NoticeMerger,
        upstream: LocalUpstream,
        links: DaemonLinks,
        metrics: ServiceMetrics,
        log: EventLog,
        freshness: Freshness,
        versions: VersionChoice,
    ) -> None:
        self._names = names
        self._routes = routes
        self._round_robin = round_robin
        self._directory = directory
        self._retry_budget = budget
        self._upstream = upstream
        self._metrics = metrics
        self._replies = CallReplies(names, routes, metrics, log)
        self._authenticator = Authenticator(
            names, freshness, self._replies, metrics, lambda: routes.is_behind
        )
        self.quota = QuotaStage(self._replies)
        """Refuses requests beyond their customer's quota."""
        self._attempts = AttemptRunner(
            directory,
            balancer,
            chooser,
            budget,
            notices,
            upstream,
            links,
            self._replies,
            metrics,
            log,
            versions,
        )
        self.caller_service = ""
        """Service of the upstream on this VM, passed to upstreams as the caller."""

    @property
    def stop_times(self) -> StopTimes:
        """Decides which requests are accepted during shutdown."""
        return self._attempts.stop_times

    @stop_times.setter
    def stop_times(self, stop_times: StopTimes) -> None:
        self._attempts.stop_times = stop_times

    async def run_hedges(self) -> None:
        """Starts the second attempts of hedged requests, until cancelled."""
        await self._attempts.run_hedges()

    def find_wait_s(self, request: ReceivedRequest) -> float:
        """Returns how long the caller of a request waits for the answer.

        Args:
            request: The request; its body may be missing.

        Returns:
            The time in seconds.
        """
        table = self._routes.table
        route = table.find(request.headers.get(b"host"), read_path(request)) if table else None
        return _UNKNOWN_BODY_S if route is None else self._read_wait_s(request, route)

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
            return self._replies.reject(request, reply, RefusalReason.NOT_READY)
        route = table.find(request.headers.get(b"host"), read_path(request))
        if route is None:
            return self._reject_unknown(request)
        parent = self._find_parent(request)
        identity = self._authenticator.authenticate(
            request, route, table, is_nested=parent is not None
        )
        if not isinstance(identity, Authentication):
            return identity
        call = self._open_call(identity, self._round_robin.choose(route), parent, table, scope)
        if self._directory.is_suspect(call.fingerprint):
            return self._replies.refuse(
                call, RefusalReason.QUARANTINED, "the request crashes upstreams"
            )
        if not self.stop_times.accepts(
            call.deadline, trio.current_time(), is_nested=call.has_parent
        ):
            return self._replies.refuse(
                call, RefusalReason.DRAINING, "the daemon stops", _STOPPING_RETRY_S
            )
        if call.deadline <= trio.current_time():
            # Its time has passed, for example while it waited behind others of its connection.
            return self._replies.make_cancelled(call)
        call.scope.set_deadline(
            call.deadline, partial(self._replies.make_cancelled, call), call.withdraw
        )
        call.scope.is_answering = call.is_answering
        refusal = await self.quota.admit(call)
        if refusal is not None:
            return refusal
        self._retry_budget.on_request(call.service)
        try:
            result = await self._attempts.run(call)
        except trio.Cancelled:
            if not scope.cancel_scope.cancel_called:
                self._replies.log_cut(call)
            raise
        self.quota.settle(call, result)
        return self._replies.make_final(call, result)

    def _reject_unknown(self, request: ReceivedRequest) -> CallerResponse:
        """Rejects a request without a route; for good only if no newer version may have one."""
        if self._routes.is_outdated:
            reply = make_error_response(503, "a newer configuration may exist", _OUTDATED_RETRY_S)
            return self._replies.reject(request, reply, RefusalReason.STALE_CONFIGURATION)
        reply = make_error_response(404, "no route matches")
        return self._replies.reject(request, reply, RefusalReason.NO_ROUTE)

    def _open_call(
        self,
        identity: Authentication,
        service: str,
        parent: SlotClass | None,
        table: RoutingTable,
        scope: RequestScope,
    ) -> ServiceCall:
        request, route = identity.request, identity.route
        if identity.customer is not None:
            # It is a caller's own request, whatever its id looks like.
            parent = None
        wait_s = self._read_wait_s(request, route)
        arrived_at = request.arrived_at
        return ServiceCall(
            request,
            request.headers.get(self._names.request_id),
            route,
            service,
            self.caller_service,
            deadline=arrived_at + wait_s,
            useful_until=arrived_at + useful_wait_s(route, wait_s, len(request.body)),
            priority=classify(table.effective_priority(route), parent),
            has_parent=parent is not None,
            known=self._routes.describe(),
            fingerprint=compute_fingerprint(self.caller_service, request),
            scope=scope,
            customer=identity.customer,
        )

    def _read_wait_s(self, request: ReceivedRequest, route: ServiceRoute) -> float:
        """Returns how long the caller waits for the answer, in seconds."""
        value = request.headers.get_bytes(self._names.time_left_ms)
        if value.isdigit() and len(value) <= _MAX_TIME_DIGITS:
            return min(route.timeout_s, int(value) / 1000)
        return route.timeout_s

    def _find_parent(self, request: ReceivedRequest) -> SlotClass | None:
        """Finds the class of the request for which the upstream on this VM makes this one."""
        request_id = request.headers.get_bytes(self._names.request_id)
        return self._upstream.find_parent_class(request_id)
