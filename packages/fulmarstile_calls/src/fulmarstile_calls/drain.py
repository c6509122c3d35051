"""Phases of a planned stop of an upstream or a daemon."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_calls.admission._refusals import refuse_draining

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal


class DrainPhase(enum.Enum):
    """Phase of a planned stop."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    """The stop is announced to peers; calls that still arrive are served."""
    REFUSING = "refusing"
    """New calls are refused as not run; those in flight finish."""
    DONE = "done"
    """No call is in flight any more."""
    TIMED_OUT = "timed-out"
    """The time limit passed with calls still in flight."""


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Settings of `Drain`."""

    announce_s: float = 1.5
    """Time for which calls are still served after the announcement, in seconds."""
    limit_s: float = 30.0
    """Time from the announcement after which calls in flight are no longer awaited, in seconds."""


class Drain:
    """State machine of one planned stop; the embedder announces the stop to peers on `begin`.

    Args:
        settings: Settings.
    """

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self._phase = DrainPhase.SERVING
        self._began_at = 0.0

    @property
    def phase(self) -> DrainPhase:
        """Phase as of the last event."""
        return self._phase

    @property
    def is_finished(self) -> bool:
        """Whether the process may stop."""
        return self._phase in (DrainPhase.DONE, DrainPhase.TIMED_OUT)

    def begin(self, now: float) -> None:
        """Begins the stop; a second call changes nothing."""
        if self._phase is not DrainPhase.SERVING:
            return
        self._phase = DrainPhase.ANNOUNCED
        self._began_at = now

    def time_out(self) -> None:
        """Ends the wait for calls in flight before the limit; new ones are refused."""
        if not self.is_finished:
            self._phase = DrainPhase.TIMED_OUT

    def check_new_call(self, now: float) -> CallRefusal | None:
        """Returns the refusal of a call that arrives now, or None if it is served."""
        if self._phase is DrainPhase.ANNOUNCED and self._is_announced_long_enough(now):
            self._phase = DrainPhase.REFUSING
        if self._phase in (DrainPhase.SERVING, DrainPhase.ANNOUNCED):
            return None
        return refuse_draining()

    def on_tick(self, in_flight: int, now: float) -> DrainPhase:
        """Moves to the next phase if it is due.

        Args:
            in_flight: Calls that are still in flight.
            now: Monotonic time in seconds.

        Returns:
            The phase.
        """
        self.check_new_call(now)
        if self._phase is not DrainPhase.REFUSING:
            return self._phase
        if in_flight == 0:
            self._phase = DrainPhase.DONE
        elif now - self._began_at >= self._settings.limit_s:
            self._phase = DrainPhase.TIMED_OUT
        return self._phase

    def _is_announced_long_enough(self, now: float) -> bool:
        return now - self._began_at >= self._settings.announce_s
