"""Token bucket and full-jitter back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class TokenBucket:
    """Limits a rate while allowing bursts.

    Args:
        rate: Tokens gained per second.
        burst: Most tokens held; the bucket starts full.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def available(self, now: float) -> float:
        """Returns the tokens held at `now`, in seconds."""
        if self._updated_at is not None:
            gained = max(0.0, now - self._updated_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        return self._tokens

    def take(self, count: float, now: float) -> bool:
        """Takes tokens if enough are held; returns whether they were taken."""
        if self.available(now) < count:
            return False
        self._tokens -= count
        return True

    def force(self, count: float, now: float) -> None:
        """Takes tokens that may not be held; the debt has to be paid back first."""
        self.available(now)
        self._tokens -= count


class Backoff:
    """Exponential back-off with full jitter.

    Args:
        base_s: Longest first delay, in seconds.
        max_s: Longest delay, in seconds.
        random: Source of the jitter.
    """

    def __init__(self, base_s: float, max_s: float, random: Random) -> None:
        self._base_s = base_s
        self._max_s = max_s
        self._random = random
        self._attempt = 0

    def next_delay(self) -> float:
        """Returns the delay before the next attempt, in seconds."""
        limit = min(self._max_s, self._base_s * 2.0 ** min(self._attempt, 30))
        self._attempt += 1
        return self._random.uniform(0.0, limit)

    def reset(self) -> None:
        """Starts over after a success."""
        self._attempt = 0
