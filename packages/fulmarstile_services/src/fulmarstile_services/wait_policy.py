"""How long a request may wait for a slot, and when a refused caller should come back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceRoute

URGENT_PRIORITY: Final = 1
"""Lowest rank of an urgent request."""
_USEFUL_SHARE: Final = 0.55
"""Part of the target latency within which an answer must be expected for a request to wait."""
_URGENT_SHARE: Final = 0.5
"""Part of the time left for which an urgent or large request may wait at most."""
_URGENT_WAIT_S: Final = 0.15
"""Time within which the answer to an urgent request may be expected though it is late."""
_LARGE_BODY_BYTES: Final = 64 * 1024
"""Size from which a request waits rather than goes to another availability zone, in bytes."""
_TURN_SHARE: Final = 0.5
"""Part of the target latency for which a large body waits for its turn on a link."""
_MIN_RETRY_AFTER_S: Final = 0.05
_MAX_RETRY_SHARE: Final = 0.3
"""Largest part of the time left that a caller is told to wait."""
_RETRY_TARGET_SHARE: Final = 0.25
"""Largest part of the target latency that a caller is told to wait."""


def useful_wait_s(route: ServiceRoute, left_s: float, size: int) -> float:
    """Returns the time within which an answer must be expected for a request to wait.

    Under overload a queue is as long as requests may wait. The least urgent ones wait only while
    their answers are on time, so that the answers of those that wait are; the others a little
    longer.

    Args:
        route: Route of the request.
        left_s: Time until its caller needs the answer, in seconds.
        size: Bytes of its body.

    Returns:
        The time from the request's arrival, in seconds.
    """
    useful_s = route.target_latency_s * _USEFUL_SHARE
    if route.priority <= URGENT_PRIORITY:
        useful_s = max(useful_s, min(left_s * _URGENT_SHARE, _URGENT_WAIT_S))
    if size >= _LARGE_BODY_BYTES:
        useful_s = max(useful_s, left_s * _URGENT_SHARE)
    return min(left_s, useful_s)


def max_body_wait_s(target_latency_s: float, left_s: float) -> float:
    """Returns how long a large body waits at most for its turn on the link of another VM.

    A link that is offered more than it carries has a queue as long as bodies wait for it, so
    those that it carries are on time only if none waits for long.

    Args:
        target_latency_s: Target latency of the route, in seconds.
        left_s: Time until the caller needs the answer, in seconds.

    Returns:
        The time in seconds.
    """
    return min(target_latency_s, left_s) * _TURN_SHARE


def retry_after_s(route: ServiceRoute, wanted_s: float, left_s: float) -> float:
    """Returns the delay that a refused caller is told.

    Args:
        route: Route of the request.
        wanted_s: Time after which there should be room, in seconds.
        left_s: Time until the caller needs the answer, in seconds.

    Returns:
        The delay in seconds; short enough that the caller can still be served on time.
    """
    target_s = route.target_latency_s * _RETRY_TARGET_SHARE
    return max(_MIN_RETRY_AFTER_S, min(wanted_s, target_s, left_s * _MAX_RETRY_SHARE))
