"""Case 6: see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib"))

from mesh import TROUBLE, CannotRunError, Mesh, play


def route(service: str) -> list[dict[str, object]]:
    return [
        {"Hostname": "plots.example", "PathPrefix": "/search/", "RouteType": "idempotent",
         "TimeoutS": 2.5, "TargetLatencyS": 0.4, "MaxAttempts": 2, "Priority": 2,
         "Service": service},
    ]


async def scenario(mesh: Mesh) -> bool:
    record = mesh.record
    await mesh.open(["listings", "listings", "listings", "leasing", "leasing", "leasing"])
    mesh.configure(route("listings"))
    await mesh.start()
    for node in mesh.nodes:
        mesh.tasks.append(
            asyncio.create_task(mesh.traffic(node, 15, "GET", "plots.example", "/search/"))
        )
    await asyncio.sleep(8.0)
    mesh.configure(route("listings"))
    await asyncio.sleep(0.8)
    silent_at = record.now()
    if TROUBLE:
        record.say("all open connections to the store go silent; new ones work")
        for node in mesh.nodes:
            node.store_path.silence()
    stable_s, apply_s = mesh.bounds["StableWindowS"], mesh.bounds["ConfigApplyS"]
    await mesh.until(silent_at + stable_s + 0.1)
    mesh.configure(route("leasing"))
    acked_at = record.now()
    record.say("a version that moves the route from listings to leasing is acknowledged")
    await asyncio.sleep(8.0)
    if not any(run[0] > acked_at for i in mesh.instances[3:] for run in i.runs):
        raise CannotRunError("no request followed the new version")

    sent_at = {attempt.id: attempt.sent_at for attempt in mesh.attempts}
    late = sorted(
        sent_at[run[1]] - acked_at
        for instance in mesh.instances[:3]
        for run in instance.runs
        if sent_at[run[1]] > acked_at + apply_s
    )
    record.say(
        f"{len(late)} requests sent later than {apply_s} s after the acknowledgement were run by "
        f"the old service"
    )
    if late:
        record.say(f"the last was sent {late[-1]:.2f} s after it")
    return bool(late)


if __name__ == "__main__":
    sys.exit(play(CASE, None, scenario))
