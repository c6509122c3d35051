"""Scheduling classes by which requests share the slots of an upstream."""

from __future__ import annotations

import enum
from typing import Final

_MAX_SHORT_PRIORITY: Final = 0
_MAX_URGENT_PRIORITY: Final = 1


class SlotClass(enum.IntEnum):
    """Scheduling class of a request; lower values get more slot time while requests wait."""

    URGENT_CALL = 0
    """Call made by an upstream on behalf of a request that is more urgent than `OTHER`.

    If the call failed, the slot time spent on that request would be wasted.
    """
    SHORT = 1
    """Request with a short target latency, or a call made while a request of `OTHER` runs."""
    URGENT = 2
    OTHER = 3


SLOT_WEIGHTS: Final = (12.0, 8.0, 4.0, 1.3)
"""Relative share of slot time of each class, indexed by `SlotClass`."""


def classify(priority: int, parent: SlotClass | None) -> SlotClass:
    """Returns the class of a request.

    Args:
        priority: Effective priority of its route; 0 is the most urgent.
        parent: Class of the request that the upstream was running when it made this one; None if
            the request doesn't come from an upstream that runs another one.

    Returns:
        The class.
    """
    if parent is not None:
        return SlotClass.SHORT if parent is SlotClass.OTHER else SlotClass.URGENT_CALL
    if priority <= _MAX_SHORT_PRIORITY:
        return SlotClass.SHORT
    return SlotClass.URGENT if priority <= _MAX_URGENT_PRIORITY else SlotClass.OTHER
