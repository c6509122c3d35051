"""A request that crashes real upstreams is quarantined after the second crash."""

from __future__ import annotations

import unittest
from http import HTTPStatus

import trio

from fulmarstile_testing.fleet import DaemonSpec, upstream_name
from fulmarstile_testing.known_red import pass_over_known_red
from fulmarstile_testing.live_mesh import LiveMesh, open_live_mesh
from fulmarstile_testing.probe import wait_until

SPECS = tuple(
    DaemonSpec(f"planning-{number}", zone, "planning")
    for number, zone in enumerate(("be-bru", "be-ant", "be-lie", "be-bru"), start=1)
)
SECTIONS = {
    "services": "services:\n  - name: planning\n",
    "pools": "pools:\n  - name: planning\n    service: planning\n",
    "routes": "routes:\n  - name: slots\n    path: /slots\n    pool: planning\n",
}
SPEC_NAMES = tuple(spec.name for spec in SPECS)
CRASHING_PATH = "/slots/poison"
HARMLESS_PATH = "/slots/today?delay_ms=20"
RESENDS = 12
RESEND_INTERVAL_S = 0.3
MAX_CRASHES = 2


class CrashingRequestTest(unittest.TestCase):
    @pass_over_known_red
    def test_a_crashing_request_is_refused_after_two_crashes_and_the_others_are_served(
        self,
    ) -> None:
        async def run() -> None:
            async with open_live_mesh(SPECS, upstream_options=("--crash_on=poison",)) as mesh:
                await mesh.publish(SECTIONS)
                await mesh.wait_for_version(1)
                await self._check_crashes(mesh)

        trio.run(run)

    async def _check_crashes(self, mesh: LiveMesh) -> None:
        reasons: set[str] = set()
        async with trio.open_nursery() as nursery:
            for name in SPEC_NAMES:
                nursery.start_soon(_call_until_cancelled, mesh, name, reasons)
            for number in range(RESENDS):
                await mesh.call(SPEC_NAMES[number % len(SPEC_NAMES)], CRASHING_PATH)
                await trio.sleep(RESEND_INTERVAL_S)
            nursery.cancel_scope.cancel()
        self.assertEqual(_count_crashed(mesh), MAX_CRASHES)
        self.assertNotIn("quarantined", reasons)
        await mesh.wait_for_members(SPEC_NAMES, len(SPEC_NAMES) - MAX_CRASHES)
        for name in SPEC_NAMES:
            answer = await mesh.call(name, CRASHING_PATH)
            self.assertEqual(answer.status, HTTPStatus.UNPROCESSABLE_ENTITY)
            await wait_until(lambda name=name: _is_served(mesh, name), f"calls of {name} served")
        self.assertEqual(_count_crashed(mesh), MAX_CRASHES)


def _count_crashed(mesh: LiveMesh) -> int:
    processes = [mesh.fleet.processes[upstream_name(name)] for name in SPEC_NAMES]
    return sum(process.poll() is not None for process in processes)


async def _is_served(mesh: LiveMesh, name: str) -> bool:
    return (await mesh.call(name, HARMLESS_PATH)).status == HTTPStatus.OK


async def _call_until_cancelled(mesh: LiveMesh, name: str, reasons: set[str]) -> None:
    while True:
        answer = await mesh.call(name, HARMLESS_PATH)
        reasons.add(answer.headers.get("fulmarstile-reason", ""))
