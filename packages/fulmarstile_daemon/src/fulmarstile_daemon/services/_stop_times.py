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
    may_break_off_at: float = math.inf
    """Time from which a request that is still at work may be broken off."""

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

    def accepts_forwarded(self, deadline: float) -> bool:
        """Decides whether to accept any request of another daemon.

        Args:
            deadline: Time by which its caller needs the answer, in seconds.

        Returns:
            Whether its deadline is before termination.
        """
        return deadline <= self.ends_at

    def accepts_repeatable(self, needed_until: float, now: float) -> bool:
        """Decides whether to accept a request of another daemon that can be repeated.

        Args:
            needed_until: Time until which the other daemon is expected to need this one for it.
            now: Current time in seconds.

        Returns:
            Whether there is time to pass it to the upstream, and this daemon terminates later than
            it is needed.
        """
        return now < self.accepts_until and needed_until <= self.ends_at


CLOSED = StopTimes(-math.inf, -math.inf, -math.inf, -math.inf)
"""Accepts no request; the last responses are being sent."""
