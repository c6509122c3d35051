"""Token bucket whose rate and size are given at each refill, so that they may change."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accumulate over time up to a maximum.

    Args:
        tokens: Number of tokens at first.
        now: Monotonic time in seconds.
    """

    __slots__ = ("_refilled_at", "tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        """Number of tokens after the last refill."""
        self._refilled_at = now

    def refill(self, rate_per_s: float, max_tokens: float, now: float) -> None:
        """Adds the tokens of the time since the last refill; a time that goes back adds none.

        Args:
            rate_per_s: Tokens per second.
            max_tokens: Maximum number of tokens.
            now: Monotonic time in seconds.
        """
        elapsed_s = max(0.0, now - self._refilled_at)
        self.tokens = min(max_tokens, self.tokens + elapsed_s * rate_per_s)
        self._refilled_at = max(now, self._refilled_at)
