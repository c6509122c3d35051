"""Promise: a planned stop cuts off no request in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import (
    CallAnswered,
    CallCut,
    CallRefused,
    CallSent,
    DaemonKilled,
    RunEnded,
    RunStarted,
    StopBegan,
    StopEnded,
    UpstreamCrashed,
    UpstreamLeaving,
    UpstreamReady,
)

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class PlannedStopsCutNothing:
    """Follows the calls and runs in flight on daemons and upstreams that stop as planned."""

    def __init__(self) -> None:
        self._stopping: set[str] = set()
        self._leaving: set[str] = set()
        self._calls: dict[int, str] = {}
        self._runs: dict[tuple[str, int], None] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        match event:
            case CallSent():
                self._calls[event.call] = event.daemon
            case CallAnswered() | CallRefused():
                self._calls.pop(event.call, None)
            case CallCut():
                self._on_cut(event)
            case RunStarted():
                self._runs[event.daemon, event.call] = None
            case RunEnded():
                self._on_run_ended(event)
            case StopBegan():
                self._stopping.add(event.daemon)
            case StopEnded():
                self._on_stop_ended(event)
            case UpstreamLeaving():
                self._leaving.add(event.daemon)
            case UpstreamReady():
                self._leaving.discard(event.daemon)
            case DaemonKilled():
                self._stopping.discard(event.daemon)
                self._leaving.discard(event.daemon)
            case UpstreamCrashed():
                self._leaving.discard(event.daemon)

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""

    def _on_cut(self, event: CallCut) -> None:
        self._calls.pop(event.call, None)
        if event.daemon in self._stopping:
            raise PromiseViolatedError(
                self, f"the planned stop of {event.daemon} cut off call {event.call}"
            )

    def _on_run_ended(self, event: RunEnded) -> None:
        self._runs.pop((event.daemon, event.call), None)
        if not event.complete and event.daemon in self._leaving:
            raise PromiseViolatedError(
                self, f"call {event.call} was cut off on the leaving upstream of {event.daemon}"
            )

    def _on_stop_ended(self, event: StopEnded) -> None:
        calls = [call for call, daemon in self._calls.items() if daemon == event.daemon]
        runs = [call for daemon, call in self._runs if daemon == event.daemon]
        if event.daemon in self._stopping and (calls or runs):
            raise PromiseViolatedError(
                self,
                f"{event.daemon} stopped as planned with calls {calls} and runs {runs} in flight",
            )
        self._stopping.discard(event.daemon)
