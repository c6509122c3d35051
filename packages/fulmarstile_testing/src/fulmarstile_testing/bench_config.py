"""Measures how configuration spreads between real daemons on loopback.

Run it with `make bench-config`. Each design runs at each size: `push` and `pull` are the
product's two modes, `tail` lets every daemon follow the log, `flood` sends whole documents to
all peers.
"""

from __future__ import annotations

import signal
import statistics
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
import trio
from absl import app, flags

from fulmarstile_platform import HttpLogSettings, open_http_log
from fulmarstile_testing.bench_config_fleet import (
    BenchPublisher,
    FleetObserver,
    create_keys,
    open_bench_fleet,
)
from fulmarstile_testing.bench_config_herd import HerdFigures, measure_herd
from fulmarstile_testing.probe import open_probe, wait_until

if TYPE_CHECKING:
    from fulmarstile_testing.bench_config_fleet import BenchFleet, FleetUsage

DESIGNS: Final = ("push", "pull", "tail", "flood")
SIZES: Final = ("8", "16", "32", "64")
CHANGE_TIMEOUT_S: Final = 13.0
SETTLE_S: Final = 5.0
MEET_S: Final = 90.0
"""Time in which the daemons have to find one another, in seconds."""
_OUT: Final = Path("out/bench_config.json")
_MIB: Final = 1 << 20

_DESIGNS = flags.DEFINE_list("designs", list(DESIGNS), "Designs to measure.")
_SIZES = flags.DEFINE_list("sizes", list(SIZES), "Numbers of daemons.")
_HERD_SIZES = flags.DEFINE_list("herd_sizes", ["32"], "Sizes at which half is killed.")
_CHANGES = flags.DEFINE_integer("changes", 20, "Changes published in each run.")
_INTERVAL_S = flags.DEFINE_float("interval_s", 0.5, "Time between two changes, in seconds.")
_IDLE_S = flags.DEFINE_float("idle_s", 10.0, "Time without changes, in seconds.")


class SpreadFigures(msgspec.Struct, frozen=True):
    """Figures of one design at one size."""

    design: str
    size: int
    changes: int
    converged: int
    """Changes that were in force everywhere in time."""
    p50_ms: float
    p99_ms: float
    max_ms: float
    """Time from the append until a change is in force on all daemons."""
    bytes_per_change: float
    """Bytes between daemons beyond the idle traffic, per daemon and change."""
    idle_bytes_per_s: float
    idle_messages_per_s: float
    idle_core_percent: float
    """Processor time of one daemon without changes, percent of a core."""
    core_ms_per_change: float
    """Processor time beyond the idle one, per daemon and change."""
    memory_mib: float
    """Largest resident memory of one daemon."""
    config_reads_per_s: float
    """Reads of the customer's stream by the whole fleet without changes."""
    rendezvous_reads_per_s: float
    """Reads of the rendezvous stream by the whole fleet, in the minute after the start."""
    log_appends_per_s: float
    config_reads_per_change: float
    herd: HerdFigures | None = None


async def measure(design: str, size: int, *, with_herd: bool) -> SpreadFigures:
    """Measures one design at one size.

    Args:
        design: Name of the design.
        size: Number of daemons.
        with_herd: Whether half of the daemons are killed at the end.

    Returns:
        The figures.
    """
    pair = create_keys()
    with open_bench_fleet(design, size, pair) as fleet:
        fleet.start_log()
        await trio.sleep(1.0)
        settings = HttpLogSettings()
        async with open_probe() as probe, open_http_log(fleet.log_address, settings) as log:
            for name in fleet.specs:
                fleet.start_daemon(name)
            observer = FleetObserver(fleet, probe)
            publisher = BenchPublisher(fleet, log, pair)
            await wait_until(observer.knows_everybody, "every daemon knows every other", MEET_S)
            version, _ = await publisher.publish()
            await wait_in_force(fleet, version)
            await trio.sleep(SETTLE_S)
            before = await observer.read_usage()
            await trio.sleep(_IDLE_S.value)
            idle = await observer.read_usage()
            delays_s = await publish_changes(fleet, publisher)
            after = await observer.read_usage()
            figures = _summarize(design, size, delays_s, (before, idle, after))
            if not with_herd:
                return figures
            herd = await measure_herd(fleet, observer, publisher, wait_in_force)
            return msgspec.structs.replace(figures, herd=herd)


async def publish_changes(fleet: BenchFleet, publisher: BenchPublisher) -> list[float | None]:
    """Publishes changes at a steady rate.

    Returns:
        For each the seconds until it was in force everywhere; None if that took too long.
    """
    published = []
    for _ in range(_CHANGES.value):
        published.append(await publisher.publish())
        await trio.sleep(_INTERVAL_S.value)
    last_version, _ = published[-1]
    await wait_in_force(fleet, last_version)
    applied = [fleet.list_applied(name) for name in fleet.specs]
    return [_get_delay(applied, version, appended_at) for version, appended_at in published]


async def wait_in_force(fleet: BenchFleet, version: int) -> float:
    """Waits until a version is in force on all running daemons.

    Returns:
        The time at which it was, in seconds since the epoch; infinity if it took too long.
    """
    with trio.move_on_after(CHANGE_TIMEOUT_S):
        while True:
            times = [
                min((at for v, at in fleet.list_applied(name).items() if v >= version), default=0)
                for name in fleet.processes
                if name in fleet.specs
            ]
            if all(times):
                return max(times)
            await trio.sleep(0.2)
    return float("inf")


def _get_delay(applied: list[dict[int, float]], version: int, appended_at: float) -> float | None:
    times = []
    for versions in applied:
        reached = [at for known, at in versions.items() if known >= version]
        if not reached:
            return None
        times.append(min(reached))
    return max(times) - appended_at


def _summarize(
    design: str,
    size: int,
    delays_s: list[float | None],
    usages: tuple[FleetUsage, FleetUsage, FleetUsage],
) -> SpreadFigures:
    before, idle, after = usages
    converged = sorted(delay for delay in delays_s if delay is not None)
    idle_s = idle.at - before.at
    busy_s = after.at - idle.at
    idle_bytes = (idle.sent_bytes - before.sent_bytes) / idle_s
    idle_core = (idle.processor_s - before.processor_s) / idle_s
    idle_reads = (idle.log.config_reads - before.log.config_reads) / idle_s
    rendezvous_reads = idle.log.rendezvous_reads - before.log.rendezvous_reads
    changes = len(delays_s)
    busy_bytes = after.sent_bytes - idle.sent_bytes - idle_bytes * busy_s
    busy_core_s = after.processor_s - idle.processor_s - idle_core * busy_s
    busy_reads = after.log.config_reads - idle.log.config_reads - idle_reads * busy_s
    return SpreadFigures(
        design=design,
        size=size,
        changes=changes,
        converged=len(converged),
        p50_ms=statistics.median(converged) * 1000,
        p99_ms=converged[min(len(converged) - 1, int(len(converged) * 0.99))] * 1000,
        max_ms=converged[-1] * 1000,
        bytes_per_change=busy_bytes / size / changes,
        idle_bytes_per_s=idle_bytes / size,
        idle_messages_per_s=(idle.sent_messages - before.sent_messages) / idle_s / size,
        idle_core_percent=idle_core / size * 100,
        core_ms_per_change=busy_core_s / size / changes * 1000,
        memory_mib=after.memory_bytes / _MIB,
        config_reads_per_s=idle_reads,
        rendezvous_reads_per_s=rendezvous_reads / idle_s,
        log_appends_per_s=(idle.log.appends - before.log.appends) / idle_s,
        config_reads_per_change=busy_reads / changes,
    )


def print_header() -> None:
    """Prints the head of the table."""
    print(
        f"{'design':<7}{'size':>5}{'in force':>10}{'p50 ms':>8}{'p99 ms':>8}{'max ms':>8}"
        f"{'B/change':>10}{'idle B/s':>9}{'msg/s':>7}{'core %':>8}{'ms/chg':>8}{'MiB':>6}"
        f"{'cfg rd/s':>9}{'rd/chg':>8}{'rdv rd/s':>9}{'app/s':>7}"
    )


def print_row(row: SpreadFigures) -> None:
    """Prints the figures of one run."""
    print(
        f"{row.design:<7}{row.size:>5}{f'{row.converged}/{row.changes}':>10}{row.p50_ms:>8.0f}"
        f"{row.p99_ms:>8.0f}{row.max_ms:>8.0f}{row.bytes_per_change:>10.0f}"
        f"{row.idle_bytes_per_s:>9.0f}{row.idle_messages_per_s:>7.1f}"
        f"{row.idle_core_percent:>8.2f}{row.core_ms_per_change:>8.1f}{row.memory_mib:>6.0f}"
        f"{row.config_reads_per_s:>9.2f}{row.config_reads_per_change:>8.1f}"
        f"{row.rendezvous_reads_per_s:>9.2f}{row.log_appends_per_s:>7.2f}",
        flush=True,
    )
    if row.herd is not None:
        print(f"        herd: {row.herd.describe()}", flush=True)


def _stop_on_sigterm() -> None:
    """Ends the bench as if interrupted, so that no process is left behind."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda number, frame: signal.raise_signal(signal.SIGINT))


def _main(arguments: list[str]) -> None:
    if len(arguments) > 1:
        raise app.UsageError("the bench takes flags only")
    _stop_on_sigterm()
    rows = []
    print_header()
    for size in _SIZES.value:
        for design in _DESIGNS.value:
            with_herd = size in _HERD_SIZES.value
            row = trio.run(lambda d=design, s=int(size), h=with_herd: measure(d, s, with_herd=h))
            print_row(row)
            rows.append(row)
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))
    print(f"written to {_OUT}")


if __name__ == "__main__":
    app.run(_main)
