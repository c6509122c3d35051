"""Command that searches: `python -m fulmarstile_testing.lost_search --seeds=100`.

`--seed=N` replays one case; `--trace` prints its events, its requests and the logs of
its daemons.
"""

from __future__ import annotations

import sys
import time
from functools import partial
from multiprocessing import get_context
from typing import TYPE_CHECKING, Final

from absl import app, flags

from fulmarstile_testing.lost_search.replay import play_seed

if TYPE_CHECKING:
    from collections.abc import Sequence

_PROGRESS_CASES: Final = 100

_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first case.")
_SEEDS = flags.DEFINE_integer("seeds", 100, "Number of cases.")
_SEED = flags.DEFINE_integer("seed", None, "Plays this case only.")
_JOBS = flags.DEFINE_integer("jobs", 2, "Number of processes.")
_ONLY_STOPS = flags.DEFINE_bool(
    "only_stops", False, "All daemons stop in a row beside long requests, without other faults."
)
_TRACE = flags.DEFINE_bool("trace", False, "Print the events of the cases.")


def main(argv: Sequence[str]) -> int:
    """Plays cases and prints the violations.

    Args:
        argv: Command line; flags only.

    Returns:
        Exit code: 0 if there was no violation.
    """
    if len(argv) > 1:
        raise app.UsageError("cases are chosen by flags only")
    seeds = range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value)
    if _SEED.value is not None:
        seeds = range(_SEED.value, _SEED.value + 1)
    started_at = time.monotonic()
    play = partial(play_seed, with_trace=_TRACE.value, only_stops=_ONLY_STOPS.value)
    played = failed = requests = 0
    with get_context("spawn").Pool(min(_JOBS.value, len(seeds))) as pool:
        for result in pool.imap_unordered(play, seeds):
            played += 1
            requests += result.requests
            failed += bool(result.failures)
            for line in result.failures + result.trace:
                print(line, flush=True)
            if played % _PROGRESS_CASES == 0:
                print(f"{played} cases played", file=sys.stderr, flush=True)
    elapsed_s = time.monotonic() - started_at
    print(f"{len(seeds)} cases, {requests} requests, {failed} failed, {elapsed_s:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
