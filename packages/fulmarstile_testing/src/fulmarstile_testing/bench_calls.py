"""Bench of calls: latency added by the daemons, and policies against their baselines.

Prints a table and writes `out/bench_calls.json`.
"""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import msgspec
from absl import app, flags

from fulmarstile_testing.bench_calls_load import Load, LoadGenerator, LoadResult
from fulmarstile_testing.bench_calls_policies import (
    PolicyFigure,
    measure_policies,
    print_policies,
)
from fulmarstile_testing.bench_calls_processes import BenchProcess, start_module

CALLS_PER_S: Final = 389.0
"""Calls that one daemon carries at full scale."""
ADDED_P99_TARGET_MS: Final = 1.2
_PATHS: Final = (
    "direct",
    "bare relay",
    "local path",
    "two-daemon path",
    "2 relays, HTTP",
    "2 relays, pynng",
)
_WARM_UP_S: Final = 1.0
_OUT: Final = Path("out/bench_calls.json")


class PathFigures(msgspec.Struct, frozen=True):
    """Latency and cost of one way to the upstream."""

    path: str
    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    added_p50_ms: float
    added_p99_ms: float
    cpu_ms_per_call: float
    """Processor time of the processes between caller and upstream, for each call."""


class BenchReport(msgspec.Struct, frozen=True):
    """Everything that the bench measured."""

    paths: list[PathFigures]
    policies: list[PolicyFigure]


@dataclass(slots=True)
class _PathRun:
    """A way to the upstream and what was measured on it."""

    name: str
    address: str
    processes: tuple[BenchProcess, ...]
    result: LoadResult = field(default_factory=LoadResult)
    cpu_s: float = 0.0

    def measure(self, rate: float, duration_s: float, seed: int) -> None:
        LoadGenerator(Load(self.address, rate, _WARM_UP_S, seed=seed)).run()
        before = self._read_cpu_s()
        self.result.add(LoadGenerator(Load(self.address, rate, duration_s, seed=seed)).run()[0])
        self.cpu_s += self._read_cpu_s() - before

    def _read_cpu_s(self) -> float:
        return sum(process.read_cpu_s() for process in self.processes)


def measure_paths(rate: float, rounds: int, slice_s: float) -> list[PathFigures]:
    """Measures all paths to one stand-in, in turns.

    Args:
        rate: Calls per second on each path.
        rounds: Turns.
        slice_s: Duration of one path's turn, in seconds.

    Returns:
        Figures of each path, the direct one first.
    """
    with ExitStack() as stack:
        runs = _start_paths(stack)
        for number in range(rounds):
            for run in runs:
                run.measure(rate, slice_s, seed=number)
    return _summarize(runs)


def _start_paths(stack: ExitStack) -> list[_PathRun]:
    upstream = stack.enter_context(start_module("upstream_stand_in", "--service=planning"))
    relay = stack.enter_context(start_module("bench_calls_relay", f"--upstream={upstream.address}"))
    local = stack.enter_context(
        start_module("bench_calls_daemon", f"--upstream={upstream.address}")
    )
    entry = stack.enter_context(
        start_module("bench_calls_daemon", "--name=daemon-2", f"--peers={local.address}")
    )
    first = stack.enter_context(start_module("bench_calls_relay", f"--upstream={relay.address}"))
    second = stack.enter_context(
        start_module("bench_calls_pynng", f"--upstream={upstream.address}")
    )
    sender = stack.enter_context(
        start_module("bench_calls_pynng", f"--peer=tcp://{second.address}")
    )
    processes = ((), (relay,), (local,), (entry, local), (first, relay), (sender, second))
    entries = (upstream, relay, local, entry, first, sender)
    addresses = tuple(process.address for process in entries)
    return [_PathRun(*path) for path in zip(_PATHS, addresses, processes, strict=True)]


def _summarize(runs: list[_PathRun]) -> list[PathFigures]:
    direct = runs[0].result.latency
    figures = []
    for run in runs:
        latency = run.result.latency
        p50_ms, p99_ms = _read_ms(latency, 50), _read_ms(latency, 99)
        figures.append(
            PathFigures(
                path=run.name,
                calls=run.result.sent,
                failed=run.result.sent - run.result.succeeded,
                p50_ms=p50_ms,
                p99_ms=p99_ms,
                max_ms=latency.get_max_value() / 1000,
                added_p50_ms=p50_ms - _read_ms(direct, 50),
                added_p99_ms=p99_ms - _read_ms(direct, 99),
                cpu_ms_per_call=run.cpu_s * 1000 / max(1, run.result.sent),
            )
        )
    return figures


def _read_ms(latency: object, percentile: float) -> float:
    return latency.get_value_at_percentile(percentile) / 1000


def print_paths(figures: list[PathFigures]) -> None:
    """Prints the figures of the paths as a table.

    Args:
        figures: The figures.
    """
    print(
        f"{'path':<16}{'calls':>7}{'failed':>7}{'p50 ms':>8}{'p99 ms':>8}{'max ms':>8}"
        f"{'+p50':>7}{'+p99':>7}{'cpu ms/call':>12}"
    )
    for row in figures:
        print(
            f"{row.path:<16}{row.calls:>7}{row.failed:>7}{row.p50_ms:>8.3f}{row.p99_ms:>8.3f}"
            f"{row.max_ms:>8.2f}{row.added_p50_ms:>7.3f}{row.added_p99_ms:>7.3f}"
            f"{row.cpu_ms_per_call:>12.3f}"
        )


def _main(_: list[str]) -> None:
    values = flags.FLAGS
    paths = measure_paths(values.rate, values.rounds, values.slice_s)
    print_paths(paths)
    policies = measure_policies() if values.policies else []
    print_policies(policies)
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.format(msgspec.json.encode(BenchReport(paths, policies))))


if __name__ == "__main__":
    flags.DEFINE_float("rate", CALLS_PER_S, "calls per second on each path")
    flags.DEFINE_integer("rounds", 2, "turns of each path")
    flags.DEFINE_float("slice_s", 4.0, "duration of one turn, in seconds")
    flags.DEFINE_bool("policies", True, "whether the policies are compared as well")
    app.run(_main)
