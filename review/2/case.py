"""Case 2: see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from mesh import TROUBLE, CannotRunError, Mesh, play

REFUSED_S = 9.0
"""How long the store turns one machine away."""
LINGER_S = 16.0
"""How long the instance goes on serving after the acknowledgement."""


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
    node, instance = mesh.nodes[0], mesh.instances[0]
    if not instance.runs:
        raise CannotRunError("the instance had no requests before it left")

    began_at = record.now()
    if TROUBLE:
        record.say(f"the store turns {node.name} away with 503; it serves the others")
        node.store_path.turn_away()
    await mesh.until(began_at + 1.5)
    # It never reports draining: it deregisters, and goes on serving.
    instance.stop_beating()
    status = await instance.say("Deregister", {"born": instance.born})
    acked_at = record.now()
    if status != 200:
        raise CannotRunError(f"the leaving was not acknowledged: {status}")
    record.say(f"{node.name} has acknowledged at {acked_at:.2f} that {instance.id} leaves")
    # Planned work: the daemon is stopped and started again on its own.
    await mesh.until(began_at + 3.0)
    node.signal(signal.SIGTERM)
    stopped_at = record.now()
    while node.process.poll() is None:
        if record.now() > stopped_at + mesh.bounds["GraceS"]:
            node.kill()
        await asyncio.sleep(0.05)
    record.say(f"{node.name} has ended {record.now() - stopped_at:.1f} s after SIGTERM")
    await mesh.until(began_at + REFUSED_S)
    if TROUBLE:
        node.store_path.heal()
        record.say(f"the store serves {node.name} again")
    await asyncio.sleep(0.3)
    node.start()
    calm_at = record.now()
    await mesh.until(acked_at + LINGER_S)
    instance.end()

    drain_s, stable_s = mesh.bounds["DrainS"], mesh.bounds["StableWindowS"]
    sent_at = {attempt.id: attempt.sent_at for attempt in mesh.attempts}
    # Only what machines in touch took and sent on: a second is left for the start of the process.
    late = [
        run for run in instance.runs
        if run[0] > acked_at + drain_s and sent_at[run[1]] > calm_at + stable_s + 1.0
    ]
    record.say(
        f"{len(late)} requests reached {instance.id} later than {drain_s} s after the "
        f"acknowledgement, sent by machines in touch"
    )
    if late:
        record.say(f"the first {late[0][0] - acked_at:.1f} s, the last "
                   f"{late[-1][0] - acked_at:.1f} s after it")
    return bool(late)


if __name__ == "__main__":
    sys.exit(play(CASE, None, scenario))
