"""Hedged requests: a second attempt if the first one is slow."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._call import AttemptResult

_LOGGER: Final = logging.getLogger(__name__)

_TICK_INTERVAL_S: Final = 0.05
"""Interval of the check for hedges that are due, in seconds."""


class Hedge:
    """A first attempt to which a second one may be added.

    Args:
        due_at: Time at which the second attempt starts, in seconds.
        start_second: Selects the upstream of the second attempt and returns a function that runs
            it; returns None for no second attempt.
        finish_early: Ends the request with the success of the second attempt, which cancels the
            first one.
    """

    def __init__(
        self,
        due_at: float,
        start_second: Callable[[], Callable[[], Awaitable[AttemptResult]] | None],
        finish_early: Callable[[AttemptResult], None],
    ) -> None:
        self.due_at = due_at
        self.start_second = start_second
        self.finish_early = finish_early
        self.second_scope: trio.CancelScope | None = None
        """Cancel scope of the second attempt once it has started."""
        self.second_ended: trio.Event | None = None
        """Set when the second attempt has ended; None if there is none."""
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
        """Runs a first attempt, and hedges it if its response is late.

        Args:
            hedge: The second attempt.
            first: Runs the first attempt.

        Returns:
            The first success, otherwise the result of an attempt that may have run.
        """
        self._waiting[hedge] = None
        self._has_waiting.set()
        try:
            result = await first()
            self._waiting.pop(hedge, None)
            if hedge.second_ended is not None and not result.is_success:
                await hedge.second_ended.wait()
                return _select_result(result, hedge.result)
            return result
        finally:
            self._waiting.pop(hedge, None)
            if hedge.second_scope is not None:
                hedge.second_scope.cancel()

    async def start_due_hedges(self) -> None:
        """Starts the second attempts that are due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._waiting:
                    self._has_waiting = trio.Event()
                    await self._has_waiting.wait()
                await trio.sleep(_TICK_INTERVAL_S)
                now = trio.current_time()
                for hedge in [waiting for waiting in self._waiting if waiting.due_at <= now]:
                    del self._waiting[hedge]
                    self._start_second(nursery, hedge)

    def _start_second(self, nursery: trio.Nursery, hedge: Hedge) -> None:
        try:
            second = hedge.start_second()
        except Exception:
            # The task that starts second attempts serves all requests.
            _LOGGER.exception("starting a second attempt failed")
            return
        if second is not None:
            ended = hedge.second_ended = trio.Event()
            # The first attempt may end before the task of the second one runs.
            scope = hedge.second_scope = trio.CancelScope()
            nursery.start_soon(self._run_second, hedge, second, scope, ended)

    async def _run_second(
        self,
        hedge: Hedge,
        second: Callable[[], Awaitable[AttemptResult]],
        scope: trio.CancelScope,
        ended: trio.Event,
    ) -> None:
        try:
            with scope:
                hedge.result = await second()
                if hedge.result.is_success:
                    hedge.finish_early(hedge.result)
        except Exception:
            # The first attempt decides, as if there were no second one.
            _LOGGER.exception("a second attempt failed")
        finally:
            ended.set()


def _select_result(first: AttemptResult, second: AttemptResult | None) -> AttemptResult:
    """Selects the result to report, given that the first attempt did not succeed."""
    if second is None:
        return first
    if second.is_success or first.outcome.verdict is Verdict.NOT_RUN:
        return second
    return first
