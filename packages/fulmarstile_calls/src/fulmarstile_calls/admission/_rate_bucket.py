"""Bound of the rate at which requests start, for the rate limit that an upstream has announced."""

from __future__ import annotations

from typing import Final

from fulmarstile_calls.token_bucket import TokenBucket

_BURST_S: Final = 0.25
"""Time for which unused tokens accumulate, in seconds."""
_ONE_TOKEN: Final = 1.0 - 1e-9
"""One token, less the rounding error of refills."""


class RateBucket:
    """Tokens for the requests that may start; without a rate limit there always is one."""

    __slots__ = ("_bucket", "_rate_limit")

    def __init__(self) -> None:
        self._rate_limit = 0.0
        self._bucket = TokenBucket(1.0, 0.0)

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
            self._bucket = TokenBucket(1.0, now)
        self._rate_limit = rate_limit

    def has_token(self, now: float) -> bool:
        """Returns whether a request may start now."""
        if not self.is_limited:
            return True
        self._refill(now)
        return self._bucket.tokens >= _ONE_TOKEN

    def take(self) -> None:
        """Takes the token of a request that starts; `has_token` must have been true."""
        if self.is_limited:
            self._bucket.tokens = max(0.0, self._bucket.tokens - 1.0)

    def wait_s(self, count: float, now: float) -> float:
        """Returns the time until a number of requests have started, in seconds.

        Args:
            count: Number of requests.
            now: Monotonic time in seconds.
        """
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return max(0.0, (count - self._bucket.tokens) / self._rate_limit)

    def _refill(self, now: float) -> None:
        self._bucket.refill(self._rate_limit, max(1.0, self._rate_limit * _BURST_S), now)
