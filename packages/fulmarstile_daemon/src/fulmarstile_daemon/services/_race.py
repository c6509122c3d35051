"""Two attempts of one request, of which the first good answer counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._call import AttemptResult


class Race:
    """Runs attempts side by side and cancels those that lose.

    Args:
        nursery: Runs the attempts.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._running = 0
        self._changed = trio.Event()
        self.result: AttemptResult | None = None
        """The first good result, or else the last one."""

    @property
    def is_decided(self) -> bool:
        """Whether a good result is there or no attempt runs any more."""
        return not self._running or (self.result is not None and self.result.is_good)

    def start(self, attempt: Callable[[], Awaitable[AttemptResult]]) -> None:
        """Starts an attempt."""
        self._running += 1
        self._nursery.start_soon(self._run, attempt)

    async def wait(self) -> None:
        """Waits until the race is decided."""
        while not self.is_decided:
            await self._changed.wait()

    async def _run(self, attempt: Callable[[], Awaitable[AttemptResult]]) -> None:
        result = await attempt()
        self._running -= 1
        if self.result is None or not self.result.is_good:
            self.result = result
        event, self._changed = self._changed, trio.Event()
        event.set()
