"""Simple retry policy that the benchmarks compare with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.retries.policy import RetryDecision

if TYPE_CHECKING:
    from fulmarstile_calls.request import RefusalReason
    from fulmarstile_calls.retries.policy import Attempt
    from fulmarstile_config.routing_table import CompiledRoute
    from fulmarstile_wire.verdict import Verdict


class FixedRetries:
    """Retries every failed call a fixed number of times, at every hop.

    Args:
        attempts: Attempts in all, the first one included.
    """

    def __init__(self, attempts: int = 3) -> None:
        self._attempts = attempts

    def on_call(self, route: CompiledRoute, attempt: Attempt, now: float) -> None:
        """Ignores the call."""

    def decide_retry(
        self,
        route: CompiledRoute,
        attempt: Attempt,
        verdict: Verdict,
        reason: RefusalReason,
        now: float,
        remaining_s: float,
    ) -> RetryDecision:
        """See `RetryPolicy.decide_retry`."""
        if attempt.number >= self._attempts:
            return RetryDecision(retry=False, give_up_reason="all attempts are used up")
        return RetryDecision(retry=True)

    def decide_hedge(
        self, route: CompiledRoute, attempt: Attempt, method: str, now: float, remaining_s: float
    ) -> float | None:
        """Never hedges."""
        return None

    def start_hedge(self, route: CompiledRoute, attempt: Attempt, now: float) -> bool:
        """Never hedges."""
        return False
