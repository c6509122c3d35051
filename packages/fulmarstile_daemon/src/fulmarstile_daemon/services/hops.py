"""Handles requests that other daemons forward to the upstream on this VM."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import make_failure
from fulmarstile_daemon.services._server_connection import ReceivedRequest
from fulmarstile_daemon.services._stop_times import StopTimes
from fulmarstile_daemon.services.events import HopCut, HopEnded
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_wire.services import HopAnswer
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._body_admission import BodyAdmission
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import HopCall, HopOutcome, HopRequest

_REQUEST_SOURCE: Final = "request"
"""Source of notices that come with forwarded requests, in the log."""
_MIN_LOGGED_WAIT_S: Final = 0.01
"""Waiting time from which a refusal is logged here, in seconds."""


class HopServer:
    """Handles forwarded requests.

    Args:
        names: Names of headers.
        directory: Directory of the known daemons.
        notices: Merges what upstreams say about themselves.
        upstream: Upstream on this VM.
        body_admission: Admits large request bodies to the link of this VM.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        directory: Directory,
        notices: NoticeMerger,
        upstream: LocalUpstream,
        body_admission: BodyAdmission,
        log: EventLog,
    ) -> None:
        self._names = names
        self._directory = directory
        self._notices = notices
        self._upstream = upstream
        self._body_admission = body_admission
        self._log = log
        self._stop_times = StopTimes()
        self._open_calls: dict[AttemptProgress, None] = {}
        """Requests that wait for the upstream or run there."""

    @property
    def stop_times(self) -> StopTimes:
        """Decides which requests are passed to the upstream during shutdown.

        Setting it refuses those that wait and would be cut off.
        """
        return self._stop_times

    @stop_times.setter
    def stop_times(self, stop_times: StopTimes) -> None:
        self._stop_times = stop_times
        for progress in tuple(self._open_calls):
            if not (progress.may_have_begun or progress.may_begin()):
                progress.withdraw()

    async def handle(self, call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
        """Handles a forwarded request.

        Args:
            call: The request.
            deadline: Time at which the caller stops waiting, in seconds.
            progress: Updated when the request is passed to the upstream; allows it to be
                withdrawn until then.

        Returns:
            The response of the upstream, or the reason why there is none.
        """
        arrived_at = trio.current_time()
        hop = call.hop
        self._notices.merge(hop.notice, _REQUEST_SOURCE)
        headers = MessageHeaders(end_to_end=call.headers)
        request = ReceivedRequest(call.method, call.target, headers, call.body, arrived_at)
        if self._directory.is_suspect(hop.fingerprint):
            return self._refuse_early(RefusalReason.QUARANTINED, call, request)
        sender_ends_at = arrived_at + hop.sender_ends_in_ms / 1000
        progress.may_begin = partial(self._accepts, hop, deadline, sender_ends_at)
        if not progress.may_begin():
            return self._refuse_early(RefusalReason.DRAINING, call, request)
        useful_until = arrived_at + hop.max_slot_wait_ms / 1000
        self._open_calls[progress] = None
        try:
            result = await self._upstream.run(hop, request, deadline, useful_until, progress)
        except trio.Cancelled:
            if self._stop_times.ends_at < math.inf:
                self._log_cut(request, progress, deadline)
            raise
        finally:
            del self._open_calls[progress]
        response = result.response
        if response is None:
            return self._refuse(result.outcome, call, request)
        outcome = self._add_timings(result.outcome, arrived_at)
        return HopAnswer(
            call.call_id, outcome, response.status, response.headers.end_to_end, response.body
        )

    def _accepts(self, hop: HopRequest, deadline: float, sender_ends_at: float) -> bool:
        times = self._stop_times
        if times.accepts_forwarded(deadline):
            return True
        now = trio.current_time()
        return hop.idempotent and times.accepts_repeatable(
            self._expect_end(hop, sender_ends_at, now), now
        )

    def _expect_end(self, hop: HopRequest, sender_ends_at: float, now: float) -> float:
        """Estimates until when the sender needs this daemon for a request that it can repeat."""
        if hop.sender_ends_in_ms:
            # While the sender drains, other upstreams may be draining as well.
            return sender_ends_at
        if any(
            member.name != self._directory.local_member.name
            for member in self._directory.serving(hop.service)
        ):
            return now
        return now + self._upstream.expect_service_s(hop)

    def _log_cut(
        self, request: ReceivedRequest, progress: AttemptProgress, deadline: float
    ) -> None:
        now = trio.current_time()
        self._log.write(
            HopCut(
                request_id=request.headers.get(self._names.request_id),
                stage=progress.stage.value,
                waited_ms=round((now - request.arrived_at) * 1000, 1),
                left_ms=round((deadline - now) * 1000, 1),
            )
        )

    def _refuse_early(
        self, reason: RefusalReason, call: HopCall, request: ReceivedRequest
    ) -> HopAnswer:
        failure = make_failure(Verdict.NOT_RUN, reason)
        return self._refuse(self._upstream.add_load(failure), call, request)

    def _refuse(self, outcome: HopOutcome, call: HopCall, request: ReceivedRequest) -> HopAnswer:
        waited_s = trio.current_time() - request.arrived_at
        if outcome.reached_upstream or waited_s >= _MIN_LOGGED_WAIT_S:
            # Quick refusals are logged by the entry daemon, with this daemon's name and the reason.
            self._log.write(
                HopEnded(
                    request_id=request.headers.get(self._names.request_id),
                    verdict=outcome.verdict.value,
                    reason=outcome.reason,
                    running=outcome.running,
                    queued=outcome.queued,
                    slots=outcome.slots,
                    waited_ms=round(waited_s * 1000, 1),
                    left_ms=float(call.hop.remaining_ms),
                )
            )
        return HopAnswer(call.call_id, self._add_timings(outcome, request.arrived_at))

    def add_load(self, outcome: HopOutcome) -> HopOutcome:
        """Adds the load, which other daemons use for balancing.

        Args:
            outcome: Outcome of a request.

        Returns:
            The outcome with the load of the upstream and of the link.
        """
        return msgspec.structs.replace(
            self._upstream.add_load(outcome),
            body_wait_ms=round(self._body_admission.wait_s * 1000, 1),
        )

    def _add_timings(self, outcome: HopOutcome, arrived_at: float) -> HopOutcome:
        """Adds the times that the entry daemon uses for balancing besides the load."""
        return msgspec.structs.replace(
            outcome,
            spent_ms=round((trio.current_time() - arrived_at) * 1000, 2),
            body_wait_ms=round(self._body_admission.wait_s * 1000, 1),
        )
