"""An error in the second attempt of one request ends neither the daemon nor the request."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._exchange import UpstreamResponse
from fulmarstile_daemon.services._hedges import Hedge, HedgeScheduler
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_wire.services import HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESULT = AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DEADLINE))
SERVED = AttemptResult(
    HopOutcome(Verdict.RAN, reached_upstream=True), UpstreamResponse(200, MessageHeaders(), b"")
)
HEDGE_DELAY_S = 0.1
FIRST_S = 1.0


def fail_to_start() -> None:
    raise LookupError("an error of the test")


async def fail() -> AttemptResult:
    await trio.sleep(0.1)
    raise LookupError("an error of the test")


async def run_first() -> AttemptResult:
    await trio.sleep(FIRST_S)
    return RESULT


class FailingHedgeTest(unittest.TestCase):
    def check_first_attempt_decides(
        self, start_second: Callable[[], Callable[[], Awaitable[AttemptResult]] | None]
    ) -> None:
        async def run() -> None:
            hedges = HedgeScheduler()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedges.start_due_hedges)
                hedge = Hedge(trio.current_time() + HEDGE_DELAY_S, start_second, lambda _: None)
                with self.assertLogs(level="ERROR"):
                    result = await hedges.run(hedge, run_first)
                self.assertIs(result, RESULT)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_an_error_in_a_second_attempt_does_not_end_the_daemon(self) -> None:
        self.check_first_attempt_decides(lambda: fail)

    def test_an_error_in_the_choice_of_its_upstream_does_not_end_the_daemon(self) -> None:
        self.check_first_attempt_decides(fail_to_start)

    def test_a_second_attempt_ends_with_a_first_one_that_ends_before_it_runs(self) -> None:
        async def run() -> None:
            hedges = HedgeScheduler()
            completed: list[bool] = []

            async def run_second() -> AttemptResult:
                await trio.sleep(0.1)
                completed.append(True)
                return SERVED

            async def run_hedged() -> None:
                first_may_end = trio.Event()

                def start_second() -> Callable[[], Awaitable[AttemptResult]]:
                    first_may_end.set()
                    return run_second

                async def run_first() -> AttemptResult:
                    await first_may_end.wait()
                    return SERVED

                await hedges.run(
                    Hedge(trio.current_time(), start_second, lambda _: None), run_first
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(hedges.start_due_hedges)
                for _ in range(20):
                    await run_hedged()
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()
            self.assertEqual(completed, [])

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
