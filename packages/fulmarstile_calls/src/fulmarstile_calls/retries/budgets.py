"""Retry policy with a token budget for each customer and route."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries.policy import Attempt, RetryDecision
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    import random

    from fulmarstile_config.document import RetryRule
    from fulmarstile_config.routing_table import CompiledRoute

MAX_BUDGETS: Final = 4096
"""Most budgets kept; the least recently used one is dropped first."""

HEDGED_METHODS: Final = frozenset({"GET", "HEAD"})
"""Methods that may be hedged."""

FINAL_REASONS: Final = frozenset(
    {
        RefusalReason.NO_ROUTE,
        RefusalReason.NO_CUSTOMER,
        RefusalReason.RATE_LIMITED,
        RefusalReason.DEADLINE,
        RefusalReason.QUARANTINED,
        RefusalReason.KEY_MISSING,
        RefusalReason.KEY_INVALID,
        RefusalReason.KEY_EXPIRED,
        RefusalReason.KEY_REUSED,
        RefusalReason.KEY_IN_PROGRESS,
        RefusalReason.KEY_COMPLETED,
        RefusalReason.KEY_OUTCOME_UNKNOWN,
        RefusalReason.LOG_UNAVAILABLE,
        RefusalReason.BAD_REQUEST,
    }
)
"""Refusal reasons that are not retried, as another upstream would not answer differently."""

_MAX_BUDGET_DIGITS: Final = 2
_FULL_TOKEN: Final = 1.0 - 1e-9
"""Balance that counts as one token, in spite of rounding errors."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Settings of `RetryBudgets`."""

    burst: float = 10.0
    """Most tokens that each half of a budget can accumulate."""
    initial_tokens: float = 2.0
    """Tokens of a new budget for retries of requests that were not run."""
    retries_per_call: int = 2
    """Most retries of one call at one daemon."""
    base_delay_s: float = 0.005
    """Longest random delay before the first retry, in seconds; doubled on each further one."""
    max_delay_s: float = 0.25
    """Longest random delay, in seconds."""


class _Budget:
    """Tokens of one customer and route; each retry costs one.

    A retry of an attempt that may have run repeats the work of all calls downstream. A retry
    of one that was not run repeats none. Each kind is paid from its own half of the rule's
    percentage, so that both together stay within it.
    """

    __slots__ = ("initial_debt", "may_have_run_tokens", "not_run_tokens")

    def __init__(self, initial_tokens: float) -> None:
        self.not_run_tokens = initial_tokens
        self.may_have_run_tokens = 0.0
        self.initial_debt = initial_tokens
        """Initial tokens that calls have yet to earn, which keeps them within the percentage."""

    def earn(self, rule: RetryRule, burst: float) -> None:
        """Adds the share of a token that one call earns."""
        share = rule.budget_percent / 200
        self.may_have_run_tokens = min(burst, self.may_have_run_tokens + share)
        if self.initial_debt > 0.0:
            self.initial_debt -= share
            return
        self.not_run_tokens = min(burst, self.not_run_tokens + share)

    def spend(self, may_have_run: bool) -> bool:
        """Spends one token; returns False if there is none."""
        if may_have_run:
            if self.may_have_run_tokens < _FULL_TOKEN:
                return False
            self.may_have_run_tokens -= 1.0
            return True
        if self.not_run_tokens < _FULL_TOKEN:
            return False
        self.not_run_tokens -= 1.0
        return True


class RetryBudgets:
    """Limits retries and hedges to a budget that calls earn.

    Only the first daemon of a chain of calls retries an attempt that may have run; the others
    retry only what was not run. A call that is itself a retry is never retried further
    downstream. So the load at any depth of the chain stays within the first daemon's budget.

    Args:
        settings: Settings.
        random: Source of the random delays.
    """

    def __init__(self, settings: RetrySettings, random: random.Random) -> None:
        self._settings = settings
        self._random = random
        self._budgets: OrderedDict[tuple[str, str], _Budget] = OrderedDict()

    @property
    def budget_count(self) -> int:
        """Number of budgets kept."""
        return len(self._budgets)

    def make_first_attempt(self, attempt_value: str = "", budget_value: str = "") -> Attempt:
        """Returns the first attempt of a call that arrives from a caller.

        Args:
            attempt_value: Value of `Fulmarstile-Attempt`; empty if absent.
            budget_value: Value of `Fulmarstile-Retry-Budget`; empty if absent.

        Returns:
            The attempt; it has no retries left if the call is itself a retry, if its chain of
            calls has used up its retries, or if a value is malformed.
        """
        limit = self._settings.retries_per_call
        if attempt_value not in ("", "1"):
            return Attempt(1, 0, starts_chain=False)
        if not attempt_value and not budget_value:
            return Attempt(1, limit)
        if not budget_value:
            return Attempt(1, min(limit, 1), starts_chain=False)
        well_formed = budget_value.isascii() and budget_value.isdigit()
        if not well_formed or len(budget_value) > _MAX_BUDGET_DIGITS:
            return Attempt(1, 0, starts_chain=False)
        return Attempt(1, min(limit, int(budget_value)), starts_chain=False)

    def on_call(self, route: CompiledRoute, attempt: Attempt, now: float) -> None:
        """See `RetryPolicy.on_call`."""
        if route.retry is None or attempt.retries_left <= 0:
            return
        self._find_budget(route).earn(route.retry, self._settings.burst)

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
        give_up_reason = _find_give_up_reason(route, attempt, verdict, reason)
        if give_up_reason:
            return RetryDecision(retry=False, give_up_reason=give_up_reason)
        delay_s = self._draw_delay(attempt)
        if delay_s >= remaining_s:
            return RetryDecision(retry=False, give_up_reason="no time is left")
        if not self._find_budget(route).spend(verdict is not Verdict.NOT_RUN):
            return RetryDecision(retry=False, give_up_reason="the retry budget is spent")
        return RetryDecision(retry=True, delay_s=delay_s)

    def decide_hedge(
        self, route: CompiledRoute, attempt: Attempt, method: str, now: float, remaining_s: float
    ) -> float | None:
        """See `RetryPolicy.decide_hedge`."""
        rule = route.retry
        if rule is None or rule.hedge_after_ms <= 0 or not route.route.idempotent:
            return None
        if route.route.at_most_once or method not in HEDGED_METHODS:
            return None
        if attempt.number != 1 or attempt.retries_left <= 0 or not attempt.starts_chain:
            return None
        delay_s = rule.hedge_after_ms / 1000
        return delay_s if delay_s < remaining_s else None

    def start_hedge(self, route: CompiledRoute, attempt: Attempt, now: float) -> bool:
        """See `RetryPolicy.start_hedge`."""
        if attempt.retries_left <= 0 or not attempt.starts_chain:
            return False
        return self._find_budget(route).spend(may_have_run=True)

    def _draw_delay(self, attempt: Attempt) -> float:
        settings = self._settings
        ceiling_s = settings.base_delay_s * 2.0 ** min(attempt.number - 1, 16)
        return self._random.random() * min(ceiling_s, settings.max_delay_s)

    def _find_budget(self, route: CompiledRoute) -> _Budget:
        key = (route.customer, route.route.name)
        budget = self._budgets.get(key)
        if budget is not None:
            self._budgets.move_to_end(key)
            return budget
        budget = self._budgets[key] = _Budget(self._settings.initial_tokens)
        if len(self._budgets) > MAX_BUDGETS:
            self._budgets.popitem(last=False)
        return budget


def _find_give_up_reason(
    route: CompiledRoute, attempt: Attempt, verdict: Verdict, reason: RefusalReason
) -> str:
    rule = route.retry
    if rule is None or attempt.number >= rule.attempts:
        return "the route allows no further attempt"
    if attempt.retries_left <= 0:
        return "the chain of calls has used up its retries"
    if reason in FINAL_REASONS:
        return f"{reason.value} is not retried"
    if verdict is Verdict.RAN:
        return "the request ran"
    if verdict is Verdict.NOT_RUN:
        return ""
    if route.route.at_most_once or not route.route.idempotent:
        return "the request may have run"
    if not attempt.starts_chain:
        return "only the first daemon of a chain retries a request that may have run"
    if attempt.number > 1:
        return "a request that may have run twice may be the cause of the failures"
    return ""
