"""A caller's request and the results of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_services.retry_policy import AttemptHistory
from fulmarstile_wire.services import HopOutcome, MemberPhase
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.request import RefusalReason
    from fulmarstile_daemon.services._exchange import UpstreamResponse
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.active_routes import DocumentKnowledge
    from fulmarstile_services.document import Customer, ServiceRoute
    from fulmarstile_services.slot_class import SlotClass


@dataclass(slots=True)
class ServiceCall:
    """A caller's request with its route and the state of its attempts."""

    request: ReceivedRequest
    request_id: str
    route: ServiceRoute
    service: str
    caller_service: str
    deadline: float
    """Time by which the caller needs the answer, in seconds."""
    useful_until: float
    """Time until which waiting for a slot is worthwhile, in seconds."""
    priority: SlotClass
    has_parent: bool
    """Whether the upstream on this VM sent this request while it ran another one."""
    known: DocumentKnowledge
    """What was known of the operator's document when the route was chosen."""
    fingerprint: bytes
    scope: RequestScope
    """Deadline and cancellation of the request."""
    customer: Customer | None = None
    """Customer whose key the caller presented; None if none was needed."""
    quota_taken_at: float | None = None
    """Time at which a token of the customer's quota was taken that may be given back."""
    history: AttemptHistory = field(default_factory=AttemptHistory)
    refused_by: list[str] = field(default_factory=list)
    """Daemons that refused it before it reached an upstream, as `daemon:reason`."""
    last_failure: UpstreamResponse | None = None
    """Last failure response from an upstream."""
    last_daemon: str = ""
    last_upstream: str = ""
    progress: AttemptProgress = field(default_factory=AttemptProgress)
    """Progress of the last attempt."""
    unresolved: list[AttemptProgress] = field(default_factory=list)
    """Attempts that may still run or may have run."""
    is_withdrawn: bool = False
    """Whether the daemon is draining; see `may_be_sent`."""
    is_version_drawn: bool = False
    """Whether an attempt was sent during a roll-out; later ones go to the baseline version."""
    is_version_moved: bool = False
    """Whether an upstream refused it because a roll-out has moved the requests elsewhere."""
    attempted_at: float = 0.0
    """Start time of the last attempt, in seconds."""

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may still do so."""
        return self.history.may_have_run or any(
            attempt.may_have_begun for attempt in self.unresolved
        )

    def is_answering(self) -> bool:
        """Returns whether a part of an answer has arrived, and the rest is expected."""
        return any(attempt.is_answering() for attempt in self.unresolved)

    @property
    def may_be_sent(self) -> bool:
        """Whether the request may be sent to an upstream, or to another one.

        While the daemon drains, only a request that may have run, and may be repeated, is sent
        again: it can't be refused as not run any more.
        """
        if not self.is_withdrawn:
            return True
        is_answered = self.last_failure is not None
        return self.history.may_have_run and self.route.is_idempotent and not is_answered

    def withdraw(self) -> None:
        """Cancels the request at all upstreams that have not received it yet."""
        self.is_withdrawn = True
        for attempt in self.unresolved:
            attempt.withdraw()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt."""

    outcome: HopOutcome
    response: UpstreamResponse | None = None
    """Response of the upstream, if a complete one arrived."""

    @property
    def is_success(self) -> bool:
        """Whether the upstream responded with a status below 500."""
        return self.response is not None and self.response.status < 500


def make_failure(
    verdict: Verdict,
    reason: RefusalReason,
    *,
    reached_upstream: bool = False,
    retry_after_s: float = 0.0,
    phase: MemberPhase = MemberPhase.SERVING,
) -> HopOutcome:
    """Creates the outcome of an attempt without a response.

    Args:
        verdict: Whether the request may have run.
        reason: Why there is no response.
        reached_upstream: Whether the request reached an upstream.
        retry_after_s: Delay before a retry is worthwhile, in seconds.
        phase: Whether the upstream there accepts requests.

    Returns:
        The outcome.
    """
    return HopOutcome(
        verdict,
        reason.value,
        retry_after_ms=int(retry_after_s * 1000),
        reached_upstream=reached_upstream,
        phase=phase,
    )


def make_lost_answer(reason: RefusalReason) -> HopOutcome:
    """Creates the outcome of an attempt that reached an upstream, whose answer is lost.

    Args:
        reason: Why there is no answer.

    Returns:
        The outcome: the request may have run.
    """
    return make_failure(Verdict.MAY_HAVE_RUN, reason, reached_upstream=True)


def compute_fingerprint(caller_service: str, request: ReceivedRequest) -> bytes:
    """Computes a hash by which retries of the same request are recognized.

    Args:
        caller_service: Service that made the request.
        request: The request.

    Returns:
        Hash of caller, method, target and body.
    """
    digest = xxhash.xxh3_64(caller_service.encode())
    digest.update(request.method + b" " + request.target)
    digest.update(request.body)
    return digest.digest()
