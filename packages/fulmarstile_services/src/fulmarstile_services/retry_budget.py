"""Budget of repeats, kept by each daemon from its own share of the requests."""

from __future__ import annotations

from typing import Final

_RATIO_SHARE: Final = 0.75
"""Part of the allowed ratio that is spent; calls made by a repeat count as repeats, too."""
_BURST_SHARE: Final = 0.6
"""Part of the allowed burst that all daemons together may save up."""

_RUN_COST: Final = 2.0
"""Tokens that the repeat of a request costs which ran and failed."""
_SPARE_SHARE: Final = 0.5
"""Part of the tokens that is kept for requests that failed."""


class RetryBudget:
    """Tokens of each service; a request earns a part of one, a repeat costs one.

    The daemons don't talk to each other about it: each one stays within the ratio for the
    requests that it carries, so all together do.

    Args:
        ratio: Repeats allowed for each request.
        burst: Repeats allowed beyond the ratio, over all daemons.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self._earned = ratio * _RATIO_SHARE
        self._burst = burst * _BURST_SHARE
        self._daemons = 1
        self._tokens: dict[str, float] = {}

    def tokens(self, service: str) -> float:
        """Returns how many repeats to a service may be sent now."""
        return self._tokens.get(service, self._limit)

    def set_daemon_count(self, count: int) -> None:
        """Notes how many daemons share the burst.

        Args:
            count: Daemons known, this one included.
        """
        self._daemons = max(1, count)

    def on_request(self, service: str) -> None:
        """Takes in a request to a service."""
        self._tokens[service] = min(self._limit, self.tokens(service) + self._earned)

    def try_spend(self, service: str, *, has_run: bool = False) -> bool:
        """Takes the token of one repeat.

        Args:
            service: Service that the repeat goes to.
            has_run: Whether the request ran, so that a repeat makes its calls again, too; such
                a repeat costs more.

        Returns:
            Whether there was one.
        """
        tokens = self.tokens(service)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - (_RUN_COST if has_run else 1.0)
        return True

    def try_spend_for_hedge(self, service: str) -> bool:
        """Takes the token of a repeat that is not needed yet, unless few are left.

        Args:
            service: Service that the repeat goes to.

        Returns:
            Whether there were enough.
        """
        if self.tokens(service) < max(1.0, self._limit * _SPARE_SHARE):
            return False
        return self.try_spend(service)

    @property
    def _limit(self) -> float:
        return max(1.0, self._burst / self._daemons)
