"""Counts what the mesh cores send, up to the full size of the fleet, in virtual time.

Only counts are taken: no figure of this bench is a duration. Run it with
`python -m fulmarstile_testing.bench_config_cores`.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
from absl import app, flags

from fulmarstile_mesh import DisseminationMode, RelaySettings
from fulmarstile_testing.builders.mesh import CUSTOMER, Traffic, VirtualMesh

if TYPE_CHECKING:
    from collections.abc import Sequence

START_S: Final = 30.0
IDLE_S: Final = 30.0
CHANGE_INTERVAL_S: Final = 5.0
CHANGES: Final = 4
BODY_BYTES: Final = 2000
"""Incompressible bytes of a publication."""

_RECORD_TYPES: Final = ("Heads", "RecordBatch", "RecordRequest", "SnapshotOffer")
_OUT: Final = Path("out/bench_config_cores.json")

_SIZES = flags.DEFINE_list("sizes", ["60", "120", "240", "720"], "Numbers of daemons.")


class CoreCounts(msgspec.Struct, frozen=True):
    """What one daemon sends and the fleet asks of the log, on average."""

    mode: str
    size: int
    is_complete: bool
    """Whether every change was in force on every daemon."""
    idle_messages_per_s: float
    idle_bytes_per_s: float
    record_bytes_per_change: float
    """Heads, requests and records beyond the idle traffic."""
    telling_bytes_per_change: float
    """Gossip of applied versions, with the daemons that put a change in force."""
    log_reads_per_s: float
    """Reads of the customer's stream by the whole fleet without changes."""
    rendezvous_appends_per_s: float


def count(mode: DisseminationMode, size: int) -> CoreCounts:
    """Counts one mode at one size.

    Args:
        mode: How records spread.
        size: Number of daemons; one customer concerns them all.

    Returns:
        The counts.
    """
    mesh = VirtualMesh(seed=size, relay_settings=RelaySettings(mode=mode))
    mesh.add(size)
    mesh.run(START_S)
    mesh.publish(mesh.random.randbytes(BODY_BYTES))
    mesh.run(START_S)
    log_before = mesh.log.counts
    idle = _collect(mesh, IDLE_S)
    log_after = mesh.log.counts
    busy = Traffic()
    for _ in range(CHANGES):
        mesh.publish(mesh.random.randbytes(BODY_BYTES))
        _add(busy, _collect(mesh, CHANGE_INTERVAL_S))
    busy_s = CHANGES * CHANGE_INTERVAL_S
    records = _sum_types(busy, _RECORD_TYPES) - _sum_types(idle, _RECORD_TYPES) * busy_s / IDLE_S
    total = busy.bytes - idle.bytes * busy_s / IDLE_S
    stream = f"config.{CUSTOMER}"
    reads = log_after.reads_per_stream[stream] - log_before.reads_per_stream[stream]
    appends = log_after.appends_per_stream["rendezvous"]
    appends -= log_before.appends_per_stream["rendezvous"]
    return CoreCounts(
        mode=mode.value,
        size=size,
        is_complete=mesh.is_in_force(1 + CHANGES),
        idle_messages_per_s=idle.messages / size / IDLE_S,
        idle_bytes_per_s=idle.bytes / size / IDLE_S,
        record_bytes_per_change=records / size / CHANGES,
        telling_bytes_per_change=(total - records) / size / CHANGES,
        log_reads_per_s=reads / IDLE_S,
        rendezvous_appends_per_s=appends / IDLE_S,
    )


def _collect(mesh: VirtualMesh, seconds: float) -> Traffic:
    for daemon in mesh.running:
        daemon.traffic = Traffic()
    mesh.run(seconds)
    total = Traffic()
    for daemon in mesh.running:
        _add(total, daemon.traffic)
    return total


def _add(total: Traffic, traffic: Traffic) -> None:
    total.messages += traffic.messages
    total.bytes += traffic.bytes
    for name, size in traffic.bytes_by_type.items():
        total.bytes_by_type[name] = total.bytes_by_type.get(name, 0) + size


def _sum_types(traffic: Traffic, names: Sequence[str]) -> float:
    return sum(traffic.bytes_by_type.get(name, 0) for name in names)


def _main(arguments: list[str]) -> None:
    if len(arguments) > 1:
        raise app.UsageError("the bench takes flags only")
    print(
        f"{'mode':<6}{'size':>5}{'in force':>9}{'idle msg/s':>11}{'idle B/s':>9}"
        f"{'record B/chg':>13}{'telling B/chg':>14}{'log reads/s':>12}{'appends/s':>10}"
    )
    rows = []
    for size in _SIZES.value:
        for mode in DisseminationMode:
            row = count(mode, int(size))
            rows.append(row)
            print(
                f"{row.mode:<6}{row.size:>5}{row.is_complete!s:>9}"
                f"{row.idle_messages_per_s:>11.2f}{row.idle_bytes_per_s:>9.0f}"
                f"{row.record_bytes_per_change:>13.0f}{row.telling_bytes_per_change:>14.0f}"
                f"{row.log_reads_per_s:>12.2f}{row.rendezvous_appends_per_s:>10.2f}",
                flush=True,
            )
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


if __name__ == "__main__":
    app.run(_main)
