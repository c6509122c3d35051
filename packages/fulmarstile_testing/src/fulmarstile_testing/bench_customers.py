"""Measures what a resting daemon costs by the number of its customers, on real processes.

Run it with `python -m fulmarstile_testing.bench_customers`.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
import trio
from absl import app, flags

from fulmarstile_config import generate_key_pair
from fulmarstile_testing.fleet import DaemonSpec, open_fleet
from fulmarstile_testing.probe import open_probe, wait_until

if TYPE_CHECKING:
    from fulmarstile_testing.fleet import LocalFleet
    from fulmarstile_testing.probe import FleetProbe

AVAILABILITY_ZONES: Final = ("be-bru", "be-ant", "be-lie")
SETTLE_S: Final = 15.0
"""Time after the daemons have met that is not measured, in seconds."""
_OUT: Final = Path("out/bench_customers.json")
_MIB: Final = 1 << 20

_DAEMONS: Final = flags.DEFINE_integer("daemons", 8, "Number of daemons.")
_CUSTOMERS: Final = flags.DEFINE_list("customers", ["1", "10", "50"], "Numbers of customers.")
_REST_S: Final = flags.DEFINE_float("rest_s", 20.0, "Time measured, in seconds.")


class RestFigures(msgspec.Struct, frozen=True):
    """Mean cost of a resting daemon."""

    customers: int
    core_share: float
    """Share of one core."""
    memory_mib: float
    sent_bytes_per_s: float
    """Bytes sent to other daemons."""
    sent_messages_per_s: float
    log_reads_per_s: float
    """Reads of the log by the whole fleet."""


async def measure(fleet: LocalFleet, probe: FleetProbe, customers: int) -> RestFigures:
    """Lets a started fleet rest and returns what a daemon has cost.

    Args:
        fleet: The processes.
        probe: Sends requests to them.
        customers: Number of customers of each daemon.

    Returns:
        The figures.
    """
    count = len(fleet.specs)

    async def have_met() -> bool:
        for address in fleet.admin_addresses.values():
            members = await probe.get_json(address, "/v1/members") or []
            if len(members) < count:
                return False
        return True

    await wait_until(have_met, f"{count} daemons know one another")
    await trio.sleep(SETTLE_S)
    before = await _read_totals(fleet, probe)
    await trio.sleep(_REST_S.value)
    after = await _read_totals(fleet, probe)
    rest_s = _REST_S.value
    processor_s, sent_bytes, sent_messages, log_reads = (
        (late - early) / rest_s for early, late in zip(before, after, strict=True)
    )
    memory = sum(fleet.read_usage(name).memory_bytes for name in fleet.specs)
    return RestFigures(
        customers=customers,
        core_share=processor_s / count,
        memory_mib=memory / count / _MIB,
        sent_bytes_per_s=sent_bytes / count,
        sent_messages_per_s=sent_messages / count,
        log_reads_per_s=log_reads,
    )


async def _read_totals(fleet: LocalFleet, probe: FleetProbe) -> tuple[float, float, float, float]:
    processor_s = sum(fleet.read_usage(name).processor_s for name in fleet.specs)
    states = [await probe.get_json(item, "/state") for item in fleet.admin_addresses.values()]
    links = [state["counters"]["links"] for state in states]
    sent_bytes = sum(link["sent_bytes"] for link in links)
    sent_messages = sum(link["sent_messages"] for link in links)
    log_reads = sum(state["counters"]["log"]["reads"] for state in states)
    return processor_s, sent_bytes, sent_messages, log_reads


async def _run(customers: int) -> RestFigures:
    specs = [
        DaemonSpec(f"planning-{number}", AVAILABILITY_ZONES[number % 3], "planning")
        for number in range(_DAEMONS.value)
    ]
    owners = {
        f"customer-{number:03}": generate_key_pair().public_key for number in range(customers)
    }
    with open_fleet(specs, owners) as fleet:
        fleet.start_log()
        for spec in specs:
            fleet.start_daemon(spec.name)
        async with open_probe() as probe:
            return await measure(fleet, probe, customers)


def main(_: list[str]) -> None:
    """Runs the bench, prints a table and writes JSON."""
    rows = []
    print("customers  core %  MiB   bytes/s  messages/s  log reads/s of the fleet")
    for text in _CUSTOMERS.value:
        row = trio.run(_run, int(text))
        rows.append(row)
        print(
            f"{row.customers:9}  {row.core_share:6.2%}  {row.memory_mib:4.0f}"
            f"  {row.sent_bytes_per_s:7.0f}  {row.sent_messages_per_s:10.1f}"
            f"  {row.log_reads_per_s:.1f}",
            flush=True,
        )
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_bytes(msgspec.json.encode(rows))


if __name__ == "__main__":
    app.run(main)
