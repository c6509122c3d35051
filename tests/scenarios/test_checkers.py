"""Each checker finds the violation of its promise in a violating trace and accepts a valid one."""

from __future__ import annotations

import unittest

from fulmarstile_testing.scenarios import checkers
from fulmarstile_testing.scenarios.checkers import CHECKER_TYPES, PromiseViolatedError
from fulmarstile_testing.scenarios.trace import (
    CallAnswered,
    CallCut,
    CallRefused,
    CallSent,
    DaemonKilled,
    DaemonPaused,
    DaemonResumed,
    DaemonStarted,
    IsolationChanged,
    LogForgot,
    PublicationDecided,
    RouteInForce,
    RunEnded,
    RunStarted,
    StopBegan,
    StopEnded,
    TableApplied,
    TimePassed,
    UpstreamLeaving,
    UpstreamReady,
)
from fulmarstile_wire.verdict import Verdict

ROUTE = RouteInForce("book", "pool", "service")


def applied(version: int, content: str = "c", daemon: str = "d1", **changes) -> TableApplied:
    fields = {"routes": (ROUTE,), "pools": ("pool",), "services": ("service",)} | changes
    return TableApplied(daemon, "a", version, content, **fields)


def decided(version: int, content: str = "c", accepted: bool = True) -> PublicationDecided:
    return PublicationDecided("a", f"p{version}", accepted, version, content)


def sent(call: int, daemon: str = "d1") -> CallSent:
    return CallSent(call, "a", daemon, f"token-{call}", 1.0)


def started(call: int, daemon: str = "d1", key: str = "", once: bool = False) -> RunStarted:
    return RunStarted(call, daemon, "a", f"token-{call}", key, once)


TIME_PASSED = TimePassed(0, "")
STARTED = DaemonStarted("d1", ("a",))

VIOLATING_TRACES = {
    checkers.VersionNeverFalls: [
        [(1, applied(7)), (2, applied(6))],
        [(1, applied(7)), (2, DaemonKilled("d1")), (3, STARTED), (4, applied(3))],
        [(1, applied(7)), (2, LogForgot()), (3, applied(6))],
    ],
    checkers.RoutesHavePools: [
        [(1, applied(1, pools=()))],
        [(1, applied(1, services=("other",)))],
    ],
    checkers.VersionsAreWhole: [
        [(1, decided(1, "whole")), (2, applied(1, "part"))],
        [(1, decided(1)), (2, applied(2))],
        [(1, decided(1)), (2, LogForgot()), (3, applied(1, "lost"))],
        [(1, decided(1, "x")), (2, decided(1, "changed by a refused one", accepted=False))],
    ],
    checkers.AnswersAreWhole: [
        [(1, sent(1)), (2, CallAnswered(1, "token-2", True))],
        [(1, sent(1)), (2, CallAnswered(1, "token-1", False))],
        [(1, sent(1)), (2, CallAnswered(1, "token-1", True)), (3, CallCut(1, "d1"))],
        [(1, sent(1)), (9, TIME_PASSED)],
    ],
    checkers.NotRunIsTrue: [
        [(1, started(1)), (2, CallRefused(1, Verdict.NOT_RUN, "timeout"))],
        [(1, CallRefused(1, Verdict.NOT_RUN, "timeout")), (2, started(1))],
    ],
    checkers.RunsAtMostOnce: [
        [(1, started(1, key="k", once=True)), (2, started(1, "d2", "k", once=True))],
        [(1, started(1, key="k", once=True)), (2, started(2, "d1", "k", once=True))],
        [(1, started(1, once=True))],
    ],
    checkers.LeavingGetsNoWork: [
        [(1, UpstreamLeaving("d1")), (4.001, started(1))],
        [(1, UpstreamLeaving("d1")), (3, UpstreamLeaving("d1")), (4.5, started(1))],
    ],
    checkers.PlannedStopsCutNothing: [
        [(1, sent(1)), (2, StopBegan("d1")), (3, CallCut(1, "d1"))],
        [(1, sent(1)), (2, StopBegan("d1")), (3, StopEnded("d1"))],
        [(1, started(1)), (2, StopBegan("d1")), (3, StopEnded("d1"))],
        [(1, started(1)), (2, UpstreamLeaving("d1")), (3, RunEnded(1, "d1", False))],
    ],
    checkers.AcceptedIsInForce: [
        [(1, STARTED), (2, decided(5)), (15.001, TIME_PASSED)],
        [(1, STARTED), (2, decided(5)), (3, applied(4)), (15.001, TIME_PASSED)],
        [(1, decided(5)), (9, STARTED), (22.001, TIME_PASSED)],
        [(1, STARTED), (2, decided(5)), (3, applied(5)), (4, applied(2)), (16, TIME_PASSED)],
        [
            (1, STARTED),
            (2, decided(5)),
            (3, applied(5)),
            (4, LogForgot()),
            (5, applied(0)),
            (20, TIME_PASSED),
        ],
    ],
}

VALID_TRACE = [
    (1, STARTED),
    (2, decided(5)),
    (3, applied(5)),
    (4, sent(1)),
    (4, started(1, key="k", once=True)),
    (5, UpstreamLeaving("d1")),
    (6, sent(2)),
    (6, started(2)),
    (6, CallRefused(3, Verdict.NOT_RUN, "draining")),
    (7, RunEnded(1, "d1", True)),
    (7, RunEnded(2, "d1", True)),
    (7, CallAnswered(2, "token-2", True)),
    (7, CallAnswered(1, "token-1", True)),
    (8, StopBegan("d1")),
    (9, StopEnded("d1")),
    (10, STARTED),
    (11, UpstreamReady("d1")),
    (12, started(4)),
    (13, applied(5)),
    (14, decided(9)),
    (15, DaemonPaused("d1")),
    (40, TIME_PASSED),
    (41, DaemonResumed("d1")),
    (42, IsolationChanged(("d1",))),
    (80, TIME_PASSED),
    (81, IsolationChanged(())),
    (94, applied(9)),
    (94, TIME_PASSED),
]


def run_checker(checker_type, entries) -> None:
    checker = checker_type()
    for at, event in entries:
        checker.on_event(at, event)
    checker.on_end(entries[-1][0])


class CheckersTest(unittest.TestCase):
    """Violations are found, and nothing else."""

    def test_each_of_the_nine_checkers_has_violating_traces(self):
        self.assertEqual(len(CHECKER_TYPES), 9)
        self.assertEqual(set(CHECKER_TYPES), set(VIOLATING_TRACES))

    def test_every_violating_trace_is_found(self):
        for checker_type, traces in VIOLATING_TRACES.items():
            for number, entries in enumerate(traces):
                with (
                    self.subTest(checker=checker_type.__name__, trace=number),
                    self.assertRaises(PromiseViolatedError),
                ):
                    run_checker(checker_type, entries)

    def test_a_valid_trace_passes_every_checker(self):
        valid = [entry for entry in VALID_TRACE if getattr(entry[1], "call", 0) != 3]
        for checker_type in CHECKER_TYPES:
            with self.subTest(checker=checker_type.__name__):
                run_checker(checker_type, valid)
