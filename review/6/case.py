"""Case 6: an acknowledged departure is forgotten if all daemons are killed while the store is down."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from fleet import BOUNDS, TROUBLE, Clients, Record, finish, restart, run_fleet

from fulmarstile_adapter_testing.configuration import make_configuration
from fulmarstile_platform.http import HttpError

STORE_DOWN_S = 4.5
LEAVES_S = 3.0
"""Time from the begin of the outage until the instance says that it leaves, in seconds."""
KILLED_S = 0.5
"""Time from the acknowledgement until all daemons are killed, in seconds."""
RESTART_S = 0.5
STAY_S = 10.0
"""Time for which the instance serves after the acknowledgement, in seconds."""


async def main() -> None:
    record = Record("6")
    clients = Clients(record)
    acked_at = back_at = started_at = 0.0
    async with run_fleet(
        ["shop", "shop", "shop", "stock"],
        lambda vms: make_configuration(1, [vm.host for vm in vms], (7, 3)),
    ) as (vms, store, nursery):
        leaving = vms[0]
        for vm in vms:
            nursery.start_soon(clients.run, vm, 0.03, "GET", "/read/x?delay_ms=60")
        await trio.sleep(BOUNDS["StableWindowS"] + 1)
        if not any(each.ran for each in leaving.upstream.record.requests):
            finish([], record, could_run=False)

        async def take_store_down() -> None:
            nonlocal back_at
            store.faults.status = 503
            record.write("the store answers all calls with 503")
            await trio.sleep(STORE_DOWN_S)
            store.faults.status = 0
            back_at = record.now()
            record.write("the store is back")

        if TROUBLE:
            nursery.start_soon(take_store_down)
        await trio.sleep(LEAVES_S)
        # It says so with a deregistration, serves on for some time, and sends no heartbeat.
        leaving.announces = False
        asked_at = record.now()
        while not acked_at:
            try:
                with trio.move_on_after(1.0):
                    await leaving.send_deregistration()
                    acked_at = record.now()
            except (HttpError, RuntimeError) as error:
                record.write(f"no acknowledgement: {error}")
                await trio.sleep(0.5)
            if record.now() > asked_at + 20.0:
                record.write("the departure was never acknowledged")
                finish([], record)
        record.write(f"{leaving.name} acknowledged that its instance is gone")
        await trio.sleep(KILLED_S)
        if TROUBLE:
            record.write("all daemons are killed")
            await restart(vms, RESTART_S)
            record.write("all daemons are started again")
        started_at = record.now()
        await trio.sleep(acked_at + STAY_S - record.now())
        nursery.cancel_scope.cancel()
    in_touch_at = max(back_at, started_at) + BOUNDS["StableWindowS"]
    record.write(f"all machines are in touch from {in_touch_at:.3f}")
    broken = []
    for served in leaving.upstream.record.requests:
        vm_name, sent_at = clients.sent[served.request_id]
        arrived_at = served.arrived_at - record.start
        if arrived_at > acked_at + BOUNDS["DrainS"] and sent_at > in_touch_at and served.ran:
            broken.append(
                f"{served.request_id}, sent to {vm_name} at {sent_at:.3f}, reached the instance "
                f"at {arrived_at:.3f} and ran; gone since {acked_at:.3f}"
            )
    finish(broken, record)


trio.run(main)
