"""What a second attempt brings does not hide what became of the first one."""

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
DUE_S = 0.1


class SecondAttemptTest(unittest.TestCase):
    def run_both(
        self, first: AttemptResult, second: AttemptResult, first_s: float, second_s: float
    ) -> AttemptResult:
        """Runs two attempts of given lengths and returns the result, however it is handed over."""
        handed_over: list[AttemptResult] = []

        async def attempt(result: AttemptResult, for_s: float) -> AttemptResult:
            await trio.sleep(for_s)
            return result

        async def run() -> None:
            hedges = HedgeScheduler()
            scope = trio.CancelScope()

            def end_early(result: AttemptResult) -> None:
                handed_over.append(result)
                scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedges.start_due_hedges)
                hedge = Hedge(
                    trio.current_time() + DUE_S,
                    lambda: lambda: attempt(second, second_s),
                    end_early,
                )
                with scope:
                    result = await hedges.run(hedge, lambda: attempt(first, first_s))
                    handed_over.append(result)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
        return handed_over[0]

    def test_a_refused_second_attempt_does_not_make_a_first_one_that_ran_not_run(self) -> None:
        for first in (FAILED, LOST):
            for second_s in (0.01, 1.0):
                with self.subTest(second_s=second_s):
                    self.assertIs(self.run_both(first, REFUSED, 0.5, second_s), first)

    def test_a_second_attempt_that_ran_is_not_hidden_by_a_first_one_that_was_refused(self) -> None:
        self.assertIs(self.run_both(REFUSED, FAILED, 0.5, 1.0), FAILED)

    def test_the_first_good_answer_is_taken(self) -> None:
        self.assertIs(self.run_both(SERVED, FAILED, 0.5, 0.01), SERVED)
        self.assertIs(self.run_both(FAILED, SERVED, 0.3, 1.0), SERVED)
        self.assertIs(self.run_both(SERVED, SERVED, 1.0, 0.1), SERVED)
