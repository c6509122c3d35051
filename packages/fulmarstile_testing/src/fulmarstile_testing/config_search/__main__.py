"""Command that searches: `python -m fulmarstile_testing.config_search --seeds=100`.

`--records` plays cases with records out of order in the operator's topic.
`--trace` prints the troubles of each case, and the logs of its daemons.
"""

from __future__ import annotations

import time
from functools import partial
from multiprocessing import get_context
from typing import TYPE_CHECKING

from absl import app, flags

from fulmarstile_testing.config_search.replay import play_seed

if TYPE_CHECKING:
    from collections.abc import Sequence

_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first case.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "Number of cases.")
_JOBS = flags.DEFINE_integer("jobs", 2, "Number of processes.")
_RECORDS = flags.DEFINE_bool("records", False, "Play cases with records out of order.")
_TRACE = flags.DEFINE_bool("trace", False, "Print the troubles and logs of all cases.")


def main(argv: Sequence[str]) -> int:
    """Plays cases and prints those in which a version was late.

    Args:
        argv: Command line; flags only.

    Returns:
        Exit code: 0 if there was none.
    """
    if len(argv) > 1:
        raise app.UsageError("cases are chosen by flags only")
    seeds = range(_FIRST_SEED.value, _FIRST_SEED.value + _SEEDS.value)
    started_at = time.monotonic()
    failed = 0
    play = partial(play_seed, with_records=_RECORDS.value, with_trace=_TRACE.value)
    # What an earlier case leaves behind in a process may change how a case plays.
    pool_size = min(_JOBS.value, len(seeds))
    with get_context("spawn").Pool(pool_size, maxtasksperchild=1) as pool:
        for late, lines in pool.imap_unordered(play, seeds):
            failed += bool(late)
            for line in lines:
                print(line, flush=True)
    elapsed_s = time.monotonic() - started_at
    print(f"{len(seeds)} cases, {failed} with late versions, {elapsed_s:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)
