"""Daemons never use an outdated document after the bound, and never refuse without need.

The daemons' documents, exchanges and reads of the store run in virtual time.
"""

from __future__ import annotations

import random
import unittest

import trio

from fulmarstile_services.store_readers import (
    READERS_PER_ZONE,
    SMALL_FLEET_SIZE,
    list_readers,
)
from fulmarstile_testing.builders.services import make_member
from fulmarstile_testing.virtual_documents import (
    STEP_S,
    VirtualDocumentFleet,
    VirtualDocumentNode,
    run_document_fleet,
)

REVOKE_S = 5.0
OUTAGE_S = 0.6 * REVOKE_S
LARGE_FLEET = SMALL_FLEET_SIZE + 5
"""Daemons of a fleet in which only a few read the store."""


class AvailabilityTest(unittest.TestCase):
    def test_a_fleet_with_an_idle_store_never_refuses(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            self.assertEqual(await fleet.observe(fleet.list_refusing, 120.0), [])

        run_document_fleet(6, REVOKE_S, scenario)

    def test_in_a_large_fleet_a_few_daemons_read_an_idle_store_and_none_refuses(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            before = {name: node.store.reads for name, node in fleet.nodes.items()}
            self.assertEqual(await fleet.observe(fleet.list_refusing, 60.0), [])
            reads = {name: node.store.reads - before[name] for name, node in fleet.nodes.items()}
            # The others only wait for new versions, in two to three long polls a minute.
            reading = [name for name, count in reads.items() if count > 5]
            self.assertLessEqual(len(reading), READERS_PER_ZONE)

        run_document_fleet(LARGE_FLEET, REVOKE_S, scenario)

    def test_in_a_large_fleet_the_loss_of_all_readers_causes_no_refusal(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            directory = fleet.nodes["d-0"].directory
            readers = list_readers(directory, lambda _: True)
            for member in readers:
                fleet.nodes[member.name].store.loses = True
                fleet.cut_off.add(member.name)
            lost = {member.name for member in readers}
            refusing = await fleet.observe(fleet.list_refusing, 20.0)
            self.assertLessEqual(set(refusing), lost)

        run_document_fleet(LARGE_FLEET, REVOKE_S, scenario)

    def test_an_outage_shorter_than_its_bound_causes_no_refusal(self) -> None:
        for size in (1, 6, LARGE_FLEET):
            for kind in ("is_down", "loses"):
                with self.subTest(kind, size=size):
                    run_document_fleet(
                        size, REVOKE_S, lambda fleet, kind=kind: self.check_outages(fleet, kind)
                    )

    async def check_outages(self, fleet: VirtualDocumentFleet, kind: str) -> None:
        generator = random.Random(3)
        for _ in range(25 if len(fleet.nodes) < LARGE_FLEET else 5):
            await trio.sleep(generator.uniform(4.0, 6.0))
            fleet.set_store(**{kind: True})
            self.assertEqual(await fleet.observe(fleet.list_refusing, OUTAGE_S - STEP_S), [])
            fleet.set_store(**{kind: False})
            self.assertEqual(await fleet.observe(fleet.list_refusing, 3.0), [])

    def test_a_store_that_answers_slowly_causes_no_refusal(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            for node in fleet.nodes.values():
                node.store.max_delay_s = 0.6
            self.assertEqual(await fleet.observe(fleet.list_refusing, 60.0), [])

        run_document_fleet(4, REVOKE_S, scenario)

    def test_daemons_without_the_store_learn_from_those_that_have_it(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            for name in ("d-1", "d-2", "d-3"):
                fleet.nodes[name].store.is_down = True
            fleet.store.wake()
            self.assertEqual(await fleet.observe(fleet.list_refusing, 20.0), [])
            fleet.publish()
            self.assertEqual(await fleet.observe(fleet.list_refusing, 20.0), [])
            self.assertEqual({node.document.version for node in fleet.nodes.values()}, {1})

        run_document_fleet(6, REVOKE_S, scenario)

    def test_a_daemon_that_was_cut_off_refuses_and_recovers_by_itself(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            node = fleet.nodes["d-0"]
            node.store.loses = True
            fleet.cut_off.add("d-0")
            await trio.sleep(REVOKE_S)
            self.assertEqual(fleet.list_refusing(), ["d-0"])
            node.store.loses = False
            await trio.sleep(2.0)
            self.assertEqual(fleet.list_refusing(), [])

        run_document_fleet(3, REVOKE_S, scenario)


class SafetyTest(unittest.TestCase):
    def test_a_daemon_refuses_at_once_after_a_suspension(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            node = fleet.nodes["d-0"]
            fleet.publish()
            node.suspended_s += REVOKE_S
            self.assertEqual(fleet.list_refusing(), ["d-0"])
            await trio.sleep(1.0)
            self.assertEqual((node.accepts, node.document.version), (True, 1))

        run_document_fleet(3, REVOKE_S, scenario)

    def test_an_answer_that_was_under_way_during_a_suspension_proves_nothing_new(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            node = fleet.nodes["d-0"]
            node.store.max_delay_s = 0.5
            for _ in range(20):
                # Whatever is under way now arrives after the suspension.
                node.suspended_s += REVOKE_S
                fleet.publish()
                while not node.accepts:
                    await trio.sleep(STEP_S / 10)
                self.assertEqual(node.document.version, len(fleet.published_at) - 1)
                await trio.sleep(1.37)

        run_document_fleet(1, REVOKE_S, scenario)

    def test_a_daemon_started_from_another_one_is_as_old_as_that_one(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            fleet.set_store(loses=True)
            started = VirtualDocumentNode(fleet, "d-9")
            fleet.nodes["d-9"] = started
            started.store.loses = True
            await trio.sleep(REVOKE_S)
            started.directory.merge_members(map(make_member, fleet.nodes))
            await started.gossip.ask_for_document()
            await trio.sleep(1.0)
            await started.gossip.exchange(make_member("d-0"))
            self.assertEqual(started.document.version, 0)
            self.assertEqual(set(fleet.list_refusing()), set(fleet.nodes))

        run_document_fleet(2, REVOKE_S, scenario)

    def test_a_pushed_document_proves_nothing(self) -> None:
        async def scenario(fleet: VirtualDocumentFleet) -> None:
            started = VirtualDocumentNode(fleet, "d-9")
            started.document.apply_if_newer(fleet.nodes["d-0"].document.history.current, "daemon")
            self.assertEqual(started.document.version, 0)
            self.assertFalse(started.accepts)

        run_document_fleet(1, REVOKE_S, scenario)

    def test_no_daemon_uses_an_outdated_document_whatever_fails(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                run_document_fleet(
                    5, REVOKE_S, lambda fleet, seed=seed: self.check_faults(fleet, seed)
                )

    async def check_faults(self, fleet: VirtualDocumentFleet, seed: int) -> None:
        generator = random.Random(seed)
        for node in fleet.nodes.values():
            node.store.random = random.Random(generator.random())
        for _ in range(15):
            for node in fleet.nodes.values():
                node.store.is_down = generator.random() < 0.3
                node.store.loses = generator.random() < 0.3
                node.store.answers_early = generator.random() < 0.5
                node.store.max_delay_s = generator.choice((0.02, 1.0, 8.0))
            fleet.max_delay_s = generator.choice((0.01, 0.3))
            fleet.cut_off = {name for name in fleet.nodes if generator.random() < 0.2}
            fleet.store.wake()
            if generator.random() < 0.5:
                fleet.publish()
            self.assertEqual(
                await fleet.observe(fleet.list_violations, generator.uniform(0.5, 9.0)), []
            )


if __name__ == "__main__":
    unittest.main()
