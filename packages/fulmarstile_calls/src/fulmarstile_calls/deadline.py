"""Remaining time of a call, as carried in the `Fulmarstile-Deadline-Ms` header."""

from __future__ import annotations

from typing import Final

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_wire.verdict import Verdict

DEADLINE_HEADER: Final = "Fulmarstile-Deadline-Ms"
"""Header with the remaining time of the call, in milliseconds."""

MAX_REMAINING_MS: Final = 3_600_000
"""Longest remaining time that is accepted, in milliseconds; a longer one is reduced to it."""

_MAX_DIGITS: Final = 10


def parse_remaining_ms(value: str) -> int | None:
    """Parses the remaining time that a caller sent.

    Args:
        value: Value of the header.

    Returns:
        Milliseconds, at most `MAX_REMAINING_MS`; None if the value is not a plain decimal
        number, so that only the route's timeout applies.
    """
    text = value.strip()
    if not 0 < len(text) <= _MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return min(int(text), MAX_REMAINING_MS)


def compute_deadline(now: float, timeout_ms: int, remaining_ms: int | None) -> float:
    """Returns the time by which a call must have ended.

    Args:
        now: Monotonic time in seconds.
        timeout_ms: Timeout of the route.
        remaining_ms: Remaining time that the caller sent, or None.

    Returns:
        Monotonic time in seconds; a caller can shorten the route's timeout but not extend it.
    """
    allowed_ms = timeout_ms if remaining_ms is None else min(timeout_ms, remaining_ms)
    return now + allowed_ms / 1000


def format_remaining_ms(deadline_s: float, now: float) -> str:
    """Returns the header value for the next hop, rounded down and never negative."""
    return str(max(0, int((deadline_s - now) * 1000)))


def check_deadline(deadline_s: float, now: float) -> CallRefusal | None:
    """Returns the refusal of a call whose deadline passed before it was forwarded, or None."""
    if now < deadline_s:
        return None
    detail = "the deadline has passed"
    return CallRefusal(RefusalReason.DEADLINE, Verdict.NOT_RUN, 504, detail)
