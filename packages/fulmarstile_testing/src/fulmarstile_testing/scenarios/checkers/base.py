"""Interface of the checkers and the error that they raise."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class PromiseViolatedError(FulmarstileError):
    """The trace shows that a promise was broken.

    Args:
        checker: Checker that found it.
        message: What was seen.
    """

    def __init__(self, checker: Checker, message: str) -> None:
        super().__init__(f"{type(checker).__name__}: {message}")


class Checker(Protocol):
    """Watches the trace of a run for violations of one promise."""

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event.

        Args:
            at: Virtual time in seconds.
            event: What happened.

        Raises:
            PromiseViolatedError: If the promise is broken.
        """
        ...

    def on_end(self, at: float) -> None:
        """Handles the end of the run.

        Args:
            at: Virtual time in seconds.

        Raises:
            PromiseViolatedError: If the promise is broken.
        """
        ...
