"""Token bucket for the rate limit that an upstream has announced."""

from __future__ import annotations

from typing import Final

_BURST_S: Final = 0.25
"""Time for which unused tokens accumulate, in seconds."""
_ONE_TOKEN: Final = 1.0 - 1e-9
"""One token, less the rounding error of refills."""


class RateBucket:
    """Token bucket; without a rate limit it always has a token."""

    __slots__ = ("_rate_limit", "_tokens", "_updated_at")

    def __init__(self) -> None:
        self._rate_limit = 0.0
        self._tokens = 1.0
        self._updated_at = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a rate limit."""
        return self._rate_limit > 0.0

    def set_rate_limit(self, rate_limit: float, now: float) -> None:
        """Changes the rate limit.

        Args:
            rate_limit: Requests per second; 0 for no limit.
            now: Monotonic time in seconds.
        """
        if self.is_limited:
            self._refill(now)
        else:
            self._tokens = 1.0
        self._rate_limit = rate_limit
        self._tokens = min(self._tokens, self._max_tokens)
        self._updated_at = now

    def has_token(self, now: float) -> bool:
        """Returns whether a request may start now."""
        if not self.is_limited:
            return True
        self._refill(now)
        return self._tokens >= _ONE_TOKEN

    def take(self) -> None:
        """Takes the token of a request that starts; `has_token` must have been true."""
        if self.is_limited:
            self._tokens = max(0.0, self._tokens - 1.0)

    def wait_s(self, count: float, now: float) -> float:
        """Returns the time until a number of requests have started, in seconds.

        Args:
            count: Number of requests.
            now: Monotonic time in seconds.
        """
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return max(0.0, (count - self._tokens) / self._rate_limit)

    @property
    def _max_tokens(self) -> float:
        return max(1.0, self._rate_limit * _BURST_S)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._tokens = min(self._max_tokens, self._tokens + elapsed_s * self._rate_limit)
        self._updated_at = max(now, self._updated_at)
