"""Command that runs scenarios: `python -m fulmarstile_testing.scenarios --seeds=200`."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from absl import app, flags

from fulmarstile_testing.scenarios.driver import run_scenario
from fulmarstile_testing.scenarios.parser import parse_scenario
from fulmarstile_testing.scenarios.runner import RunRequest, list_requests, run_all

_DIRECTORY = flags.DEFINE_string("directory", "scenarios", "Directory of the scenario files.")
_SEEDS = flags.DEFINE_integer("seeds", 200, "Number of runs, over all files and pairs.")
_FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first run.")
_JOBS = flags.DEFINE_integer("jobs", min(4, os.cpu_count() or 1), "Number of processes.")
_ONLY = flags.DEFINE_string("only", "", "One scenario file, or a pair such as herd+log-outage.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the run of --only.")
_TRACE = flags.DEFINE_bool("trace", False, "Print the whole trace of --only.")


def main(argv: list[str]) -> int:
    """Runs the scenarios.

    Args:
        argv: Command line; flags only.

    Returns:
        Exit code: 0 if all runs passed.
    """
    if len(argv) > 1:
        raise app.UsageError("scenarios are chosen by flags only")
    if _ONLY.value:
        requests = [RunRequest(_ONLY.value, _SEED.value)]
        if _TRACE.value:
            _print_trace(requests[0])
    else:
        requests = list_requests(Path(_DIRECTORY.value), _FIRST_SEED.value, _SEEDS.value)
    started_at = time.monotonic()
    failures = run_all(requests, min(_JOBS.value, len(requests)))
    for failure in failures:
        print(failure.describe())
    elapsed_s = time.monotonic() - started_at
    print(f"{len(requests)} runs, {len(failures)} failed, {elapsed_s:.1f} s")
    return 1 if failures else 0


def _print_trace(request: RunRequest) -> None:
    result = run_scenario(parse_scenario(request.read_text(), request.name), request.seed)
    sys.stdout.buffer.write(result.trace.encode() + b"\n")


if __name__ == "__main__":
    app.run(main)
