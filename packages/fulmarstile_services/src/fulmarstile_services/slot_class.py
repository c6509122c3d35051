"""Classes in which requests share the slots of an upstream."""

from __future__ import annotations

import enum
from typing import Final

_SHORT_RANK: Final = 0
_URGENT_RANK: Final = 1


class SlotClass(enum.IntEnum):
    """Class of a request; lower ones get more slot time while requests wait."""

    URGENT_CALL = 0
    """Call made while an urgent request runs, whose slot time would be lost with it."""
    SHORT = 1
    """Request with a short target latency, or a call made while another request runs."""
    URGENT = 2
    OTHER = 3


SLOT_WEIGHTS: Final = (12.0, 8.0, 4.0, 1.3)
"""Share of each class."""


def classify(rank: int, parent: SlotClass | None) -> SlotClass:
    """Tells the class of a request.

    Args:
        rank: Rank of its route; 0 goes first.
        parent: Class of the request during which an upstream makes it; None if a caller sent it.

    Returns:
        The class.
    """
    if parent is not None:
        return SlotClass.SHORT if parent is SlotClass.OTHER else SlotClass.URGENT_CALL
    if rank <= _SHORT_RANK:
        return SlotClass.SHORT
    return SlotClass.URGENT if rank <= _URGENT_RANK else SlotClass.OTHER
