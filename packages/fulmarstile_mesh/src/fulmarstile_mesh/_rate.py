"""Token bucket and exponential backoff with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


class TokenBucket:
    """Token bucket that limits a rate and allows bursts.

    Args:
        rate: Tokens added per second.
        burst: Capacity of the bucket, which starts full.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at: float | None = None

    def available(self, now: float) -> float:
        """Refills the bucket up to `now`, in seconds, and returns the available tokens."""
        if self._updated_at is not None:
            gained = max(0.0, now - self._updated_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        return self._tokens

    def try_consume(self, count: float, now: float) -> bool:
        """Consumes tokens if enough are available; returns whether they were consumed."""
        if self.available(now) < count:
            return False
        self._tokens -= count
        return True

    def consume(self, count: float, now: float) -> None:
        """Consumes tokens unconditionally; the balance may become negative."""
        self.available(now)
        self._tokens -= count


class Backoff:
    """Exponential backoff with full jitter.

    Args:
        base_s: Upper bound of the first delay, in seconds.
        max_s: Upper bound of all delays, in seconds.
        random: Random number generator for the jitter.
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
        """Resets the delay after a success."""
        self._attempt = 0
