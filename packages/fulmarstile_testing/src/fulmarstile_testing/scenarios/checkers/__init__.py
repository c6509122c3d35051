"""One checker for each promise of the product."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_testing.scenarios.checkers.accepted_is_in_force import AcceptedIsInForce
from fulmarstile_testing.scenarios.checkers.answers_are_whole import AnswersAreWhole
from fulmarstile_testing.scenarios.checkers.base import Checker, PromiseViolatedError
from fulmarstile_testing.scenarios.checkers.leaving_gets_no_work import LeavingGetsNoWork
from fulmarstile_testing.scenarios.checkers.not_run_is_true import NotRunIsTrue
from fulmarstile_testing.scenarios.checkers.planned_stops_cut_nothing import PlannedStopsCutNothing
from fulmarstile_testing.scenarios.checkers.routes_have_pools import RoutesHavePools
from fulmarstile_testing.scenarios.checkers.runs_at_most_once import RunsAtMostOnce
from fulmarstile_testing.scenarios.checkers.version_never_falls import VersionNeverFalls
from fulmarstile_testing.scenarios.checkers.versions_are_whole import VersionsAreWhole

if TYPE_CHECKING:
    from fulmarstile_testing.scenarios.trace import TraceEvent

CHECKER_TYPES: tuple[type[Checker], ...] = (
    VersionNeverFalls,
    RoutesHavePools,
    VersionsAreWhole,
    AnswersAreWhole,
    NotRunIsTrue,
    RunsAtMostOnce,
    LeavingGetsNoWork,
    PlannedStopsCutNothing,
    AcceptedIsInForce,
)
"""Checkers that watch every scenario, in the order of the promises."""


class CheckerSet:
    """All checkers of one run."""

    def __init__(self) -> None:
        self._checkers = [checker_type() for checker_type in CHECKER_TYPES]

    def on_event(self, at: float, event: TraceEvent) -> None:
        """Passes an event to every checker.

        Args:
            at: Virtual time in seconds.
            event: What happened.

        Raises:
            PromiseViolatedError: If a promise is broken.
        """
        for checker in self._checkers:
            checker.on_event(at, event)

    def on_end(self, at: float) -> None:
        """Tells every checker that the run ended.

        Args:
            at: Virtual time in seconds.

        Raises:
            PromiseViolatedError: If a promise is broken.
        """
        for checker in self._checkers:
            checker.on_end(at)


__all__ = [
    "CHECKER_TYPES",
    "AcceptedIsInForce",
    "AnswersAreWhole",
    "Checker",
    "CheckerSet",
    "LeavingGetsNoWork",
    "NotRunIsTrue",
    "PlannedStopsCutNothing",
    "PromiseViolatedError",
    "RoutesHavePools",
    "RunsAtMostOnce",
    "VersionNeverFalls",
    "VersionsAreWhole",
]
