"""Promise: an upstream that is leaving receives no new work after a few seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import RunStarted, UpstreamLeaving, UpstreamReady

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent

DRAIN_LIMIT_S: Final = 3.0
"""Time after which a leaving upstream gets no new request, in seconds."""


class LeavingGetsNoWork:
    """Looks for runs that start on an upstream after it announced that it is leaving."""

    def __init__(self) -> None:
        self._leaving_since: dict[str, float] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if isinstance(event, UpstreamLeaving):
            self._leaving_since.setdefault(event.daemon, at)
        elif isinstance(event, UpstreamReady):
            self._leaving_since.pop(event.daemon, None)
        elif isinstance(event, RunStarted) and event.daemon in self._leaving_since:
            elapsed_s = at - self._leaving_since[event.daemon]
            if elapsed_s > DRAIN_LIMIT_S:
                raise PromiseViolatedError(
                    self,
                    f"the upstream of {event.daemon} got call {event.call} {elapsed_s:.3f} s"
                    " after it began to leave",
                )

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""
