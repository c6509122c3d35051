"""Half of the daemons is killed while the log is down, and returns."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Final

import msgspec
import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_testing.bench_config_fleet import (
        BenchFleet,
        BenchPublisher,
        FleetObserver,
    )

DEAD_S: Final = 3.0
"""Time between the death of the herd and its return."""

OUTAGE_LIMIT_S: Final = 13.0
"""Longest time that the log stays down after the herd's return."""

SAMPLE_INTERVAL_S: Final = 0.25


class HerdFigures(msgspec.Struct, frozen=True):
    """Figures of the return of half of the daemons."""

    from_peers_s: float | None
    """From the return until the last version is in force again while the log is down; None if
    that did not happen in time."""
    after_outage_s: float | None
    """From the append of a change, right after the outage, until it is in force everywhere."""
    peak_reads_per_s: float
    peak_appends_per_s: float

    def describe(self) -> str:
        """Returns the figures as one line."""
        return (
            f"in force again with the log down: {_format(self.from_peers_s)},"
            f" next change in force everywhere: {_format(self.after_outage_s)},"
            f" log peak: {self.peak_reads_per_s:.0f} reads/s,"
            f" {self.peak_appends_per_s:.0f} appends/s"
        )


async def measure_herd(
    fleet: BenchFleet,
    observer: FleetObserver,
    publisher: BenchPublisher,
    wait_in_force: Callable[[BenchFleet, int], Awaitable[float]],
) -> HerdFigures:
    """Kills half of the daemons with the log down, starts them again, ends the outage.

    Args:
        fleet: The fleet.
        observer: Its observer.
        publisher: Publishes the change after the outage.
        wait_in_force: Waits until a version is in force everywhere.

    Returns:
        The figures.
    """
    version, _ = await publisher.publish()
    await wait_in_force(fleet, version)
    herd = list(fleet.specs)[::2]
    await observer.switch_log(outage=True)
    for name in herd:
        fleet.kill(name)
        (fleet.directory / f"{name}.out").unlink()
    await trio.sleep(DEAD_S)
    returned_at = time.time()
    for name in herd:
        fleet.start_daemon(name)
    in_force_at = await wait_in_force(fleet, version)
    samples: list[tuple[float, int, int]] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_sample_log, observer, samples)
        await observer.switch_log(outage=False)
        next_version, appended_at = await publisher.publish()
        next_at = await wait_in_force(fleet, next_version)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return HerdFigures(
        from_peers_s=_finite(in_force_at - returned_at),
        after_outage_s=_finite(next_at - appended_at),
        peak_reads_per_s=_find_peak([(at, reads) for at, reads, _ in samples]),
        peak_appends_per_s=_find_peak([(at, appends) for at, _, appends in samples]),
    )


async def _sample_log(observer: FleetObserver, samples: list[tuple[float, int, int]]) -> None:
    while True:
        counts = await observer.read_log_counts()
        samples.append((time.time(), counts.reads, counts.appends))
        await trio.sleep(SAMPLE_INTERVAL_S)


def _find_peak(samples: list[tuple[float, int]]) -> float:
    rates = [
        (count - before) / (at - since)
        for (since, before), (at, count) in zip(samples, samples[1:], strict=False)
        if at > since
    ]
    return max(rates, default=0.0)


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def _format(value: float | None) -> str:
    return "not in time" if value is None else f"{value:.2f} s"
