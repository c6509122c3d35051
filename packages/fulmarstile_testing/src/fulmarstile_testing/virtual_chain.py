"""Chains of calls through many services whose upstreams fail, without time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from fulmarstile_calls.request import RefusalReason
from fulmarstile_calls.retries import Attempt
from fulmarstile_testing.builders.calls import make_route
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.retries import RetryPolicy
    from fulmarstile_config.document import RetryRule


class VirtualChain:
    """Services that call one another in a row; each hop has its own retry policy.

    Args:
        depth: Number of services in the chain.
        make_policy: Makes the policy of one hop.
        rule: Retry rule of all routes.
        seed: Seed of all randomness.
    """

    def __init__(
        self, depth: int, make_policy: Callable[[], RetryPolicy], rule: RetryRule, seed: int
    ) -> None:
        self.failing = 0.0
        """Share of the attempts at each hop that meet a failing upstream."""
        self.failing_before_run = 0.5
        """Share of the failures that happen before the request runs."""
        self.attempts = [0] * depth
        """Attempts made at each hop."""
        self.runs = [0] * depth
        """Requests run at each hop."""
        self.answered = 0
        """Calls of the first hop that were answered."""
        self._random = random.Random(seed)
        self._policies = [make_policy() for _ in range(depth)]
        self._route = make_route(retry=rule, idempotent=True)

    def call(self) -> None:
        """Makes one call at the first hop."""
        if self._enter(0, "", "") is None:
            self.answered += 1

    def _enter(self, hop: int, attempt_value: str, budget_value: str) -> Verdict | None:
        if hop == len(self._policies):
            return None
        policy = self._policies[hop]
        attempt = Attempt(1, 99)
        if hasattr(policy, "make_first_attempt"):
            attempt = policy.make_first_attempt(attempt_value, budget_value)
        policy.on_call(self._route, attempt, 0.0)
        while True:
            verdict = self._try(hop, attempt)
            if verdict is None:
                return None
            reason = RefusalReason.CONNECTION_LOST
            if verdict is Verdict.NOT_RUN:
                reason = RefusalReason.CONNECT_FAILED
            decision = policy.decide_retry(self._route, attempt, verdict, reason, 0.0, 10.0)
            if not decision.retry:
                return verdict
            attempt = attempt.next()

    def _try(self, hop: int, attempt: Attempt) -> Verdict | None:
        self.attempts[hop] += 1
        fails = self._random.random() < self.failing
        if fails and self._random.random() < self.failing_before_run:
            return Verdict.NOT_RUN
        self.runs[hop] += 1
        below = self._enter(hop + 1, attempt.attempt_value, attempt.budget_value)
        if fails or below is not None:
            return Verdict.MAY_HAVE_RUN
        return None
