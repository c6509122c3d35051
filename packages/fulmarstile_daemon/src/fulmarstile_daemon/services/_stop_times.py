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
    accepts_nested_until: float = math.inf
    """Like `accepts_until`, for the calls of requests that run on this VM."""

    def accepts(self, deadline: float, now: float, *, is_nested: bool = False) -> bool:
        """Decides whether to accept a request.

        Args:
            deadline: Time by which its caller needs the answer, in seconds.
            now: Current time in seconds.
            is_nested: Whether the upstream on this VM makes it for a request that it runs.

        Returns:
            Whether there is time to pass it to an upstream, or its deadline is before termination.
        """
        accepts_until = self.accepts_nested_until if is_nested else self.accepts_until
        return now < accepts_until or deadline <= self.ends_at

    def accepts_forwarded(self, deadline: float, now: float, *, is_idempotent: bool) -> bool:
        """Decides whether to accept a request of another daemon, which may send it elsewhere.

        Args:
            deadline: Time by which its caller needs the answer, in seconds.
            now: Current time in seconds.
            is_idempotent: Whether it can be repeated if this daemon terminates before the answer.

        Returns:
            Whether it can be repeated and there is time to pass it to the upstream, or its deadline
            is before termination.
        """
        return deadline <= self.ends_at or (is_idempotent and now < self.accepts_until)


CLOSED = StopTimes(-math.inf, -math.inf, -math.inf)
"""Accepts no request; the last responses are being sent."""
