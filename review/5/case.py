"""Case 5: see claim.txt."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from mesh import HEARTBEAT_S, TROUBLE, CannotRunError, Instance, Mesh, play

LATE_S = 3.0
"""How late the heartbeats of the new incarnation arrive."""
LINGER_S = 14.0
"""How long the instance goes on serving after the acknowledgement."""


async def beat(instance: Instance, late_s: float) -> None:
    """Sends heartbeats as an instance does; each arrives late."""
    while True:
        asyncio.get_running_loop().create_task(deliver(instance, instance.heartbeat(), late_s))
        await asyncio.sleep(HEARTBEAT_S)


async def deliver(instance: Instance, body: dict[str, object], late_s: float) -> None:
    await asyncio.sleep(late_s)
    await instance.say("Heartbeat", body)


async def scenario(mesh: Mesh) -> bool:
    record = mesh.record
    await mesh.open(["listings", "listings", "listings", "leasing", "leasing", "documents"])
    mesh.configure([
        {"Hostname": "plots.example", "PathPrefix": "/search/", "RouteType": "idempotent",
         "TimeoutS": 2.5, "TargetLatencyS": 0.4, "MaxAttempts": 2, "Priority": 2,
         "Service": "listings"},
    ])
    await mesh.start()
    for node in mesh.nodes:
        mesh.tasks.append(
            asyncio.create_task(mesh.traffic(node, 15, "GET", "plots.example", "/search/"))
        )
    await asyncio.sleep(3.0)
    node, old = mesh.nodes[0], mesh.instances[0]
    if not old.runs:
        raise CannotRunError("the instance had no requests before it crashed")
    record.say(f"{old.id}, born {old.born}, crashes")
    old.end()
    await asyncio.sleep(1.0)
    new = Instance(mesh, node, old.service, old.id, old.slots)
    new.born = int(time.time() * 1000)
    mesh.instances.append(new)
    await new.start(beats=False)
    late_s = LATE_S if TROUBLE else 0.0
    beating = asyncio.create_task(beat(new, late_s))
    record.say(f"{new.id} has started again under its id, born {new.born}; its heartbeats are "
               f"{late_s} s late")
    await asyncio.sleep(2.5)
    if not new.runs:
        raise CannotRunError("the new incarnation had no requests before it left")
    beating.cancel()
    status = await new.say("Deregister", {"born": new.born})
    acked_at = record.now()
    if status != 200:
        raise CannotRunError(f"the leaving was not acknowledged: {status}")
    record.say(f"{node.name} has acknowledged at {acked_at:.2f} that {new.id} leaves")
    calm_at = acked_at + late_s
    await mesh.until(acked_at + LINGER_S)
    new.end()

    drain_s, stable_s = mesh.bounds["DrainS"], mesh.bounds["StableWindowS"]
    sent_at = {attempt.id: attempt.sent_at for attempt in mesh.attempts}
    late = [
        run for run in new.runs
        if run[0] > acked_at + drain_s and sent_at[run[1]] > calm_at + stable_s
    ]
    record.say(
        f"{len(late)} requests reached {new.id} later than {drain_s} s after the "
        f"acknowledgement, sent by machines in touch"
    )
    if late:
        record.say(f"the first {late[0][0] - acked_at:.1f} s, the last "
                   f"{late[-1][0] - acked_at:.1f} s after it")
    return bool(late)


if __name__ == "__main__":
    sys.exit(play(CASE, None, scenario))
