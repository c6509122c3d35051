"""Replies to callers, and the log lines that explain them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, ServiceCall, make_failure
from fulmarstile_daemon.services._request_server import make_error_response
from fulmarstile_daemon.services._server_connection import CallerResponse
from fulmarstile_daemon.services.events import CallEnded, CallRejected, CallServed, RequestCut
from fulmarstile_services.wait_policy import retry_after_s
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_wire.services import HopOutcome

_NO_UPSTREAM_RETRY_S: Final = 0.25
"""`retry-after` while a service has no upstream, in seconds."""


class CallReplies:
    """Creates, counts and logs the replies to callers.

    Args:
        names: Names of headers.
        routes: Active routing table.
        metrics: Counters.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        routes: ActiveRoutes,
        metrics: ServiceMetrics,
        log: EventLog,
    ) -> None:
        self._names = names
        self._routes = routes
        self._metrics = metrics
        self._log = log

    def reject(
        self,
        request: ReceivedRequest,
        reply: CallerResponse,
        reason: RefusalReason,
        document_age_s: float | None = None,
    ) -> CallerResponse:
        """Counts and logs the rejection of a request for which there is no `ServiceCall` yet.

        Args:
            request: The request.
            reply: The rejection.
            reason: Why it is rejected.
            document_age_s: Age of the knowledge of the document, in seconds; None if it plays no
                part or there is none.

        Returns:
            The rejection.
        """
        known = self._routes.describe()
        self._metrics.count_refusal(reason)
        self._log.write(
            CallRejected(
                request_id=request.headers.get(self._names.request_id),
                document_version=known.version,
                document_active_s=known.active_s,
                document_silent_s=known.silent_s,
                status=reply.status,
                reason=reason.value,
                host=request.headers.get(b"host"),
                path=read_path(request),
                document_offset=self._routes.known_offset,
                document_age_s=document_age_s,
            )
        )
        return reply

    def refuse(
        self,
        call: ServiceCall,
        reason: RefusalReason,
        detail: str,
        delay_s: float = 0.0,
        *,
        status: int = 503,
    ) -> CallerResponse:
        """Refuses a request that has not been sent to any upstream.

        Args:
            call: The request.
            reason: Why it is refused.
            detail: Description for the caller.
            delay_s: Delay before a retry is worthwhile, in seconds; 0 for none.
            status: HTTP status.

        Returns:
            The reply.
        """
        self._metrics.count_refusal(reason)
        reply = make_error_response(status, detail, delay_s)
        return self._finish(call, reply, reason.value, delay_s)

    def make_cancelled(self, call: ServiceCall) -> CallerResponse:
        """Creates the reply after the deadline of the request or the end of the shutdown.

        Args:
            call: The request.

        Returns:
            The reply.
        """
        verdict = Verdict.MAY_HAVE_RUN if call.may_have_run else Verdict.NOT_RUN
        reason = RefusalReason.DRAINING if call.is_withdrawn else RefusalReason.TIMEOUT
        failure = make_failure(verdict, reason)
        return self.make_final(call, AttemptResult(failure))

    def make_final(self, call: ServiceCall, result: AttemptResult) -> CallerResponse:
        """Creates the reply from the last attempt.

        Args:
            call: The request.
            result: Result of its last attempt.

        Returns:
            The reply.
        """
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
                document_version=call.known.version,
                document_active_s=call.known.active_s,
                document_silent_s=call.known.silent_s,
                status=reply.status,
                route=call.route.host + call.route.prefix,
                service=call.service,
                elapsed_ms=round(elapsed_s * 1000, 1),
                attempts=attempts,
                upstream=call.last_upstream,
                daemon_tried=call.last_daemon,
                reason=reason,
                retry_after_s=round(delay_s, 3),
                refused_by=tuple(call.refused_by),
                caller=call.caller_service,
                customer="" if call.customer is None else call.customer.name,
            )
        )
        return reply

    def log_cut(self, call: ServiceCall) -> None:
        """Logs that the end of the daemon cuts a request off.

        Args:
            call: The request.
        """
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


def read_path(request: ReceivedRequest) -> str:
    """Returns the path of a request without its query.

    Args:
        request: The request.
    """
    return request.target.partition(b"?")[0].decode("latin-1")
