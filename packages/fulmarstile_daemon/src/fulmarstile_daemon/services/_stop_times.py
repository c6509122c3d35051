"""Which requests a daemon still takes after it was told to stop."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a stop, in seconds; without one both lie beyond all others."""

    accepts_until: float = math.inf
    """Time until which requests are taken that may last longer than the daemon."""
    ends_at: float = math.inf
    """Time at which the daemon ends."""

    def accepts(self, deadline: float, now: float) -> bool:
        """Tells whether a request is taken.

        Args:
            deadline: Time by which its caller needs the answer, in seconds.
            now: Current time in seconds.

        Returns:
            Whether it has time enough here to reach an upstream, or surely ends in time.
        """
        return now < self.accepts_until or deadline <= self.ends_at
