"""Case 4: see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from mesh import TROUBLE, CannotRunError, Instance, Mesh, play

LATE_S = 5.9
"""Time after which the write whose answer was lost is done."""
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
    # An instance is replaced by another one: it drains, exits, and the new one starts.
    node, old = mesh.nodes[0], mesh.instances[0]
    old.stop_beating()
    if await old.say("Heartbeat", old.heartbeat("draining")) != 200:
        raise CannotRunError("the draining was not acknowledged")
    await asyncio.sleep(mesh.bounds["DrainS"] + 0.5)
    old.end()
    await asyncio.sleep(1.0)
    new = Instance(mesh, node, node.service, "i-77", old.slots)
    new.born = int(time.time() * 1000)
    mesh.instances.append(new)
    is_done = asyncio.Event()
    if TROUBLE:
        # Of the writes of this machine that follow, the first one has no answer and is done late.
        mesh.store.lose_next(node.name.encode(), LATE_S)
        mesh.store.on_late = is_done.set
    began_at = record.now()
    await new.start()
    record.say(f"{new.id} starts at {node.name}")
    await mesh.until(began_at + 2.2)
    if not new.runs:
        raise CannotRunError("the new instance had no requests before it left")
    new.stop_beating()
    status = await new.say("Deregister", {"born": new.born})
    acked_at = record.now()
    if status != 200:
        raise CannotRunError(f"the leaving was not acknowledged: {status}")
    record.say(f"{node.name} has acknowledged at {acked_at:.2f} that {new.id} leaves")
    # Planned work: the daemon is stopped and started again on its own.
    node.signal(signal.SIGTERM)
    stopped_at = record.now()
    while node.process.poll() is None:
        if record.now() > stopped_at + mesh.bounds["GraceS"]:
            node.kill()
        await asyncio.sleep(0.05)
    record.say(f"{node.name} has ended {record.now() - stopped_at:.1f} s after SIGTERM")
    if TROUBLE:
        if is_done.is_set():
            raise CannotRunError("the write was done before the daemon had ended")
        await is_done.wait()
        record.say(f"the write without an answer is done {record.now() - began_at:.1f} s late")
    await asyncio.sleep(0.5)
    node.start()
    calm_at = record.now()
    await mesh.until(acked_at + LINGER_S)
    new.end()

    drain_s, stable_s = mesh.bounds["DrainS"], mesh.bounds["StableWindowS"]
    sent_at = {attempt.id: attempt.sent_at for attempt in mesh.attempts}
    # Only what machines in touch took and sent on: a second is left for the start of the process.
    late = [
        run for run in new.runs
        if run[0] > acked_at + drain_s and sent_at[run[1]] > calm_at + stable_s + 1.0
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
