"""Promise: no proxy ever moves back to an older configuration version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import MemoryLost, TableApplied

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class VersionNeverFalls:
    """Compares each version applied with the highest before; restarts change nothing."""

    def __init__(self) -> None:
        self._highest: dict[tuple[str, str], int] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if isinstance(event, MemoryLost):
            self._forget_customer(event.customer)
        if not isinstance(event, TableApplied):
            return
        key = (event.daemon, event.customer)
        highest = self._highest.get(key, 0)
        if event.version < highest:
            raise PromiseViolatedError(
                self,
                f"{event.daemon} applied version {event.version} of {event.customer}"
                f" after version {highest}",
            )
        self._highest[key] = event.version

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""

    def _forget_customer(self, customer: str) -> None:
        for key in [key for key in self._highest if key[1] == customer]:
            del self._highest[key]
