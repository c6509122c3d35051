"""State of a call that the proxy handles, and its errors."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_calls.retries import Attempt
from fulmarstile_config.document import Priority
from fulmarstile_daemon.calls import _headers
from fulmarstile_wire.errors import VerdictError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    import h11
    import trio

    from fulmarstile_config.routing_table import CompiledRoute
    from fulmarstile_daemon.calls.context import ClaimGranted, StoredAnswer

_STATUS_BY_REASON: Final = {
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.NO_CUSTOMER: 400,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.KEY_INVALID: 400,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.KEY_IN_PROGRESS: 409,
    RefusalReason.KEY_COMPLETED: 409,
    RefusalReason.KEY_OUTCOME_UNKNOWN: 409,
    RefusalReason.CONNECTION_LOST: 502,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.TRUNCATED: 502,
    RefusalReason.BAD_REQUEST: 400,
}
"""HTTP status of each reason; 503 for those not listed."""


class CallFailedError(VerdictError):
    """A call got no answer that may be passed on.

    Args:
        refusal: Refusal to send to the caller.
    """

    def __init__(self, refusal: CallRefusal) -> None:
        super().__init__(refusal.detail or refusal.reason.value, refusal.verdict)
        self.refusal = refusal


class CallerDisconnectedError(VerdictError):
    """The caller closed its connection before it got its answer."""

    def __init__(self) -> None:
        super().__init__("the caller disconnected", Verdict.MAY_HAVE_RUN)


class SupersededError(VerdictError):
    """Another attempt of the same call received its answer first."""

    def __init__(self) -> None:
        super().__init__("another attempt answered first", Verdict.MAY_HAVE_RUN)


def make_refusal(
    reason: RefusalReason,
    verdict: Verdict,
    detail: str = "",
    *,
    status: int = 0,
    retry_after_s: float = 0.0,
) -> CallRefusal:
    """Makes a refusal with the default status of its reason.

    Args:
        reason: Why the call is refused.
        verdict: Whether it may have run.
        detail: Human-readable explanation.
        status: HTTP status; 0 for the default of the reason.
        retry_after_s: Delay after which to retry, in seconds; 0 for no hint.

    Returns:
        The refusal.
    """
    return CallRefusal(
        reason, verdict, status or _STATUS_BY_REASON.get(reason, 503), detail, retry_after_s
    )


def refusal_headers(refusal: CallRefusal) -> list[_headers.Header]:
    """Lists the headers that describe a refusal.

    Args:
        refusal: The refusal.

    Returns:
        Verdict, reason and, if set, `Retry-After` in whole seconds.
    """
    headers = [
        (_headers.VERDICT, refusal.verdict.name.encode()),
        (_headers.REASON, refusal.reason.value.encode()),
    ]
    if refusal.retry_after_s > 0:
        headers.append((_headers.RETRY_AFTER, b"%d" % math.ceil(refusal.retry_after_s)))
    return headers


def refusal_body(refusal: CallRefusal) -> bytes:
    """Encodes a refusal as JSON.

    Args:
        refusal: The refusal.

    Returns:
        The body of the answer.
    """
    return msgspec.json.encode(
        {
            "verdict": refusal.verdict.name,
            "reason": refusal.reason.value,
            "detail": refusal.detail,
        }
    )


@dataclass(slots=True, eq=False)
class Call:
    """A request and the state of its handling."""

    request: h11.Request
    customer: str
    service: str
    path: str
    arrived_at: float
    deadline: float
    """Time by `trio.current_time` at which the caller stops waiting, in seconds."""
    route: CompiledRoute | None = None
    """Route; None on a daemon that the call was forwarded to."""
    priority: Priority = Priority.NORMAL
    weight: float = 1.0
    """Weight of the customer in the fair sharing of the upstream's slots."""
    key: str = ""
    """Idempotency key; empty for none."""
    forwarded: bool = False
    """Whether another daemon sent the call."""
    headers: _headers.MessageHeaders = field(default_factory=_headers.MessageHeaders)
    body: bytes = b""
    """First part of the body, or all of it."""
    body_complete: bool = True
    has_streamed_body: bool = False
    """Whether part of the body was streamed without being kept, so that it cannot be sent again."""
    verdict: Verdict = Verdict.NOT_RUN
    """Whether the current attempt may have reached an upstream."""
    earlier_verdict: Verdict = Verdict.NOT_RUN
    """Whether an earlier attempt may have reached an upstream."""
    answer_started: bool = False
    """Whether a byte of the answer was sent to the caller."""
    abandoned: bool = False
    """Whether the caller disconnected."""
    is_streaming_body: bool = False
    """Whether the body is being received from the caller while it is sent on."""
    attempt: Attempt = field(default_factory=Attempt)
    claim: ClaimGranted | None = None
    stored_answer: StoredAnswer | None = None
    """Answer to store for repetitions of the claimed request."""
    scope: trio.CancelScope | None = None
    """Cancel scope of the current attempt."""
    try_to_win: Callable[[Call], None] | None = None
    """Called before an answer is sent if the call is hedged.

    Raises `SupersededError` if another attempt answered first.
    """

    @property
    def is_at_most_once(self) -> bool:
        """Whether the call must be claimed before it is run."""
        return self.route is not None and self.route.route.at_most_once

    @property
    def is_waiting_for_caller(self) -> bool:
        """Whether a timeout at this point is due to a slow caller rather than the upstream."""
        return self.is_streaming_body or self.answer_started

    @property
    def combined_verdict(self) -> Verdict:
        """Whether any attempt may have reached an upstream."""
        if self.verdict is Verdict.NOT_RUN:
            return self.earlier_verdict
        return self.verdict

    def start_next_attempt(self) -> None:
        """Resets the state of the failed attempt for the next one."""
        self.earlier_verdict = self.combined_verdict
        self.verdict = Verdict.NOT_RUN
        self.attempt = self.attempt.next()

    def set_attempt_deadline(self, deadline: float) -> None:
        """Sets the deadline of the current attempt, at most that of the call.

        Args:
            deadline: Time by `trio.current_time`, in seconds.
        """
        if self.scope is not None:
            self.scope.deadline = min(deadline, self.deadline)

    def reset_attempt_deadline(self) -> None:
        """Resets the deadline of the current attempt to that of the call."""
        self.set_attempt_deadline(self.deadline)

    def make_error(
        self, reason: RefusalReason, detail: str = "", retry_after_s: float = 0.0
    ) -> CallFailedError:
        """Makes the error for a failure in the current state of the call.

        Args:
            reason: What failed.
            detail: Human-readable explanation.
            retry_after_s: Delay after which to retry, in seconds; 0 for no hint.

        Returns:
            The error to raise.
        """
        return CallFailedError(
            make_refusal(reason, self.combined_verdict, detail, retry_after_s=retry_after_s)
        )
