"""Promise: every caller gets the whole answer to its own request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import CallAnswered, CallCut, CallRefused, CallSent

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent

SETTLE_MARGIN_S: Final = 3.0
"""Time after its time-out by which a call must be answered, refused or cut, in seconds."""


class AnswersAreWhole:
    """Matches answers with requests: complete, of the same content, once, and in time."""

    def __init__(self) -> None:
        self._open_calls: dict[int, tuple[float, CallSent]] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if isinstance(event, CallSent):
            self._open_calls[event.call] = (at, event)
        elif isinstance(event, CallAnswered | CallRefused | CallCut):
            self._on_settled(event)

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""
        for call, (sent_at, event) in sorted(self._open_calls.items()):
            if at > sent_at + event.timeout_s + SETTLE_MARGIN_S:
                raise PromiseViolatedError(self, f"call {call} was never answered")

    def _on_settled(self, event: CallAnswered | CallRefused | CallCut) -> None:
        entry = self._open_calls.pop(event.call, None)
        if entry is None:
            raise PromiseViolatedError(self, f"call {event.call} was answered twice or never sent")
        if not isinstance(event, CallAnswered):
            return
        if not event.complete:
            raise PromiseViolatedError(self, f"call {event.call} got a part of an answer")
        if event.token != entry[1].token:
            raise PromiseViolatedError(
                self,
                f"call {event.call} got the answer to {event.token}, not {entry[1].token}",
            )
