"""Promise: a version is applied as a whole or not at all, and an invalid one never."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.base import PromiseViolatedError
from fulmarstile_testing.scenarios.trace import MemoryLost, PublicationDecided, TableApplied

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent


class VersionsAreWhole:
    """Compares each document in force with the one of its version in the reference fold."""

    def __init__(self) -> None:
        self._contents: dict[tuple[str, int], str] = {}

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        if isinstance(event, PublicationDecided):
            self._on_decided(event)
        elif isinstance(event, TableApplied):
            self._on_applied(event)
        elif isinstance(event, MemoryLost):
            self._forget_customer(event.customer)

    def on_end(self, at: float) -> None:
        """Handles the end of the run."""

    def _forget_customer(self, customer: str) -> None:
        for key in [key for key in self._contents if key[0] == customer]:
            del self._contents[key]

    def _on_decided(self, event: PublicationDecided) -> None:
        known = self._contents.setdefault((event.customer, event.version), event.content)
        if known != event.content:
            raise PromiseViolatedError(
                self,
                f"publication {event.publication_id} (accepted: {event.accepted}) changed"
                f" version {event.version} of {event.customer}",
            )

    def _on_applied(self, event: TableApplied) -> None:
        if event.version == 0:
            return
        content = self._contents.get((event.customer, event.version))
        if content != event.content:
            expected = content or "no such version"
            raise PromiseViolatedError(
                self,
                f"{event.daemon} has content {event.content} in force as version"
                f" {event.version} of {event.customer}; accepted: {expected}",
            )
