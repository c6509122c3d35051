"""Promise: a request that is refused as not run was never run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import CallRefused, RunStarted
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class NotRunIsTrue:
    """Looks for runs, before or after, of calls that were refused as not run."""

    def __init__(self) -> None:
        self._started: set[int] = set()
        self._refused: set[int] = set()

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if isinstance(event, RunStarted):
            self._started.add(event.call)
            if event.call in self._refused:
                raise PromiseViolatedError(
                    self, f"call {event.call} ran after it was refused as not run"
                )
        elif isinstance(event, CallRefused) and event.verdict is Verdict.NOT_RUN:
            self._refused.add(event.call)
            if event.call in self._started:
                raise PromiseViolatedError(
                    self, f"call {event.call} ran and was refused as not run ({event.reason})"
                )

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""
