"""Refusals of admission control."""

from __future__ import annotations

from typing import Final

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_wire.verdict import Verdict

MIN_RETRY_AFTER_S: Final = 0.1
"""Shortest retry delay sent to a refused caller, in seconds."""

DRAIN_RETRY_AFTER_S: Final = 1.0
"""Delay after which calls are routed to other upstreams than a draining one, in seconds."""

_STATUS: Final = 503


def refuse(reason: RefusalReason, detail: str, retry_after_s: float) -> CallRefusal:
    """Returns the refusal of a request that was not run.

    Args:
        reason: Reason of the refusal.
        detail: Explanation for people.
        retry_after_s: Earliest useful time to call again, in seconds.
    """
    delay_s = max(MIN_RETRY_AFTER_S, retry_after_s)
    return CallRefusal(reason, Verdict.NOT_RUN, _STATUS, detail, delay_s)


def refuse_draining() -> CallRefusal:
    """Returns the refusal of a request to an upstream that is draining."""
    return refuse(RefusalReason.DRAINING, "the upstream is draining", DRAIN_RETRY_AFTER_S)
