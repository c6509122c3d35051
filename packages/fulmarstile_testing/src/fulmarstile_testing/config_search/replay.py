"""Plays one case by its seed, in a process of its own."""

from __future__ import annotations

import os
import signal
import sys
import traceback
from typing import Final

from fulmarstile_testing.config_search.case import Case
from fulmarstile_testing.config_search.record_case import RecordCase

_MAX_CASE_S: Final = 180
"""Time after which a case that has not ended fails, in seconds."""
_SHOWN: Final = 4
"""Number of late versions that are printed."""


def _on_alarm(*_: object) -> None:
    raise TimeoutError("the case has not ended")


def play_seed(seed: int, *, with_records: bool, with_trace: bool) -> tuple[int, list[str]]:
    """Plays a case.

    Args:
        seed: Its seed.
        with_records: Whether records are out of order in the operator's topic.
        with_trace: Whether to print the troubles and the logs of the daemons in any case.

    Returns:
        The number of late versions, and what is to be printed.
    """
    if not with_trace:
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
    signal.signal(signal.SIGALRM, _on_alarm)
    signal.alarm(_MAX_CASE_S)
    case = RecordCase(seed) if with_records else Case(seed)
    try:
        case.play()
    except Exception:
        return 1, [f"seed {seed}: ERROR\n{traceback.format_exc()}", *case.result.trace]
    finally:
        signal.alarm(0)
    late = case.result.late
    shown = [f"seed {seed}: {line}" for line in late[:_SHOWN]]
    if late:
        shown.append(f"seed {seed}: {len(late)} late; {case.result.options}")
    if late or with_trace:
        shown += [f"seed {seed}:   {line}" for line in case.result.trace]
    return len(late), shown
