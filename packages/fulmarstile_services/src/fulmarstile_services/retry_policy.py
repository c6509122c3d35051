"""Decides whether a request that failed is retried at another upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.wait_policy import URGENT_PRIORITY
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceRoute
    from fulmarstile_services.retry_budget import RetryBudget
    from fulmarstile_wire.services import HopOutcome

MAX_URGENT_REFUSALS: Final = 3
"""Number of daemons that may refuse an urgent request before it is given up."""
MAX_OTHER_REFUSALS: Final = 2
"""Number of daemons that may refuse any other request before it is given up."""
MIN_REMAINING_S: Final = 0.01
"""Minimum time until the deadline for another attempt, in seconds."""


@dataclass(slots=True)
class AttemptHistory:
    """The failed attempts of one request so far."""

    refusals: int = 0
    """Attempts that were refused before they reached an upstream."""
    upstream_attempts: int = 0
    """Attempts that reached an upstream."""
    may_have_run: bool = False

    def add_outcome(self, outcome: HopOutcome) -> None:
        """Records the outcome of an attempt that failed."""
        if outcome.reached_upstream:
            self.upstream_attempts += 1
        else:
            self.refusals += 1
        if outcome.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether another attempt is made, and why."""

    retry: bool
    why: str


class RetryPolicy:
    """Decides whether a request is retried.

    Retrying a request that no upstream received is free. A retry of a request that reached an
    upstream is paid from the retry budget, and a request that may have run is retried only if its
    route is idempotent.

    Args:
        budget: Retry budget of this daemon.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    def decide(
        self,
        route: ServiceRoute,
        service: str,
        history: AttemptHistory,
        last: HopOutcome,
        remaining_s: float,
    ) -> RetryDecision:
        """Decides whether to retry after an attempt that failed.

        Args:
            route: Route of the request.
            service: Service that the request goes to.
            history: All failed attempts, including the last one.
            last: Outcome of the last attempt.
            remaining_s: Time until the caller's deadline, in seconds.

        Returns:
            The decision.
        """
        if remaining_s < MIN_REMAINING_S:
            return RetryDecision(False, "too little time is left")
        if history.may_have_run and not route.is_idempotent:
            return RetryDecision(False, "the request may have run")
        is_urgent = route.priority <= URGENT_PRIORITY
        if history.refusals >= (MAX_URGENT_REFUSALS if is_urgent else MAX_OTHER_REFUSALS):
            return RetryDecision(False, "too many daemons refused it")
        if not last.reached_upstream and last.verdict is Verdict.NOT_RUN:
            return RetryDecision(True, "no upstream received it")
        if history.upstream_attempts >= route.max_attempts:
            return RetryDecision(False, "the route allows no further attempt")
        if not self._budget.try_spend(service, has_run=last.verdict is Verdict.RAN):
            return RetryDecision(False, "the retry budget is exhausted")
        return RetryDecision(True, "within the retry budget")
