"""Plays one case by its seed, in a process of its own."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from typing import Final

from fulmarstile_testing.lost_search.case import Case

_MAX_CASE_S: Final = 60
"""Time after which a case that has not ended fails, in seconds."""


def _on_alarm(*_: object) -> None:
    raise TimeoutError("the case has not ended")


def play_seed(seed: int, *, with_trace: bool) -> tuple[int, list[str]]:
    """Plays one case.

    Args:
        seed: Its seed.
        with_trace: Whether to keep the events and the logs of the daemons.

    Returns:
        Number of requests, and what is to be printed.
    """
    if not with_trace:
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
    signal.signal(signal.SIGALRM, _on_alarm)
    signal.alarm(_MAX_CASE_S)
    try:
        result = Case(seed).play()
    except Exception:
        return 0, [f"seed {seed}: ERROR\n{traceback.format_exc()}"]
    lines = [f"seed {seed}: {each.rule}: {each.detail}" for each in result.violations]
    signal.alarm(0)
    if lines:
        lines.append(f"seed {seed}: {result.options}")
    return len(result.requests), lines + (result.trace if with_trace else [])
