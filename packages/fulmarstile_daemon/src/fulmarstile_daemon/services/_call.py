"""A request on its way from its caller to an upstream."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from fulmarstile_daemon.services._handover import Handover
from fulmarstile_services.retry_policy import AttemptHistory
from fulmarstile_wire.services import HopOutcome, MemberPhase

if TYPE_CHECKING:
    from fulmarstile_calls.request import RefusalReason
    from fulmarstile_daemon.services._exchange import Answer
    from fulmarstile_daemon.services._request_ending import RequestEnding
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_services.document import ServiceRoute
    from fulmarstile_services.slot_class import SlotClass
    from fulmarstile_wire.verdict import Verdict


@dataclass(slots=True)
class ServiceCall:
    """A caller's request with its route."""

    request: ReceivedRequest
    request_id: str
    route: ServiceRoute
    service: str
    caller_service: str
    deadline: float
    """Time by which the caller needs the answer, in seconds."""
    useful_until: float
    """Time until which waiting for a slot is of use, in seconds."""
    priority: SlotClass
    has_parent: bool
    """Whether the upstream on this VM makes it for a request that it runs."""
    document_version: int
    fingerprint: bytes
    ending: RequestEnding
    """Ends the request from outside."""
    record: AttemptHistory = field(default_factory=AttemptHistory)
    refused_by: list[str] = field(default_factory=list)
    """Daemons that refused it before an upstream saw it, each with its reason."""
    failure: Answer | None = None
    """Last failure that an upstream answered with."""
    last_daemon: str = ""
    last_upstream: str = ""
    handover: Handover = field(default_factory=Handover)
    """How far the last attempt has come."""
    unknown: list[Handover] = field(default_factory=list)
    """Attempts of which it is not known how they end."""
    is_withdrawn: bool = False
    """Whether no upstream is to get the request any more."""
    attempted_at: float = 0.0
    """Time at which the last attempt began, in seconds."""

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may still do so."""
        return self.record.may_have_run or any(each.may_have_begun for each in self.unknown)

    def withdraw(self) -> None:
        """Keeps the request from all upstreams that do not have it yet."""
        self.is_withdrawn = True
        for handover in self.unknown:
            handover.withdraw()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended."""

    outcome: HopOutcome
    answer: Answer | None = None
    """Answer of the upstream, if a whole one arrived."""

    @property
    def is_good(self) -> bool:
        """Whether the upstream answered and did not fail."""
        return self.answer is not None and self.answer.status < 500


def make_failure(
    verdict: Verdict,
    reason: RefusalReason,
    *,
    reached_upstream: bool = False,
    retry_after_s: float = 0.0,
    phase: MemberPhase = MemberPhase.SERVING,
) -> HopOutcome:
    """Makes the outcome of an attempt without an answer.

    Args:
        verdict: Whether the request may have run.
        reason: Why there is no answer.
        reached_upstream: Whether an upstream saw the request.
        retry_after_s: Earliest useful time to try again, in seconds.
        phase: Whether the upstream there takes requests.

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


def fingerprint(caller_service: str, request: ReceivedRequest) -> bytes:
    """Computes what a request is recognized by when it comes again.

    Args:
        caller_service: Service on the VM where it began.
        request: The request.

    Returns:
        Hash of caller, method, target and body.
    """
    digest = xxhash.xxh3_64(caller_service.encode())
    digest.update(request.method + b" " + request.target)
    digest.update(request.body)
    return digest.digest()
