"""Whether a request that got no good answer is sent to another upstream."""

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
"""Daemons that may refuse an urgent request before it is given up."""
MAX_OTHER_REFUSALS: Final = 2
"""Daemons that may refuse any other request before it is given up."""
MIN_REMAINING_S: Final = 0.01
"""Time that must be left for another attempt, in seconds."""


@dataclass(slots=True)
class AttemptHistory:
    """What was tried for one request so far."""

    refusals: int = 0
    """Attempts that no upstream saw."""
    upstream_attempts: int = 0
    """Attempts that an upstream saw."""
    may_have_run: bool = False

    def add_outcome(self, outcome: HopOutcome) -> None:
        """Takes in how an attempt ended without a good answer."""
        if outcome.reached_upstream:
            self.upstream_attempts += 1
        else:
            self.refusals += 1
        if outcome.verdict is not Verdict.NOT_RUN:
            self.may_have_run = True


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether another attempt is made."""

    retry: bool
    why: str


class RetryPolicy:
    """Decides about further attempts.

    A refusal that no upstream saw costs nothing. What an upstream saw is paid from the budget,
    and what may have run is repeated for idempotent routes only.

    Args:
        budget: Budget of this daemon.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self._budget = budget

    def decide(
        self,
        route: ServiceRoute,
        service: str,
        record: AttemptHistory,
        last: HopOutcome,
        left_s: float,
    ) -> RetryDecision:
        """Decides after an attempt that brought no good answer.

        Args:
            route: Route of the request.
            service: Service that it goes to.
            record: All attempts, the last one included.
            last: How the last one ended.
            left_s: Time until the caller needs the answer, in seconds.

        Returns:
            The choice.
        """
        if left_s < MIN_REMAINING_S:
            return RetryDecision(False, "no time is left")
        if record.may_have_run and not route.is_idempotent:
            return RetryDecision(False, "the request may have run")
        is_urgent = route.priority <= URGENT_PRIORITY
        if record.refusals >= (MAX_URGENT_REFUSALS if is_urgent else MAX_OTHER_REFUSALS):
            return RetryDecision(False, "too many daemons refused it")
        if not last.reached_upstream and last.verdict is Verdict.NOT_RUN:
            return RetryDecision(True, "no upstream saw it")
        if record.upstream_attempts >= route.max_attempts:
            return RetryDecision(False, "the route allows no further attempt")
        if not self._budget.try_spend(service, has_run=last.verdict is Verdict.RAN):
            return RetryDecision(False, "the retry budget is spent")
        return RetryDecision(True, "within the budget")
