"""Counters of the call proxy."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal


@dataclass(slots=True)
class CallCounters:
    """Counts of events since the call proxy was started."""

    calls: int = 0
    """Requests whose head was completely received."""
    forwarded_calls: int = 0
    """Calls that another daemon forwarded; included in `calls`."""
    answers: int = 0
    """Answers of upstreams that were completely sent to callers."""
    broken_answers: int = 0
    """Answers cut off because the upstream's answer was cut off."""
    callers_gone: int = 0
    """Calls whose caller disconnected before the end."""
    retries: int = 0
    hedges: int = 0
    upstream_crashes: int = 0
    connections: int = 0
    """Connections accepted."""
    connections_evicted: int = 0
    """Idle connections closed to make room for new ones."""
    errors: int = 0
    """Unexpected errors; each one is logged."""
    refusals: dict[str, int] = field(default_factory=dict)
    """Refusals by reason and verdict, as `reason/VERDICT`."""

    def count_refusal(self, refusal: CallRefusal) -> None:
        """Counts a refusal.

        Args:
            refusal: The refusal.
        """
        key = f"{refusal.reason.value}/{refusal.verdict.name}"
        self.refusals[key] = self.refusals.get(key, 0) + 1
