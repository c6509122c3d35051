"""Refusals of calls whose claim did not win."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims import _replies
from fulmarstile_calls.claims.results import ClaimLost
from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_wire.messages import ClaimReply

IN_PROGRESS_RETRY_AFTER_S: Final = 1.0
"""Retry delay sent to a caller whose key has a request in progress, in seconds."""

LOG_RETRY_AFTER_S: Final = 2.0
"""Retry delay sent to a caller while the log is unavailable, in seconds."""

_STATUS_CONFLICT: Final = 409
_STATUS_UNPROCESSABLE: Final = 422
_STATUS_UNAVAILABLE: Final = 503
_STATUS_GATEWAY_TIMEOUT: Final = 504


def refuse_unavailable(detail: str) -> CallRefusal:
    """Returns the refusal of a call whose claim got no answer from the log."""
    return CallRefusal(
        RefusalReason.LOG_UNAVAILABLE,
        Verdict.NOT_RUN,
        _STATUS_UNAVAILABLE,
        detail,
        LOG_RETRY_AFTER_S,
    )


def refuse_after_deadline() -> CallRefusal:
    """Returns the refusal of a call whose claim was answered after its deadline."""
    detail = "the claim was answered after the deadline"
    return CallRefusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, _STATUS_GATEWAY_TIMEOUT, detail)


def explain_refusal(refusal: str) -> CallRefusal:
    """Returns the refusal of a call whose claim was refused by a batcher."""
    if refusal == _replies.EXPIRED:
        detail = "the key has expired, or is older than the claim log"
        return CallRefusal(RefusalReason.KEY_EXPIRED, Verdict.NOT_RUN, _STATUS_CONFLICT, detail)
    return refuse_unavailable(f"the claim was refused: {refusal}")


def explain_loss(claim_id: str, fingerprint: bytes, reply: ClaimReply) -> ClaimLost:
    """Returns the result of a claim whose key another claim holds."""
    if reply.fingerprint != fingerprint:
        detail = "the key was used for another request"
        refusal = CallRefusal(
            RefusalReason.KEY_REUSED, Verdict.NOT_RUN, _STATUS_UNPROCESSABLE, detail
        )
        return ClaimLost(claim_id, refusal=refusal)
    outcome = reply.outcome
    if outcome is None:
        return ClaimLost(claim_id, refusal=_refuse_in_progress())
    if outcome.status == 0:
        detail = "the request was sent to an upstream, which gave no whole answer"
        refusal = CallRefusal(
            RefusalReason.KEY_OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, _STATUS_CONFLICT, detail
        )
        return ClaimLost(claim_id, refusal=refusal)
    if outcome.body_omitted:
        detail = f"the request ran with status {outcome.status}; its answer is not stored"
        refusal = CallRefusal(RefusalReason.KEY_COMPLETED, Verdict.RAN, _STATUS_CONFLICT, detail)
        return ClaimLost(claim_id, refusal=refusal)
    return ClaimLost(claim_id, outcome=outcome)


def _refuse_in_progress() -> CallRefusal:
    return CallRefusal(
        RefusalReason.KEY_IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        _STATUS_CONFLICT,
        "a request with this key is in progress",
        IN_PROGRESS_RETRY_AFTER_S,
    )
