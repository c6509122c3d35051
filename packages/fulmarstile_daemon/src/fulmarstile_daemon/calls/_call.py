"""A call on its way through the proxy, and how it fails."""

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

_STATUSES: Final = {
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
"""HTTP status by reason; 503 for the others."""


class CallFailedError(VerdictError):
    """A call got no answer that may be passed on.

    Args:
        refusal: What the caller is told.
    """

    def __init__(self, refusal: CallRefusal) -> None:
        super().__init__(refusal.detail or refusal.reason.value, refusal.verdict)
        self.refusal = refusal


class CallerGoneError(VerdictError):
    """The caller closed its connection before it got its answer."""

    def __init__(self) -> None:
        super().__init__("the caller left", Verdict.MAY_HAVE_RUN)


class SupersededError(VerdictError):
    """Another attempt of the same call has got an answer first."""

    def __init__(self) -> None:
        super().__init__("another attempt was faster", Verdict.MAY_HAVE_RUN)


def make_refusal(
    reason: RefusalReason,
    verdict: Verdict,
    detail: str = "",
    *,
    status: int = 0,
    retry_after_s: float = 0.0,
) -> CallRefusal:
    """Makes a refusal with the usual status of its reason.

    Args:
        reason: Why the call is refused.
        verdict: Whether it may have run.
        detail: Explanation in plain words.
        status: HTTP status; 0 for the usual one.
        retry_after_s: Earliest useful time to call again, in seconds; 0 for none.

    Returns:
        The refusal.
    """
    return CallRefusal(reason, verdict, status or _STATUSES.get(reason, 503), detail, retry_after_s)


def refusal_headers(refusal: CallRefusal) -> list[_headers.Header]:
    """Lists the headers that tell a refusal.

    Args:
        refusal: The refusal.

    Returns:
        Verdict, reason and, if set, the time to call again in whole seconds.
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
    """A request and what is known about its run."""

    request: h11.Request
    customer: str
    service: str
    path: str
    arrived_at: float
    deadline: float
    """Time by `trio.current_time` at which the caller stops waiting, in seconds."""
    route: CompiledRoute | None = None
    """Route, known at the daemon that the caller connected to."""
    priority: Priority = Priority.NORMAL
    weight: float = 1.0
    """Share of the customer in the upstream's slots."""
    key: str = ""
    """Idempotency key; empty for none."""
    forwarded: bool = False
    """Whether another daemon sent the call."""
    headers: _headers.MessageHeaders = field(default_factory=_headers.MessageHeaders)
    body: bytes = b""
    """First part of the body, or all of it."""
    body_complete: bool = True
    has_streamed: bool = False
    """Whether a part of the body was passed on without being kept."""
    verdict: Verdict = Verdict.NOT_RUN
    """Whether the running attempt may have reached an upstream."""
    earlier_verdict: Verdict = Verdict.NOT_RUN
    """Whether an earlier attempt may have reached an upstream."""
    answer_started: bool = False
    """Whether a byte of the answer was sent to the caller."""
    abandoned: bool = False
    """Whether the caller left."""
    awaits_caller: bool = False
    """Whether the body is being received while it is passed on."""
    attempt: Attempt = field(default_factory=Attempt)
    claim: ClaimGranted | None = None
    stored_answer: StoredAnswer | None = None
    """Answer to keep for callers that send the claimed request again."""
    scope: trio.CancelScope | None = None
    """Scope of the running attempt."""
    try_to_win: Callable[[Call], None] | None = None
    """Called before an answer is sent while attempts race; raises `SupersededError`."""

    @property
    def is_at_most_once(self) -> bool:
        """Whether the call must be claimed before it is run."""
        return self.route is not None and self.route.route.at_most_once

    @property
    def is_held_up_by_caller(self) -> bool:
        """Whether a timeout now would be due to a slow caller rather than the upstream."""
        return self.awaits_caller or self.answer_started

    @property
    def combined_verdict(self) -> Verdict:
        """Whether any attempt may have reached an upstream."""
        if self.verdict is Verdict.NOT_RUN:
            return self.earlier_verdict
        return self.verdict

    def start_next_attempt(self) -> None:
        """Notes that the last attempt failed and another one follows."""
        self.earlier_verdict = self.combined_verdict
        self.verdict = Verdict.NOT_RUN
        self.attempt = self.attempt.next()

    def limit_wait(self, deadline: float) -> None:
        """Ends the running attempt earlier than the call's own deadline.

        Args:
            deadline: Time in seconds.
        """
        if self.scope is not None:
            self.scope.deadline = min(deadline, self.deadline)

    def restore_deadline(self) -> None:
        """Lets the running attempt take all the time that the call has left."""
        self.limit_wait(self.deadline)

    def fail(
        self, reason: RefusalReason, detail: str = "", retry_after_s: float = 0.0
    ) -> CallFailedError:
        """Makes the error for a failure at this point of the call.

        Args:
            reason: What failed.
            detail: Explanation in plain words.
            retry_after_s: Earliest useful time to call again, in seconds.

        Returns:
            The error to raise.
        """
        return CallFailedError(
            make_refusal(reason, self.combined_verdict, detail, retry_after_s=retry_after_s)
        )
