"""Policies of the call path under load and faults, against simple baselines."""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING, Final
from urllib.request import urlopen

import msgspec

from fulmarstile_testing.bench_calls_load import Load, LoadGenerator, LoadResult
from fulmarstile_testing.bench_calls_processes import start_module
from fulmarstile_testing.upstream_stand_in import Counts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarstile_testing.bench_calls_processes import BenchProcess

_SLOTS: Final = 10
_DELAY_MS: Final = 50.0
_TIMEOUT_MS: Final = 500
_DURATION_S: Final = 6.0
_OVERLOAD: Final = 3.0
_NOISE: Final = 10.0
_QUIET_PER_S: Final = 60.0
_READ_PER_S: Final = 200.0
_PROBE_PER_S: Final = 20.0
_PROBE_S: Final = 1.5
_COUNTS_TIMEOUT_S: Final = 5.0


class PolicyFigure(msgspec.Struct, frozen=True):
    """One measure of one policy."""

    experiment: str
    policy: str
    measure: str
    value: float
    target: str = ""


def measure_policies() -> list[PolicyFigure]:
    """Runs all experiments.

    Returns:
        Their figures.
    """
    return [
        *_measure_overload(),
        *_measure_noise(),
        *_measure_amplification(),
        *_measure_balancing(),
    ]


def print_policies(figures: list[PolicyFigure]) -> None:
    """Prints figures as a table.

    Args:
        figures: The figures.
    """
    for row in figures:
        print(
            f"{row.experiment:<28}{row.policy:<20}{row.measure:<34}{row.value:>9.3f}  {row.target}"
        )


def _measure_overload() -> list[PolicyFigure]:
    """Goodput at three times the capacity, with answers wanted within a deadline."""
    figures = []
    for policy in ("unbounded", "fifo", "fair"):
        with _serve_one(f"--admission={policy}") as (upstream, daemon):
            capacity = _measure_capacity(upstream)
            result = _run(Load(daemon.address, _OVERLOAD * capacity, _DURATION_S))[0]
        goodput = result.succeeded / _DURATION_S / capacity
        target = ">= 0.9" if policy == "fair" else "baseline"
        figures.append(PolicyFigure("overload x3", policy, "goodput / capacity", goodput, target))
    return figures


def _measure_noise() -> list[PolicyFigure]:
    """Goodput and p99 of one customer while another sends ten times its share."""
    figures = []
    for policy in ("fifo", "fair"):
        with _serve_one(f"--admission={policy}") as (upstream, daemon):
            share = _measure_capacity(upstream) / 2
            calm = _run_two_customers(daemon, share)
            noisy = _run_two_customers(daemon, share * _NOISE)
        goodput = noisy.succeeded / max(1, calm.succeeded)
        p99 = _p99_ms(noisy) / max(0.001, _p99_ms(calm))
        is_ours = policy == "fair"
        figures += [
            PolicyFigure(
                "noisy customer x10",
                policy,
                "other's goodput, noisy / calm",
                goodput,
                ">= 0.95" if is_ours else "baseline",
            ),
            PolicyFigure(
                "noisy customer x10",
                policy,
                "other's p99, noisy / calm",
                p99,
                "<= 2" if is_ours else "baseline",
            ),
        ]
    return figures


def _measure_amplification() -> list[PolicyFigure]:
    """Requests run for each call while one upstream of three breaks every connection."""
    figures = []
    policies = (
        ("fixed x3", "--retries=fixed", "--balancer=random", "baseline"),
        ("budget", "--retries=budget", "--balancer=random", "<= 1.1"),
        ("budget, 2 choices", "--retries=budget", "--balancer=two-choices", "<= 1.1"),
    )
    for policy, retries, balancer, target in policies:
        faults = ("--drop_rate=1", "--drop_rate=0", "--drop_rate=0")
        with _serve_pool(faults, retries, balancer) as (upstreams, entry):
            result = _run(Load(entry.address, _READ_PER_S, _DURATION_S))[0]
            ran = sum(_read_counts(upstream).total for upstream in upstreams)
        figures += [
            PolicyFigure(
                "a third failing", policy, "requests run / calls", ran / result.sent, target
            ),
            PolicyFigure(
                "a third failing", policy, "answered / calls", result.succeeded / result.sent
            ),
        ]
    return figures


def _measure_balancing() -> list[PolicyFigure]:
    """Latency over upstreams of differing speed."""
    figures = []
    for policy in ("random", "round-robin", "two-choices"):
        speeds = ("--delay_ms=10", "--delay_ms=20", "--delay_ms=100")
        with _serve_pool(speeds, "--retries=budget", f"--balancer={policy}") as (_, entry):
            result = _run(Load(entry.address, _READ_PER_S, _DURATION_S))[0]
        figures += [
            PolicyFigure("speeds 10/20/100 ms", policy, "p99 ms", _p99_ms(result)),
            PolicyFigure(
                "speeds 10/20/100 ms", policy, "answered / calls", result.succeeded / result.sent
            ),
        ]
    return figures


@contextmanager
def _serve_one(*flags: str) -> Iterator[tuple[BenchProcess, BenchProcess]]:
    with ExitStack() as stack:
        upstream = stack.enter_context(start_module("upstream_stand_in", f"--delay_ms={_DELAY_MS}"))
        daemon = stack.enter_context(
            start_module(
                "bench_calls_daemon",
                f"--upstream={upstream.address}",
                f"--slots={_SLOTS}",
                f"--timeout_ms={_TIMEOUT_MS}",
                *flags,
            )
        )
        yield upstream, daemon


@contextmanager
def _serve_pool(
    upstream_flags: tuple[str, ...], *entry_flags: str
) -> Iterator[tuple[list[BenchProcess], BenchProcess]]:
    """Serves upstreams, each with its daemon, and one daemon that calls enter at."""
    with ExitStack() as stack:
        upstreams = []
        peers = []
        for number, flag in enumerate(upstream_flags):
            upstream = stack.enter_context(start_module("upstream_stand_in", flag))
            name, address = f"--name=peer-{number}", f"--upstream={upstream.address}"
            peer = stack.enter_context(start_module("bench_calls_daemon", name, address))
            upstreams.append(upstream)
            peers.append(peer.address)
        entry = stack.enter_context(
            start_module(
                "bench_calls_daemon", "--name=entry", f"--peers={','.join(peers)}", *entry_flags
            )
        )
        yield upstreams, entry


def _run(*loads: Load) -> list[LoadResult]:
    return LoadGenerator(*loads).run()


def _run_two_customers(daemon: BenchProcess, noisy_per_s: float) -> LoadResult:
    """Returns the result of the quiet customer."""
    quiet = Load(
        daemon.address,
        _QUIET_PER_S,
        _DURATION_S,
        headers=(("Fulmarstile-Customer", "quiet"),),
        seed=2,
    )
    noisy = Load(
        daemon.address,
        noisy_per_s,
        _DURATION_S,
        headers=(("Fulmarstile-Customer", "noisy"),),
        seed=3,
    )
    return _run(quiet, noisy)[0]


def _measure_capacity(upstream: BenchProcess) -> float:
    """Returns the calls per second that the slots allow, from the latency without load."""
    result = _run(Load(upstream.address, _PROBE_PER_S, _PROBE_S))[0]
    return _SLOTS / (result.latency.get_mean_value() / 1e6)


def _p99_ms(result: LoadResult) -> float:
    return result.latency.get_value_at_percentile(99) / 1000


def _read_counts(upstream: BenchProcess) -> Counts:
    url = f"http://{upstream.address}/__stand_in/counts"
    with urlopen(url, timeout=_COUNTS_TIMEOUT_S) as response:
        return msgspec.json.decode(response.read(), type=Counts)
