"""Finds the requests of a case that were lost, or otherwise broke a promise."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from fulmarstile_testing.lost_search.callers import SentRequest
    from fulmarstile_testing.service_upstream import ServedRequest

LOSS_SLACK_S: Final = 0.2
"""Time after its last byte from which a request that was not passed on is lost, in seconds."""
_NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
_LATE_S: Final = 0.05
"""Time before its deadline from which a request counts as timed out, in seconds."""
_EXCUSED_SENT_S: Final = 3.0
"""Time after SIGTERM until which a request is excused that is still at work at the end."""
_CALM_S: Final = 3.0
"""Time after a disruption from which answers of the daemons' own are judged again, in seconds."""


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that a daemon broke."""

    rule: str
    detail: str


def judge(
    requests: Sequence[SentRequest],
    served: Sequence[ServedRequest],
    disrupted_at: Sequence[float],
    grace_s: float,
) -> Iterator[Violation]:
    """Judges the requests of a case.

    Args:
        requests: Requests as seen by their callers.
        served: Requests as seen by the upstreams.
        disrupted_at: Times of faults that were not planned, in seconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.

    Yields:
        The violations.
    """
    served_by_id = _group_by_id(served)
    for request in requests:
        arrivals = served_by_id.get(request.request_id, [])
        for rule in _judge_one(request, arrivals, disrupted_at, grace_s):
            yield Violation(rule, _describe(request, arrivals))


def describe_requests(
    requests: Sequence[SentRequest], served: Sequence[ServedRequest]
) -> Iterator[str]:
    """Describes what became of the requests of a case.

    Args:
        requests: Requests as seen by their callers.
        served: Requests as seen by the upstreams.

    Yields:
        A line for each request.
    """
    served_by_id = _group_by_id(served)
    for request in requests:
        yield _describe(request, served_by_id.get(request.request_id, []))


def _group_by_id(served: Sequence[ServedRequest]) -> dict[str, list[ServedRequest]]:
    served_by_id: dict[str, list[ServedRequest]] = {}
    for each in served:
        served_by_id.setdefault(each.request_id, []).append(each)
    return served_by_id


def _judge_one(
    request: SentRequest,
    arrivals: list[ServedRequest],
    disrupted_at: Sequence[float],
    grace_s: float,
) -> Iterator[str]:
    runs = sum(each.ran for each in arrivals)
    if request.method == "POST" and runs > 1:
        yield "TWICE"
    if request.entry is None or request.entry.is_killed or request.is_left:
        return
    if not request.status:
        is_read = math.isfinite(request.sent_at) and (
            arrivals or request.ended_at > request.sent_at + LOSS_SLACK_S
        )
        if is_read:
            yield "LOST: no answer" if math.isfinite(request.ended_at) else "LOST: silence"
        return
    if request.is_own:
        if request.method == "POST" and runs and request.status in _NOT_RUN_STATUSES:
            yield "REFUSED"
        if _is_broken_off(request, arrivals, disrupted_at, grace_s):
            yield "LOST: broken off"
    elif request.status < 300 and request.answer != b"x" * request.size:
        yield "MIXED"


def _is_broken_off(
    request: SentRequest,
    arrivals: list[ServedRequest],
    disrupted_at: Sequence[float],
    grace_s: float,
) -> bool:
    """Checks whether an answer of the daemon's own replaces that of an upstream at work."""
    stopped_at = request.entry.stopped_at if request.entry else math.inf
    ended_at = request.ended_at
    if ended_at < stopped_at or request.fault:
        return False
    if ended_at >= request.started_at + request.wait_s - _LATE_S:
        return False
    if ended_at >= stopped_at + grace_s * 5 / 6 and request.sent_at <= stopped_at + _EXCUSED_SENT_S:
        return False
    if any(request.started_at - _CALM_S <= at <= ended_at for at in disrupted_at):
        return False
    return any(each.ran and each.worked_until >= ended_at - _LATE_S for each in arrivals)


def _describe(request: SentRequest, arrivals: list[ServedRequest]) -> str:
    entry = request.entry
    runs = [(round(each.arrived_at, 3), round(each.worked_until, 3)) for each in arrivals]
    return (
        f"{request.request_id} {request.method} {request.target} body={len(request.body)}"
        f" entry={entry.name if entry else '-'}"
        f" stopped_at={entry.stopped_at if entry else math.inf:.3f} wait={request.wait_s}"
        f" started={request.started_at:.3f} sent={request.sent_at:.3f} ended={request.ended_at:.3f}"
        f" status={request.status} {request.answer[:60]!r} runs={runs}"
    )
