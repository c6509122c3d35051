"""Reads the load that an upstream reports with its responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_MAX_DIGITS: Final = 6
_PERCENT: Final = 100.0
_MAX_SLOWDOWN: Final = 10.0
"""Highest slowdown that is believed; an upstream could otherwise repel all requests for long."""
_MIN_SLOWDOWN: Final = 0.1


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an upstream as it reports it itself."""

    running: int
    queued: int
    slots: int
    slowdown: float = 0.0
    """Factor by which its VM slows requests down at the moment; 0 if it isn't reported."""


def parse_load(value: bytes) -> ReportedLoad | None:
    """Parses a reported load.

    Args:
        value: Requests running, requests waiting and slots, and optionally the duration of
            requests in percent of the usual one, separated by commas.

    Returns:
        The load, with a slowdown limited to a plausible range; None if the value is malformed.
    """
    figures = [figure.strip() for figure in value.split(b",")]
    if len(figures) not in (3, 4):
        return None
    if not all(figure.isdigit() and len(figure) <= _MAX_DIGITS for figure in figures):
        return None
    running, queued, slots = (int(figure) for figure in figures[:3])
    if slots == 0:
        return None
    if len(figures) == 3:
        return ReportedLoad(running, queued, slots)
    slowdown = int(figures[3]) / _PERCENT
    return ReportedLoad(running, queued, slots, min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, slowdown)))
