"""What a response of the upstream on this VM means for its request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_wire.services import HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_daemon.services._exchange import Exchange, UpstreamResponse
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.rollouts.evidence import EvidenceCounter

MISDIRECTED_STATUS: Final = 421
"""Status of an upstream that is not the expected one, and has not run the request."""
_FIRST_FAILURE_STATUS: Final = 500
"""Lowest status that counts against the version of the upstream."""
_MAX_STRAY_RESPONSES: Final = 8
"""Maximum number of responses to other requests that are skipped before a connection is dropped."""
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run, so they are not passed on."""


async def receive_matching(
    names: CallHeaderNames, exchange: Exchange, request: ReceivedRequest
) -> UpstreamResponse:
    """Sends a request and receives the response with its id.

    Args:
        names: Names of headers.
        exchange: Exchange of the request.
        request: The request.

    Returns:
        The response; others, which belong to earlier requests, are skipped.

    Raises:
        ExchangeError: If there is no such response.
    """
    request_id = request.headers.get_bytes(names.request_id)
    response = await exchange.run()
    for _ in range(_MAX_STRAY_RESPONSES):
        response_id = response.headers.get_bytes(names.request_id)
        if response_id == request_id or (not response_id and _may_lack_id(names, response)):
            return response
        if not response_id:
            raise ExchangeError("the response has no request id")
        response = await exchange.receive_next()
    raise ExchangeError("too many responses belong to other requests")


def _may_lack_id(names: CallHeaderNames, response: UpstreamResponse) -> bool:
    """Returns whether a response without an id is taken for that of the request that was sent."""
    return response.status >= _FIRST_FAILURE_STATUS or is_rejection(names, response)


def is_rejection(names: CallHeaderNames, response: UpstreamResponse) -> bool:
    """Returns whether a response says that its request has not run."""
    return bool(response.headers.get_bytes(names.not_run)) or response.status == MISDIRECTED_STATUS


def classify_response(names: CallHeaderNames, response: UpstreamResponse) -> AttemptResult:
    """Determines whether the request has run, and whether the response may be passed on.

    Args:
        names: Names of headers.
        response: Response of the upstream.

    Returns:
        The result of the attempt.
    """
    headers = response.headers
    if is_rejection(names, response):
        not_run = headers.get_bytes(names.not_run)
        reason = RefusalReason.OVERLOADED if not_run else RefusalReason.NO_UPSTREAM
        return AttemptResult(make_failure(Verdict.NOT_RUN, reason, reached_upstream=True))
    is_signed = bool(headers.get_bytes(names.response_signature))
    is_success = 200 <= response.status < 300
    if is_success and not is_signed:
        return AttemptResult(
            make_failure(Verdict.RAN, RefusalReason.TRUNCATED, reached_upstream=True)
        )
    # Without the upstream's signature, the caller would take it for the daemon's own rejection.
    is_unproven = response.status < _FIRST_FAILURE_STATUS and not is_signed
    if is_unproven or response.status in _NOT_RUN_STATUSES:
        return AttemptResult(
            make_failure(Verdict.RAN, RefusalReason.UPSTREAM_FAILED, reached_upstream=True)
        )
    return AttemptResult(HopOutcome(Verdict.RAN, reached_upstream=True), response)


def count_evidence(
    evidence: EvidenceCounter, route: str, elapsed_s: float, result: AttemptResult, status: int
) -> None:
    """Counts a response as evidence for or against its upstream's version.

    Args:
        evidence: Counter of the roll-out.
        route: Route of the request.
        elapsed_s: Time from sending the request to the response, in seconds.
        result: Result of the attempt.
        status: Status of the response.
    """
    if result.outcome.verdict is Verdict.NOT_RUN:
        return
    is_invalid = result.outcome.reason == RefusalReason.TRUNCATED.value
    if status >= _FIRST_FAILURE_STATUS or is_invalid:
        evidence.on_failed(route, elapsed_s)
    else:
        evidence.on_completed(route, elapsed_s)
