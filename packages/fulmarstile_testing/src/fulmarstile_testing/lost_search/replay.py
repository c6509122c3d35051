"""Plays one case by its seed, in a process of its own."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from dataclasses import dataclass
from typing import Final

from fulmarstile_testing.lost_search.case import Case

_MAX_CASE_S: Final = 60
"""Time after which a case that has not ended fails, in seconds."""


@dataclass(frozen=True, slots=True)
class PlayedSeed:
    """What is to be printed about a case."""

    requests: int
    """Number of requests."""
    failures: list[str]
    """Violations and the options of the case, or the error that ended it."""
    trace: list[str]


def _on_alarm(*_: object) -> None:
    raise TimeoutError("the case has not ended")


def play_seed(seed: int, *, with_trace: bool, only_stops: bool = False) -> PlayedSeed:
    """Plays one case.

    Args:
        seed: Its seed.
        with_trace: Whether to keep the events and the logs of the daemons.
        only_stops: See `Case`.

    Returns:
        What it showed.
    """
    if not with_trace:
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
    signal.signal(signal.SIGALRM, _on_alarm)
    signal.alarm(_MAX_CASE_S)
    try:
        result = Case(seed, only_stops=only_stops).play()
    except Exception:
        return PlayedSeed(0, [f"seed {seed}: ERROR\n{traceback.format_exc()}"], [])
    signal.alarm(0)
    failures = [f"seed {seed}: {each.rule}: {each.detail}" for each in result.violations]
    if failures:
        failures.append(f"seed {seed}: {result.options}")
    return PlayedSeed(len(result.requests), failures, result.trace if with_trace else [])
