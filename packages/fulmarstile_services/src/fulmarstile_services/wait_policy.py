"""How long a request may be queued, and after what delay a refused caller should retry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceRoute

URGENT_PRIORITY: Final = 1
"""Highest priority number of an urgent request."""
_USEFUL_TARGET_RATIO: Final = 0.55
"""Fraction of the target latency within which the answer to a queued request must be expected."""
_USEFUL_REMAINING_RATIO: Final = 0.5
"""Fraction of the remaining time used instead for urgent and large requests, if longer."""
_URGENT_WAIT_S: Final = 0.15
"""Time within which an urgent request may be answered even if that is late, in seconds."""
_LARGE_BODY_BYTES: Final = 64 * 1024
"""Size from which a request is queued rather than sent to another availability zone, in bytes."""
_BODY_WAIT_RATIO: Final = 0.5
"""Fraction of the target latency for which a large body waits until its link is free."""
_MIN_RETRY_AFTER_S: Final = 0.05
_MAX_RETRY_REMAINING_RATIO: Final = 0.3
"""Largest retry delay, as a fraction of the remaining time."""
_MAX_RETRY_TARGET_RATIO: Final = 0.25
"""Largest retry delay, as a fraction of the target latency."""


def useful_wait_s(route: ServiceRoute, remaining_s: float, size: int) -> float:
    """Returns the time within which the answer to a queued request must be expected.

    Under overload a queue grows until requests may wait no longer. So the least urgent requests
    are queued only if they can be answered on time; otherwise those that are queued would all be
    answered late. Urgent and large requests may wait a little longer.

    Args:
        route: Route of the request.
        remaining_s: Time until the caller's deadline, in seconds.
        size: Bytes of its body.

    Returns:
        The time from the request's arrival, in seconds.
    """
    useful_s = route.target_latency_s * _USEFUL_TARGET_RATIO
    if route.priority <= URGENT_PRIORITY:
        useful_s = max(useful_s, min(remaining_s * _USEFUL_REMAINING_RATIO, _URGENT_WAIT_S))
    if size >= _LARGE_BODY_BYTES:
        useful_s = max(useful_s, remaining_s * _USEFUL_REMAINING_RATIO)
    return min(remaining_s, useful_s)


def max_body_wait_s(target_latency_s: float, remaining_s: float) -> float:
    """Returns how long a large body may wait until the link of another VM has room for it.

    The queue of an overloaded link grows until bodies may wait no longer, so the bodies that are
    sent arrive on time only if this wait is short.

    Args:
        target_latency_s: Target latency of the route, in seconds.
        remaining_s: Time until the caller's deadline, in seconds.

    Returns:
        The time in seconds.
    """
    return min(target_latency_s, remaining_s) * _BODY_WAIT_RATIO


def retry_after_s(route: ServiceRoute, wanted_s: float, remaining_s: float) -> float:
    """Returns the retry delay that a refused caller is told.

    Args:
        route: Route of the request.
        wanted_s: Time after which there should be capacity, in seconds.
        remaining_s: Time until the caller's deadline, in seconds.

    Returns:
        The delay in seconds; short enough that a retry can still be answered on time.
    """
    target_s = route.target_latency_s * _MAX_RETRY_TARGET_RATIO
    return max(
        _MIN_RETRY_AFTER_S, min(wanted_s, target_s, remaining_s * _MAX_RETRY_REMAINING_RATIO)
    )
