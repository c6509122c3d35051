"""Roll-outs on real daemons: what happens when daemons, the store or upstreams fail meanwhile."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._rollout_records import ROLLOUTS_TOPIC, decode_decision
from fulmarstile_testing.builders.rollouts import ROLLOUT_BOUNDS
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.fakes.service_platform import STATUS_TOPIC
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from fulmarstile_testing.builders.service_mesh import ServiceMesh, ServiceNode

TIMEOUT_S = 15.0
"""Time after which a test fails that waits for something, in seconds."""
EXPOSURE_RATIO = 0.1
EXPOSURE_SLACK = 50
DURATION_S = 5.0
SETTLE_S = 0.7
"""Time within which every daemon knows a state, in seconds."""


@dataclass(slots=True)
class Load:
    """Calls to all entry daemons, one after the other in each client."""

    statuses: list[int] = field(default_factory=list)

    async def run(self, node: ServiceNode, client: int) -> None:
        """Calls one daemon until cancelled."""
        while True:
            request_id = f"{node.platform.settings.name}-{client}-{len(self.statuses)}"
            answer = await node.call("/a?delay_ms=2", request_id=request_id)
            self.statuses.append(answer.status)
            await trio.sleep(0.01)


@asynccontextmanager
async def run_load(mesh: ServiceMesh, clients: int = 2) -> AsyncIterator[Load]:
    """Sends calls through the daemons that run now."""
    load = Load()
    async with trio.open_nursery() as nursery:
        for node in list(mesh.nodes):
            for client in range(clients):
                nursery.start_soon(load.run, node, client)
        yield load
        nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], object], timeout_s: float = TIMEOUT_S) -> None:
    """Waits until something holds."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


def list_decisions(mesh: ServiceMesh) -> list[tuple[int, RolloutPhase]]:
    """Returns order and phase of each decision in the store."""
    records = map(decode_decision, mesh.store.list_records(ROLLOUTS_TOPIC))
    return [(decision.order_offset, decision.phase) for decision in records]


def find_phases(mesh: ServiceMesh) -> set[RolloutPhase | None]:
    """Returns the phases of the newest roll-out that daemons know."""
    rollouts = [node.daemon.rollouts.find("shop") for node in mesh.nodes]
    return {rollout.phase if rollout else None for rollout in rollouts}


class RolloutTest(unittest.TestCase):
    def run_mesh(
        self, body: Callable[[ServiceMesh], Awaitable[None]], daemons: int = 3, targets: int = 0
    ) -> None:
        """Runs a test on daemons beside upstreams of `v1`, and some beside upstreams of `v2`."""

        async def run() -> None:
            services = ("shop",) * daemons
            async with serve_mesh(*services, bounds=ROLLOUT_BOUNDS, version="v1") as mesh:
                await body(mesh)

        self.targets = targets
        trio.run(run)

    async def order(self, mesh: ServiceMesh, duration_s: float = DURATION_S) -> None:
        """Orders `v2` and starts its upstreams."""
        mesh.put_order("shop", "v2", duration_s)
        for number in range(self.targets):
            await mesh.start_node(f"target-{number + 1}", version="v2")

    def check_exposure(self, mesh: ServiceMesh) -> None:
        exposed, others = mesh.count_runs("v2"), mesh.count_runs("v1")
        allowed = EXPOSURE_RATIO * (exposed + others) + EXPOSURE_SLACK
        self.assertLessEqual(exposed, allowed)

    def test_a_good_version_is_completed_by_the_deadline_within_its_exposure(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            async with run_load(mesh) as load:
                ordered_at = trio.current_time()
                await self.order(mesh)
                await wait_until(lambda: is_ended(mesh))
                self.assertLessEqual(trio.current_time() - ordered_at, DURATION_S)
                self.check_exposure(mesh)
                old = mesh.count_runs("v1")
                await trio.sleep(SETTLE_S)
                self.assertEqual(mesh.count_runs("v1"), old)
            self.assertEqual(mesh.list_statuses("shop"), ["canary v2", "completed v2"])
            self.assertEqual(list_decisions(mesh), [(1, RolloutPhase.COMPLETED)])
            self.assertEqual(set(load.statuses), {200})

        self.run_mesh(body, targets=3)

    def test_a_bad_version_is_rolled_back_and_receives_nothing_afterwards(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            async with run_load(mesh):
                mesh.put_order("shop", "v2", DURATION_S)
                for number in range(self.targets):
                    node = await mesh.start_node(f"target-{number}", version="v2", announced=False)
                    node.upstream.failing_ratio = 0.5
                    await node.announce(service="shop")
                await wait_until(lambda: is_ended(mesh))
                self.check_exposure(mesh)
                await trio.sleep(SETTLE_S)
                exposed = mesh.count_runs("v2")
                await trio.sleep(SETTLE_S)
                self.assertEqual(mesh.count_runs("v2"), exposed)
            self.assertEqual(mesh.list_statuses("shop"), ["canary v2", "rolled-back v2"])

        self.run_mesh(body, targets=3)

    def test_the_status_is_written_though_the_evaluator_that_decided_dies_before(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            deciders: list[ServiceNode] = []

            def die_at_first_status(node: ServiceNode) -> None:
                append = node.platform.store.append_keyed

                async def append_or_die(topic: str, *arguments: object, **options: object) -> None:
                    if topic == STATUS_TOPIC and not deciders:
                        deciders.append(node)
                        node.scope.cancel()
                        await trio.sleep_forever()
                    await append(topic, *arguments, **options)

                node.platform.store.append_keyed = append_or_die

            for node in mesh.nodes:
                die_at_first_status(node)
            mesh.put_order("shop", "v2", -1.0)
            await wait_until(lambda: mesh.list_statuses("shop"))
            await wait_until(deciders[0].ended.is_set)
            self.assertEqual(mesh.list_statuses("shop"), ["rolled-back v2"])
            self.assertEqual(list_decisions(mesh), [(1, RolloutPhase.ROLLED_BACK)])

        self.run_mesh(body)

    def test_evaluators_that_decide_at_once_record_one_decision_and_one_status(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            mesh.put_order("shop", "v2", -1.0)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.ROLLED_BACK})
            await trio.sleep(2 * SETTLE_S)
            self.assertEqual(list_decisions(mesh), [(1, RolloutPhase.ROLLED_BACK)])
            self.assertEqual(mesh.list_statuses("shop"), ["rolled-back v2"])

        self.run_mesh(body)

    def test_without_the_store_a_roll_back_takes_effect_and_is_recorded_later(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            mesh.put_order("shop", "v2", 1.5)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.CANARY})
            mesh.set_store_down(True)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.ROLLED_BACK})
            self.assertEqual(list_decisions(mesh), [])
            mesh.set_store_down(False)
            await wait_until(lambda: "rolled-back v2" in mesh.list_statuses("shop"))
            self.assertEqual(list_decisions(mesh), [(1, RolloutPhase.ROLLED_BACK)])

        self.run_mesh(body)

    def test_without_the_store_a_completion_waits_while_the_target_serves_everything(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            async with run_load(mesh) as load:
                await self.order(mesh)
                await wait_until(lambda: is_promotion_announced(mesh))
                mesh.set_store_down(True)
                await wait_until(lambda: RolloutPhase.PROMOTED in find_phases(mesh))
                await trio.sleep(2.0)
                self.assertEqual(find_phases(mesh), {RolloutPhase.PROMOTED})
                old = mesh.count_runs("v1")
                await trio.sleep(SETTLE_S)
                self.assertEqual(mesh.count_runs("v1"), old)
                mesh.set_store_down(False)
                await wait_until(lambda: "completed v2" in mesh.list_statuses("shop"))
            self.assertEqual(set(load.statuses), {200})

        self.run_mesh(body, targets=3)

    def test_the_next_daemons_take_over_when_all_evaluators_die(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            mesh.put_order("shop", "v2", 8.0)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.CANARY})
            names = mesh.nodes[0].daemon.dump().rollouts[0].evaluators
            for node in [node for node in mesh.nodes if node.platform.settings.name in names]:
                await node.kill()
            self.assertEqual(len(mesh.nodes), 2)
            await trio.sleep(1.5)
            self.assertEqual(
                [node.daemon.dump().rollouts[0].is_fresh for node in mesh.nodes], [True, True]
            )
            await wait_until(lambda: "rolled-back v2" in mesh.list_statuses("shop"))

        self.run_mesh(body, daemons=5)

    def test_a_daemon_that_hears_no_other_neither_decides_nor_uses_the_target(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            await self.order(mesh, 2.5)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.CANARY})
            for node in mesh.nodes[1:]:
                await node.kill()
            await wait_until(lambda: not mesh.nodes[0].daemon.dump().rollouts[0].is_fresh)
            await trio.sleep(2.5)
            self.assertEqual(find_phases(mesh), {RolloutPhase.CANARY})
            self.assertEqual(list_decisions(mesh), [])
            self.assertEqual(await count_served(mesh, "v1"), 10)

        self.run_mesh(body, targets=1)

    def test_a_second_order_replaces_the_first_one(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            await self.order(mesh, 60.0)
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.CANARY})
            mesh.put_order("shop", "v3", 1.0)
            await wait_until(lambda: "rolled-back v3" in mesh.list_statuses("shop"))
            self.assertEqual(list_decisions(mesh), [(2, RolloutPhase.ROLLED_BACK)])
            self.assertEqual(await count_served(mesh, "v2"), 0)

        self.run_mesh(body, targets=1)

    def test_a_version_that_never_appears_is_rolled_back_at_the_deadline(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            mesh.put_order("shop", "v2", 1.0)
            await wait_until(lambda: "rolled-back v2" in mesh.list_statuses("shop"))
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.ROLLED_BACK})
            rollout = mesh.nodes[0].daemon.dump().rollouts[0]
            self.assertEqual((rollout.phase, rollout.reason), ("rolled-back", "no-upstreams"))

        self.run_mesh(body)

    def test_a_good_version_is_completed_though_its_upstreams_are_replaced(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            async with run_load(mesh) as load:
                await self.order(mesh)
                await wait_until(lambda: mesh.count_runs("v2") > 5)
                await mesh.start_node("target-late", version="v2")
                await mesh.nodes[3].daemon.announcements.leave(
                    mesh.nodes[3].upstream.upstream_id, None
                )
                await wait_until(lambda: is_ended(mesh))
            self.assertEqual(mesh.list_statuses("shop")[-1], "completed v2")
            self.assertEqual(set(load.statuses), {200})

        self.run_mesh(body, targets=3)

    def test_a_daemon_started_after_the_end_learns_the_decision_from_the_store(self) -> None:
        async def body(mesh: ServiceMesh) -> None:
            await self.order(mesh, 1.0)
            await wait_until(lambda: "rolled-back v2" in mesh.list_statuses("shop"))
            late = await mesh.start_node("late", service="stock", version="v1")
            await wait_until(lambda: find_phases(mesh) == {RolloutPhase.ROLLED_BACK})
            self.assertEqual(late.daemon.dump().rollouts[0].excluded, ("v2",))
            self.assertEqual(await count_served(mesh, "v2"), 0)

        self.run_mesh(body, targets=1)


def is_promotion_announced(mesh: ServiceMesh) -> bool:
    """Returns whether a daemon knows when all requests move to the target."""
    return any(node.daemon.dump().rollouts[0].promote_at_s for node in mesh.nodes)


def is_ended(mesh: ServiceMesh) -> bool:
    """Returns whether the operator reads that the roll-out has ended."""
    return any(not status.startswith("canary") for status in mesh.list_statuses("shop"))


async def count_served(mesh: ServiceMesh, version: str) -> int:
    """Returns how many of some calls through all daemons a version runs."""
    before = mesh.count_runs(version)
    for node in mesh.nodes:
        for number in range(10):
            await node.call("/a", request_id=f"{node.platform.settings.name}-{number}")
    return mesh.count_runs(version) - before


if __name__ == "__main__":
    unittest.main()
