"""Second attempts of requests whose answer is late."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._call import AttemptResult

_TICK_S: Final = 0.05
"""Interval at which late answers are looked for, in seconds."""


class Hedge:
    """A first attempt that a second one may join.

    Args:
        due_at: Time from which the answer is late, in seconds.
        begin: Chooses the second attempt; returns None if there is to be none.
        end_early: Ends the request with the good result of the second attempt, which cancels the
            first one.
    """

    def __init__(
        self,
        due_at: float,
        begin: Callable[[], Callable[[], Awaitable[AttemptResult]] | None],
        end_early: Callable[[AttemptResult], None],
    ) -> None:
        self.due_at = due_at
        self.begin = begin
        self.end_early = end_early
        self.second: trio.CancelScope | None = None
        """Scope of the second attempt while it runs."""
        self.ended: trio.Event | None = None
        """Set once the second attempt has ended; None if there is none."""
        self.result: AttemptResult | None = None
        """Result of the second attempt."""


class HedgeScheduler:
    """Starts second attempts when they are due."""

    def __init__(self) -> None:
        self._waiting: dict[Hedge, None] = {}
        self._has_waiting = trio.Event()

    async def run(
        self, hedge: Hedge, first: Callable[[], Awaitable[AttemptResult]]
    ) -> AttemptResult:
        """Runs a first attempt, and a second one beside it if the answer is late.

        Args:
            hedge: The second attempt.
            first: The first one.

        Returns:
            The first good result, or else that of an attempt which may have run.
        """
        self._waiting[hedge] = None
        self._has_waiting.set()
        try:
            result = await first()
            self._waiting.pop(hedge, None)
            if hedge.ended is not None and not result.is_success:
                await hedge.ended.wait()
                return _choose(result, hedge.result)
            return result
        finally:
            self._waiting.pop(hedge, None)
            if hedge.second is not None:
                hedge.second.cancel()

    async def start_forever(self) -> None:
        """Starts the second attempts that are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._waiting:
                    self._has_waiting = trio.Event()
                    await self._has_waiting.wait()
                await trio.sleep(_TICK_S)
                now = trio.current_time()
                for hedge in [each for each in self._waiting if each.due_at <= now]:
                    del self._waiting[hedge]
                    second = hedge.begin()
                    if second is not None:
                        hedge.ended = trio.Event()
                        nursery.start_soon(self._run_second, hedge, second)

    async def _run_second(
        self, hedge: Hedge, second: Callable[[], Awaitable[AttemptResult]]
    ) -> None:
        hedge.second = trio.CancelScope()
        with hedge.second:
            hedge.result = await second()
            if hedge.result.is_success:
                hedge.end_early(hedge.result)
        if hedge.ended is not None:
            hedge.ended.set()


def _choose(first: AttemptResult, second: AttemptResult | None) -> AttemptResult:
    """Chooses between the results of both attempts, of which the first one is not good."""
    if second is None:
        return first
    if second.is_success or first.outcome.verdict is Verdict.NOT_RUN:
        return second
    return first
