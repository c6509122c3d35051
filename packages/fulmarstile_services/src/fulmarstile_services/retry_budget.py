"""Retry budget, which each daemon keeps for the requests that it forwards."""

from __future__ import annotations

from typing import Final

_USABLE_RATIO: Final = 0.75
"""Fraction of the allowed ratio that is used; calls made by a retry count as retries, too."""
_USABLE_BURST: Final = 0.6
"""Fraction of the allowed burst that all daemons together may accumulate."""

_RUN_COST: Final = 2.0
"""Tokens that it costs to retry a request that ran and failed."""
_HEDGE_RESERVE: Final = 0.5
"""Fraction of the maximum number of tokens that hedges leave for retries of failed requests."""


class RetryBudget:
    """Token bucket for each service: a request earns a fraction of a token, a retry costs one.

    The daemons need no coordination: since each stays within the ratio for the requests that it
    forwards, so do all of them together.

    Args:
        ratio: Retries allowed for each request.
        burst: Retries allowed beyond the ratio, over all daemons.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._tokens_per_request = ratio * _USABLE_RATIO
        self._burst = burst * _USABLE_BURST
        self._daemons = 1
        self._tokens: dict[str, float] = {}

    def tokens(self, service: str) -> float:
        """Returns how many retries may be sent to a service now."""
        return self._tokens.get(service, self._max_tokens)

    def set_daemon_count(self, count: int) -> None:
        """Sets how many daemons share the burst.

        Args:
            count: Number of known daemons, including this one.
        """
        self._daemons = max(1, count)

    def on_request(self, service: str) -> None:
        """Records a request to a service, which earns a fraction of a token."""
        self._tokens[service] = min(
            self._max_tokens, self.tokens(service) + self._tokens_per_request
        )

    def try_spend(self, service: str, *, has_run: bool = False) -> bool:
        """Spends the tokens for one retry if there is a token.

        Args:
            service: Service that the retry goes to.
            has_run: Whether the request ran, so that a retry also repeats the calls that it made
                and therefore costs more.

        Returns:
            Whether the retry may be sent.
        """
        tokens = self.tokens(service)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - (_RUN_COST if has_run else 1.0)
        return True

    def try_spend_for_hedge(self, service: str) -> bool:
        """Spends the token for one hedge, unless few tokens remain.

        Args:
            service: Service that the hedge goes to.

        Returns:
            Whether the hedge may be sent.
        """
        if self.tokens(service) < max(1.0, self._max_tokens * _HEDGE_RESERVE):
            return False
        return self.try_spend(service)

    @property
    def _max_tokens(self) -> float:
        return max(1.0, self._burst / self._daemons)
