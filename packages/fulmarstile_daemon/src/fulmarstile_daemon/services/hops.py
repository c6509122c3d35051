"""Requests that other daemons forward to the upstream on this VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import trio
from loguru import logger

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import make_failure
from fulmarstile_daemon.services._request_server import make_error_reply
from fulmarstile_daemon.services._server_connection import Reply
from fulmarstile_daemon.services.events import HopEnded
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.services import (
    HOP_HEADER,
    OUTCOME_HEADER,
    SYNC_HEADER,
    decode_hop_request,
    decode_sync_request,
    encode_header,
    encode_sync,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.gossip import Gossip
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import HopOutcome, HopRequest

_QUICK_S: Final = 0.01
"""Time within which a refusal is not logged here, in seconds."""


class HopServer:
    """Answers other daemons.

    Args:
        names: Names of headers.
        directory: All daemons known.
        upstream: Upstream on this VM.
        gossip: Answers synchronizations.
        log: Log of the daemon.
    """

    def __init__(
        self,
        names: CallHeaderNames,
        directory: Directory,
        upstream: LocalUpstream,
        gossip: Gossip,
        log: EventLog,
    ) -> None:
        self._names = names
        self._directory = directory
        self._upstream = upstream
        self._gossip = gossip
        self._log = log
        self.stops_at = math.inf
        """Time at which the daemon ends, in seconds; what could last longer is refused."""

    async def answer(self, request: ReceivedRequest) -> Reply:
        """Answers a forwarded request or a synchronization.

        Args:
            request: The request.

        Returns:
            The answer.
        """
        own = request.headers.own
        try:
            if SYNC_HEADER in own:
                reply = self._gossip.on_sync(decode_sync_request(request.body))
                return Reply(200, [], encode_sync(reply))
            hop = decode_hop_request(own.get(HOP_HEADER, b""))
        except WireError as error:
            logger.warning("a request of another daemon cannot be read: {}", error)
            return make_error_reply(400, str(error))
        return await self._run(hop, request)

    async def _run(self, hop: HopRequest, request: ReceivedRequest) -> Reply:
        arrived_at = request.arrived_at
        deadline = arrived_at + hop.left_ms / 1000
        if self._directory.is_suspect(hop.fingerprint):
            failure = make_failure(Verdict.NOT_RUN, RefusalReason.QUARANTINED)
            return self._refuse(failure, hop, request)
        if deadline > self.stops_at:
            failure = make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING)
            return self._refuse(failure, hop, request)
        result = await self._upstream.run(hop, request, deadline, arrived_at + hop.useful_ms / 1000)
        if result.answer is None:
            return self._refuse(result.outcome, hop, request)
        answer = result.answer
        headers = [*answer.headers.passed_on, (OUTCOME_HEADER, encode_header(result.outcome))]
        return Reply(answer.status, headers, answer.body)

    def _refuse(self, outcome: HopOutcome, hop: HopRequest, request: ReceivedRequest) -> Reply:
        waited_s = trio.current_time() - request.arrived_at
        if not outcome.reached_upstream and waited_s < _QUICK_S:
            # The entry daemon names this daemon and the reason in its own line.
            return self._make_refusal(outcome)
        self._log.write(
            HopEnded(
                request_id=request.headers.find(self._names.request_id),
                verdict=outcome.verdict.value,
                reason=outcome.reason,
                running=outcome.running,
                queued=outcome.queued,
                slots=outcome.slots,
                waited_ms=round(waited_s * 1000, 1),
                left_ms=float(hop.left_ms),
            )
        )
        return self._make_refusal(outcome)

    def _make_refusal(self, outcome: HopOutcome) -> Reply:
        reply = make_error_reply(503, outcome.reason)
        return Reply(503, [*reply.headers, (OUTCOME_HEADER, encode_header(outcome))], reply.body)
