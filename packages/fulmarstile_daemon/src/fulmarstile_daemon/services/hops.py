"""Requests that other daemons forward to the upstream on this VM."""

from __future__ import annotations

import math
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
    from fulmarstile_daemon.services._body_gate import BodyGate
    from fulmarstile_daemon.services._handover import Handover
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import HopCall, HopOutcome

_QUICK_S: Final = 0.01
"""Time within which a refusal is not logged here, in seconds."""


class HopServer:
    """Answers other daemons.

    Args:
        names: Names of headers.
        directory: All daemons known.
        upstream: Upstream on this VM.
        gate: Orders the large bodies that come over the link.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        directory: Directory,
        upstream: LocalUpstream,
        gate: BodyGate,
        log: EventLog,
    ) -> None:
        self._names = names
        self._directory = directory
        self._upstream = upstream
        self._gate = gate
        self._log = log
        self.stop_times = StopTimes()
        """Decides what is taken after the daemon was told to stop."""

    async def answer(self, call: HopCall, deadline: float, handover: Handover) -> HopAnswer:
        """Answers a forwarded request.

        Args:
            call: The request.
            deadline: Time at which the caller waits no longer, in seconds.
            handover: Told when the upstream gets the request; may withdraw it until then.

        Returns:
            The answer of the upstream, or why there is none.
        """
        arrived_at = trio.current_time()
        hop = call.hop
        headers = MessageHeaders(end_to_end=call.headers)
        request = ReceivedRequest(call.method, call.target, headers, call.body, arrived_at)
        if self._directory.is_suspect(hop.fingerprint):
            return self._refuse_early(RefusalReason.QUARANTINED, call, request)
        if not self.stop_times.accepts(deadline, arrived_at):
            return self._refuse_early(RefusalReason.DRAINING, call, request)
        useful_until = arrived_at + hop.max_slot_wait_ms / 1000
        try:
            result = await self._upstream.run(hop, request, deadline, useful_until, handover)
        except trio.Cancelled:
            if math.isfinite(self.stop_times.ends_at):
                self._log_cut(request, handover, deadline)
            raise
        answer = result.answer
        if answer is None:
            return self._refuse(result.outcome, call, request)
        outcome = self._complete(result.outcome, arrived_at)
        return HopAnswer(
            call.call_id, outcome, answer.status, answer.headers.end_to_end, answer.body
        )

    def _log_cut(self, request: ReceivedRequest, handover: Handover, deadline: float) -> None:
        now = trio.current_time()
        self._log.write(
            HopCut(
                request_id=request.headers.get(self._names.request_id),
                stage=handover.stage.value,
                waited_ms=round((now - request.arrived_at) * 1000, 1),
                left_ms=round((deadline - now) * 1000, 1),
            )
        )

    def _refuse_early(
        self, reason: RefusalReason, call: HopCall, request: ReceivedRequest
    ) -> HopAnswer:
        failure = make_failure(Verdict.NOT_RUN, reason)
        return self._refuse(self._upstream.describe(failure), call, request)

    def _refuse(self, outcome: HopOutcome, call: HopCall, request: ReceivedRequest) -> HopAnswer:
        waited_s = trio.current_time() - request.arrived_at
        if outcome.reached_upstream or waited_s >= _QUICK_S:
            # Of a quick refusal the entry daemon names this daemon and the reason.
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
        return HopAnswer(call.call_id, self._complete(outcome, request.arrived_at))

    def describe(self, outcome: HopOutcome) -> HopOutcome:
        """Adds the load that other daemons choose by.

        Args:
            outcome: How a request ended.

        Returns:
            The outcome with the load of the upstream and of the link.
        """
        return msgspec.structs.replace(
            self._upstream.describe(outcome), body_wait_ms=round(self._gate.wait_s * 1000, 1)
        )

    def _complete(self, outcome: HopOutcome, arrived_at: float) -> HopOutcome:
        """Adds what the entry daemon chooses by besides the load."""
        return msgspec.structs.replace(
            outcome,
            spent_ms=round((trio.current_time() - arrived_at) * 1000, 2),
            body_wait_ms=round(self._gate.wait_s * 1000, 1),
        )
