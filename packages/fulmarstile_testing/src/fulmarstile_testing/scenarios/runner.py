"""Runs many scenarios with many seeds, and describes failures."""

from __future__ import annotations

import traceback
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import TYPE_CHECKING, Final

from fulmarstile_testing.scenarios.driver import run_scenario
from fulmarstile_testing.scenarios.pairs import PAIR_NAMES, write_pair
from fulmarstile_testing.scenarios.parser import parse_scenario
from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from collections.abc import Iterator

FAILURE_EVENT_COUNT: Final = 25
"""Events of the trace that a failure shows."""

PAIR_SEPARATOR: Final = "+"
"""Separates the two failures in the name of a pair."""


@dataclass(frozen=True, slots=True)
class RunRequest:
    """One run of one scenario."""

    name: str
    """Scenario file, or two failures joined by `PAIR_SEPARATOR`."""
    seed: int

    def read_text(self) -> str:
        """Returns the text of the scenario."""
        if PAIR_SEPARATOR in self.name:
            first, _, second = self.name.partition(PAIR_SEPARATOR)
            return write_pair(first, second, self.seed)
        return Path(self.name).read_text("utf-8")

    @property
    def command(self) -> str:
        """Command that repeats the run."""
        return f"python -m fulmarstile_testing.scenarios --only={self.name} --seed={self.seed}"


@dataclass(frozen=True, slots=True)
class RunFailure:
    """A run that broke a promise or an expectation."""

    request: RunRequest
    message: str
    last_events: str

    def describe(self) -> str:
        """Returns the failure as it is printed."""
        return (
            f"FAILED {self.request.name} seed {self.request.seed}: {self.message}\n"
            f"last steps:\n{self.last_events}\n"
            f"repeat with: {self.request.command}\n"
        )


def run_one(request: RunRequest) -> RunFailure | None:
    """Runs one scenario.

    Args:
        request: Scenario and seed.

    Returns:
        The failure, or None.
    """
    result = run_scenario(parse_scenario(request.read_text(), request.name), request.seed)
    if result.failure is None:
        return None
    last_events = result.trace.encode(FAILURE_EVENT_COUNT).decode()
    return RunFailure(request, _describe_error(result.failure), last_events)


def run_all(requests: list[RunRequest], jobs: int) -> list[RunFailure]:
    """Runs scenarios in several processes.

    Args:
        requests: Scenarios and seeds.
        jobs: Number of processes.

    Returns:
        The failures in the order of the requests.
    """
    if jobs <= 1:
        outcomes = [run_one(request) for request in requests]
    else:
        with get_context("spawn").Pool(jobs) as pool:
            outcomes = pool.map(run_one, requests, chunksize=4)
    return [outcome for outcome in outcomes if outcome is not None]


def list_requests(directory: Path, first_seed: int, count: int) -> list[RunRequest]:
    """Lists runs in turn over all files and all pairs of failures.

    Args:
        directory: Directory of the scenario files.
        first_seed: Seed of the first run; each run has the next one.
        count: Number of runs.

    Returns:
        The runs.
    """
    names = [str(path) for path in sorted(directory.glob("*.scenario"))]
    pairs = [PAIR_SEPARATOR.join(pair) for pair in PAIR_NAMES]
    return [
        RunRequest(name, first_seed + index)
        for index, name in zip(range(count), _alternate(names, pairs), strict=False)
    ]


def _describe_error(error: Exception) -> str:
    if isinstance(error, FulmarstileError):
        return str(error)
    return "".join(traceback.format_exception(error)).strip()


def _alternate(names: list[str], pairs: list[str]) -> Iterator[str]:
    """Yields one file and two pairs in turn, without end."""
    index = 0
    while True:
        yield names[index % len(names)]
        yield pairs[2 * index % len(pairs)]
        yield pairs[(2 * index + 1) % len(pairs)]
        index += 1
