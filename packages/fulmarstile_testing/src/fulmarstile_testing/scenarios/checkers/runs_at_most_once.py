"""Promise: a request that may not be repeated runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import RunStarted

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class RunsAtMostOnce:
    """Counts the runs per customer and idempotency key on all upstreams."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], RunStarted] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if not isinstance(event, RunStarted) or not event.at_most_once:
            return
        if not event.key:
            raise PromiseViolatedError(self, f"call {event.call} ran without an idempotency key")
        first = self._runs.setdefault((event.customer, event.key), event)
        if first is not event:
            raise PromiseViolatedError(
                self,
                f"key {event.key} of {event.customer} ran on {first.daemon} for call"
                f" {first.call} and on {event.daemon} for call {event.call}",
            )

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""
