"""Expectations of one scenario, in addition to the promises that every run must keep."""

from __future__ import annotations

from fulmarstile_calls.request import RefusalReason
from fulmarstile_config import RefusalCode
from fulmarstile_testing.scenarios.trace import (
    CallAnswered,
    CallCut,
    CallRefused,
    DaemonKilled,
    DaemonStarted,
    PublicationDecided,
    StopEnded,
    TableApplied,
    TraceEvent,
    UpstreamCrashed,
)
from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.verdict import Verdict

_CONFLICT_REASON = RefusalCode.CONFLICT.value
_IN_PROGRESS_REASON = RefusalReason.KEY_IN_PROGRESS.value


class ExpectationError(FulmarstileError):
    """An expectation of the scenario failed."""


class Expectations:
    """Collects state from the trace and checks the `expect` steps against it."""

    def __init__(self) -> None:
        self.publication_id = ""
        """Publication that `check_publication` asks for."""
        self._verdicts: dict[str, PublicationDecided] = {}
        self._accepted: dict[str, int] = {}
        self._applied: dict[str, dict[str, int]] = {}
        self._answered = 0
        self._settled = 0
        self._crashes = 0
        self._cut_calls: list[int] = []

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Handles an event."""
        match event:
            case DaemonStarted():
                self._applied[event.daemon] = {}
            case DaemonKilled() | StopEnded():
                self._applied.pop(event.daemon, None)
            case PublicationDecided():
                self._verdicts[event.publication_id] = event
                self._accepted[event.customer] = event.version
            case TableApplied() if event.daemon in self._applied:
                self._applied[event.daemon][event.customer] = event.version
            case CallAnswered():
                self._answered += 1
                self._settled += 1
            case CallRefused():
                self._settled += 1
                if event.verdict is not Verdict.NOT_RUN and event.reason != _IN_PROGRESS_REASON:
                    self._cut_calls.append(event.call)
            case CallCut():
                self._settled += 1
                self._cut_calls.append(event.call)
            case UpstreamCrashed():
                self._crashes += 1

    def check_in_force(self, customer: str) -> None:
        """Checks that the newest accepted version is in force on every running daemon.

        Args:
            customer: Customer of the document.

        Raises:
            ExpectationError: If it is not.
        """
        version = self._accepted.get(customer, 0)
        missing = [
            name
            for name, applied in sorted(self._applied.items())
            if applied.get(customer, 0) < version
        ]
        if missing or not version:
            raise ExpectationError(f"version {version} of {customer} is missing on {missing}")

    def check_publication(self, expected: str) -> None:
        """Checks the verdict on the last publication.

        Args:
            expected: `accepted`, `refused` or `conflicting`.

        Raises:
            ExpectationError: If the verdict is another one.
        """
        event = self._verdicts.get(self.publication_id)
        if event is None:
            verdict = "undecided"
        elif event.accepted:
            verdict = "accepted"
        else:
            verdict = "conflicting" if event.reason == _CONFLICT_REASON else "refused"
        if verdict != expected:
            reason = event.reason if event is not None else ""
            raise ExpectationError(
                f"publication {self.publication_id} is {verdict} {reason}, not {expected}"
            )

    def check_answered(self, percent: float) -> None:
        """Checks the share of settled calls that an upstream answered.

        Args:
            percent: Minimum share.

        Raises:
            ExpectationError: If the share is smaller, or no call is settled.
        """
        share = 100 * self._answered / self._settled if self._settled else 0.0
        if share < percent:
            raise ExpectationError(
                f"{self._answered} of {self._settled} calls were answered, not {percent:g} %"
            )

    def check_crashes(self, limit: int) -> None:
        """Checks the number of times that upstreams crashed.

        Args:
            limit: Maximum number of crashes.

        Raises:
            ExpectationError: If there were more.
        """
        if self._crashes > limit:
            raise ExpectationError(f"upstreams crashed {self._crashes} times, not {limit}")

    def check_no_call_cut(self) -> None:
        """Checks that no call was cut off or may have run without an answer.

        Raises:
            ExpectationError: If one was.
        """
        if self._cut_calls:
            raise ExpectationError(f"calls {self._cut_calls} were cut off")
