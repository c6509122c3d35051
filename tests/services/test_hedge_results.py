"""The result of a hedged request reflects both attempts: a refusal never hides that one ran."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._exchange import UpstreamResponse
from fulmarstile_daemon.services._hedges import Hedge, HedgeScheduler
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_wire.services import HopOutcome
from fulmarstile_wire.verdict import Verdict

FAILED = AttemptResult(
    HopOutcome(Verdict.RAN, reached_upstream=True), UpstreamResponse(500, MessageHeaders(), b"")
)
SERVED = AttemptResult(
    HopOutcome(Verdict.RAN, reached_upstream=True), UpstreamResponse(200, MessageHeaders(), b"")
)
REFUSED = AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DEADLINE))
LOST = AttemptResult(
    make_failure(Verdict.MAY_HAVE_RUN, RefusalReason.CONNECTION_LOST, reached_upstream=True)
)
HEDGE_DELAY_S = 0.1


class HedgeResultTest(unittest.TestCase):
    def run_both(
        self, first: AttemptResult, second: AttemptResult, first_s: float, second_s: float
    ) -> AttemptResult:
        """Runs two attempts of the given durations and returns the result that is used."""
        results: list[AttemptResult] = []

        async def attempt(result: AttemptResult, duration_s: float) -> AttemptResult:
            await trio.sleep(duration_s)
            return result

        async def run() -> None:
            hedges = HedgeScheduler()
            scope = trio.CancelScope()

            def end_early(result: AttemptResult) -> None:
                results.append(result)
                scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedges.start_due_hedges)
                hedge = Hedge(
                    trio.current_time() + HEDGE_DELAY_S,
                    lambda: lambda: attempt(second, second_s),
                    end_early,
                )
                with scope:
                    result = await hedges.run(hedge, lambda: attempt(first, first_s))
                    results.append(result)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return results[0]

    def test_a_refused_hedge_does_not_replace_a_first_attempt_that_may_have_run(self) -> None:
        for first in (FAILED, LOST):
            for second_s in (0.01, 1.0):
                with self.subTest(second_s=second_s):
                    self.assertIs(self.run_both(first, REFUSED, 0.5, second_s), first)

    def test_a_refused_first_attempt_does_not_replace_a_hedge_that_ran(self) -> None:
        self.assertIs(self.run_both(REFUSED, FAILED, 0.5, 1.0), FAILED)

    def test_the_first_successful_answer_is_used(self) -> None:
        self.assertIs(self.run_both(SERVED, FAILED, 0.5, 0.01), SERVED)
        self.assertIs(self.run_both(FAILED, SERVED, 0.3, 1.0), SERVED)
        self.assertIs(self.run_both(SERVED, SERVED, 1.0, 0.1), SERVED)
