"""Real daemons keep their guarantees while processes, links and the log fail."""

from __future__ import annotations

import functools
import signal
import unittest
from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from fulmarstile_platform.http import HttpError
from fulmarstile_testing.fleet import DaemonSpec, upstream_name
from fulmarstile_testing.live_mesh import REQUEST_ID, LiveMesh, open_live_mesh
from fulmarstile_testing.probe import build_key, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SPECS = (
    DaemonSpec("planning-1", "be-bru", "planning"),
    DaemonSpec("planning-2", "be-ant", "planning"),
    DaemonSpec("reservations-1", "be-lie", "reservations"),
    DaemonSpec("reservations-2", "be-bru", "reservations"),
)

SPEC_NAMES = tuple(spec.name for spec in SPECS)

SECTIONS = {
    "services": "services:\n  - name: planning\n  - name: reservations\n",
    "pools": (
        "pools:\n  - name: planning\n    service: planning\n"
        "  - name: reservations\n    service: reservations\n"
    ),
    "routes": (
        "routes:\n  - name: slots\n    path: /slots\n    pool: planning\n    idempotent: true\n"
        "  - name: reserve\n    path: /reservations\n    pool: reservations\n"
        "    at_most_once: true\n"
    ),
}

CHANGED_ROUTES = {"routes": SECTIONS["routes"].replace("pool: planning", "pool: reservations")}

RESENDS = 4
ATTEMPT_LIMIT_S = 4.0


def run_with_fleet(test: Callable[[unittest.TestCase, LiveMesh], Awaitable[None]]) -> Callable:
    """Runs an asynchronous test on a fleet that has applied version 1."""

    @functools.wraps(test)
    def run(case: unittest.TestCase) -> None:
        async def run_async() -> None:
            async with open_live_mesh(SPECS) as mesh:
                await mesh.publish(SECTIONS)
                await mesh.wait_for_version(1)
                await test(case, mesh)

        trio.run(run_async)

    return run


class FleetFailureTest(unittest.TestCase):
    @run_with_fleet
    async def test_killed_daemons_recover_from_peers_while_the_log_is_down(
        self, mesh: LiveMesh
    ) -> None:
        killed = ("planning-2", "reservations-1")
        await mesh.switch_log(outage=True)
        for name in killed:
            mesh.fleet.kill(name)
        for name in killed:
            mesh.fleet.start_daemon(name, seeds=(mesh.fleet.peer_addresses["planning-1"],))
        await mesh.wait_for_version(1)
        await mesh.switch_log(outage=False)
        await mesh.publish(CHANGED_ROUTES, base_version=1)
        await mesh.wait_for_version(2)

    @run_with_fleet
    async def test_a_paused_daemon_applies_a_missed_version_after_it_resumes(
        self, mesh: LiveMesh
    ) -> None:
        mesh.fleet.send_signal("reservations-1", signal.SIGSTOP)
        await mesh.publish(CHANGED_ROUTES, base_version=1)
        await mesh.wait_for_version(2, ("planning-1", "planning-2", "reservations-2"))
        mesh.fleet.send_signal("reservations-1", signal.SIGCONT)
        await mesh.wait_for_version(2)

    def test_silent_links_are_replaced_and_new_versions_still_reach_all_daemons(self) -> None:
        async def run() -> None:
            async with open_live_mesh(SPECS, relayed="reservations-1") as mesh:
                await mesh.publish(SECTIONS)
                await mesh.wait_for_version(1)
                assert mesh.relay is not None
                accepted = mesh.relay.accepted
                mesh.relay.silence()
                await mesh.switch_log(delay_ms=3000)
                await mesh.publish(CHANGED_ROUTES, base_version=1)
                await mesh.wait_for_version(2)
                self.assertGreater(mesh.relay.accepted, accepted)
                await mesh.wait_for_members(SPEC_NAMES, len(SPECS))

        trio.run(run)

    @run_with_fleet
    async def test_a_log_that_restarts_empty_is_seeded_again_and_no_version_reverts(
        self, mesh: LiveMesh
    ) -> None:
        await mesh.publish(CHANGED_ROUTES, base_version=1)
        await mesh.wait_for_version(2)
        await mesh.restart_log()

        async def is_seeded() -> bool:
            path = "/v1/streams/config.laundry/records?offset=0"
            page = await mesh.probe.get_json(mesh.fleet.log_address, path)
            return page is not None and len(page["records"]) > 0

        await wait_until(is_seeded, "the log seeded again")
        await mesh.wait_for_version(2)
        await mesh.publish({"routes": SECTIONS["routes"]}, base_version=2)
        await mesh.wait_for_version(3)

    @run_with_fleet
    async def test_a_reservation_runs_at_most_once_while_a_daemon_and_an_upstream_are_killed(
        self, mesh: LiveMesh
    ) -> None:
        keys = {f"reservation-{number}": build_key(number) for number in range(12)}
        async with trio.open_nursery() as nursery:
            for request_id, key in keys.items():
                for name in ("planning-1", "planning-2"):
                    nursery.start_soon(_resend, mesh, name, request_id, key)
            await trio.sleep(0.1)
            runs_before = await mesh.count_runs("reservations-1")
            mesh.fleet.kill(upstream_name("reservations-1"))
            mesh.fleet.kill("planning-2")
        runs_after = await mesh.count_runs("reservations-2")
        for request_id in keys:
            runs = runs_before.get(request_id, 0) + runs_after.get(request_id, 0)
            self.assertLessEqual(runs, 1, request_id)
        self.assertGreater(sum(runs_after.values()), 0)

    @run_with_fleet
    async def test_a_resend_of_a_request_with_a_large_answer_is_refused_as_completed(
        self, mesh: LiveMesh
    ) -> None:
        headers = {"Idempotency-Key": build_key(1), REQUEST_ID: "large"}
        path = "/reservations?size=300000"
        answer = await mesh.call("planning-1", path, "POST", b"{}", headers)
        self.assertEqual(len(answer.body), 300_000)

        async def is_refused_as_completed() -> bool:
            resent = await mesh.call("planning-2", path, "POST", b"{}", headers)
            self.assertEqual(resent.status, HTTPStatus.CONFLICT)
            reason = resent.headers["fulmarstile-reason"]
            self.assertIn(reason, ("key-in-progress", "key-completed"))
            return (reason, resent.headers["fulmarstile-verdict"]) == ("key-completed", "RAN")

        await wait_until(is_refused_as_completed, "the resend refused as completed")
        runs = [await mesh.count_runs(name) for name in ("reservations-1", "reservations-2")]
        self.assertEqual(sum(counts.get("large", 0) for counts in runs), 1)

    @run_with_fleet
    async def test_a_graceful_shutdown_under_load_fails_no_call(self, mesh: LiveMesh) -> None:
        failures: list[str] = []
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(_call_until_cancelled, mesh, "reservations-1", failures)
            await trio.sleep(0.5)
            for name in (upstream_name("planning-1"), "planning-1"):
                code = await trio.to_thread.run_sync(mesh.fleet.stop, name)
                self.assertEqual(code, 0)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        self.assertEqual(failures, [])


async def _resend(mesh: LiveMesh, name: str, request_id: str, key: str) -> None:
    headers = {"Idempotency-Key": key, REQUEST_ID: request_id}
    for _ in range(RESENDS):
        with trio.move_on_after(ATTEMPT_LIMIT_S):
            try:
                answer = await mesh.call(name, "/reservations", "POST", b"{}", headers)
            except HttpError:
                continue
            if answer.status == HTTPStatus.OK:
                return
        await trio.sleep(0.2)


async def _call_until_cancelled(mesh: LiveMesh, name: str, failures: list[str]) -> None:
    while True:
        answer = await mesh.call(name, "/slots/today?delay_ms=20")
        if answer.status != HTTPStatus.OK:
            failures.append(f"{answer.status} {answer.body!r}")
