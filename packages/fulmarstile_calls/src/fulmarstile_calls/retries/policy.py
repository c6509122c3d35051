"""Interface of the retry policies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Protocol

if TYPE_CHECKING:
    from fulmarstile_calls.request import RefusalReason
    from fulmarstile_config.routing_table import CompiledRoute
    from fulmarstile_wire.verdict import Verdict

ATTEMPT_HEADER: Final = "Fulmarstile-Attempt"
"""Header with the number of the attempt, from 1, that a daemon sends to the next hop."""

RETRY_BUDGET_HEADER: Final = "Fulmarstile-Retry-Budget"
"""Header with the number of retries that daemons further downstream may still make."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a call, with the retries that its chain of calls may still make."""

    number: int = 1
    """Number of the attempt at this daemon, from 1."""
    retries_left: int = 1
    """Retries that this daemon may make; 0 for a call that is itself a retry."""
    starts_chain: bool = True
    """Whether the call arrived without a budget, so that this daemon is the chain's first."""

    @property
    def attempt_value(self) -> str:
        """Value of `Fulmarstile-Attempt` for the next hop."""
        return str(self.number)

    @property
    def budget_value(self) -> str:
        """Value of `Fulmarstile-Retry-Budget` for the next hop; always 0 for a retry."""
        if self.number > 1 or self.retries_left <= 0:
            return "0"
        return "1"

    def next(self) -> Attempt:
        """Returns the attempt that retries this one."""
        return Attempt(self.number + 1, max(0, self.retries_left - 1), self.starts_chain)


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether a failed attempt is followed by another one."""

    retry: bool
    delay_s: float = 0.0
    """Delay before the next attempt, in seconds."""
    give_up_reason: str = ""
    """Reason for giving up; empty if `retry`."""


class RetryPolicy(Protocol):
    """Decides whether calls are retried or hedged."""

    def on_call(self, route: CompiledRoute, attempt: Attempt, now: float) -> None:
        """Records a new call, which earns its share of the retry budget."""
        ...

    def decide_retry(
        self,
        route: CompiledRoute,
        attempt: Attempt,
        verdict: Verdict,
        reason: RefusalReason,
        now: float,
        remaining_s: float,
    ) -> RetryDecision:
        """Decides whether a failed attempt is retried, and charges the retry to the budget.

        Args:
            route: Route of the call.
            attempt: Attempt that failed.
            verdict: Whether the attempt may have run.
            reason: Why it failed.
            now: Monotonic time in seconds.
            remaining_s: Time left until the deadline of the call, in seconds.

        Returns:
            The decision.
        """
        ...

    def decide_hedge(
        self, route: CompiledRoute, attempt: Attempt, method: str, now: float, remaining_s: float
    ) -> float | None:
        """Returns the delay after which a second attempt may run in parallel, or None.

        Args:
            route: Route of the call.
            attempt: First attempt of the call.
            method: HTTP method.
            now: Monotonic time in seconds.
            remaining_s: Time left until the deadline of the call, in seconds.
        """
        ...

    def start_hedge(self, route: CompiledRoute, attempt: Attempt, now: float) -> bool:
        """Charges a hedge to the budget when its delay has passed.

        Returns:
            Whether the hedge may be sent.
        """
        ...
