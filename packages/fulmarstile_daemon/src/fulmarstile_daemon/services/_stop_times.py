"""Which requests a daemon still accepts during its shutdown."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a shutdown, in seconds; infinite if none has begun."""

    accepts_until: float = math.inf
    """Time until which requests are accepted that may outlast the daemon."""
    ends_at: float = math.inf
    """Time at which the daemon terminates."""

    def accepts(self, deadline: float, now: float) -> bool:
        """Decides whether to accept a request.

        Args:
            deadline: Time by which its caller needs the answer, in seconds.
            now: Current time in seconds.

        Returns:
            Whether there is time to pass it to an upstream, or its deadline is before termination.
        """
        return now < self.accepts_until or deadline <= self.ends_at
