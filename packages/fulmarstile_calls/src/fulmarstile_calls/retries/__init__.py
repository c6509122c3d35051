"""Retrying and hedging of calls."""

from fulmarstile_calls.retries.baselines import FixedRetries
from fulmarstile_calls.retries.budgets import RetryBudgets, RetrySettings
from fulmarstile_calls.retries.policy import (
    ATTEMPT_HEADER,
    RETRY_BUDGET_HEADER,
    Attempt,
    RetryDecision,
    RetryPolicy,
)

__all__ = [
    "ATTEMPT_HEADER",
    "RETRY_BUDGET_HEADER",
    "Attempt",
    "FixedRetries",
    "RetryBudgets",
    "RetryDecision",
    "RetryPolicy",
    "RetrySettings",
]
