"""Daemons never use an outdated document after the bound, and never refuse without need.

The daemons' documents, exchanges and reads of the store run in virtual time.
"""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._freshness_keeper import FreshnessKeeper
from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.documents import ActiveDocument, ActiveRoutes
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.gossip import Gossip
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, KeyedPage
from fulmarstile_services.balancing import BalancingSettings, LeastWaitBalancer
from fulmarstile_services.directory import Directory
from fulmarstile_services.freshness import Freshness
from fulmarstile_services.settings import RevocationBounds
from fulmarstile_testing.builders.service_mesh import make_node_settings
from fulmarstile_testing.builders.services import (
    make_customer,
    make_document,
    make_member,
    make_route,
)
from fulmarstile_testing.fakes.keyed_log import FakeKeyedLog
from fulmarstile_testing.fakes.service_platform import DOCUMENT_KEY, DOCUMENT_TOPIC, FakePlatform

if TYPE_CHECKING:
    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_wire.services import Member, SyncReply, SyncRequest

REVOKE_S = 5.0
OUTAGE_S = 0.6 * REVOKE_S
STEP_S = 0.05


class NetworkedLog(FakeKeyedLog):
    """A daemon's view of the store over a network that delays or loses what it carries."""

    def __init__(self, shared: FakeKeyedLog) -> None:
        super().__init__(shared)
        self.max_delay_s = 0.02
        """Longest delay of a read and of its answer, in seconds."""
        self.loses = False
        """Whether reads are lost without an answer."""
        self.answers_early = False
        """Whether reads that should wait for records are answered at once."""
        self.random = random.Random(1)

    async def read_newest(self, topic: str) -> KeyedPage:
        await self._delay()
        page = await super().read_newest(topic)
        await self._delay()
        return page

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        await self._delay()
        wait_s = 0.0 if self.answers_early else wait_s
        page = await super().read_keyed(topic, offset, wait_s, max_bytes)
        await self._delay()
        return page

    async def _delay(self) -> None:
        if self.loses:
            await trio.sleep_forever()
        await trio.sleep(self.random.uniform(0.0, self.max_delay_s))


class Node:
    """The parts of a daemon that know the document."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        log = EventLog(name)
        platform = FakePlatform(
            make_node_settings(name, "shop", "a", ""), fleet.store, fleet.documents
        )
        self.name = name
        self.store = NetworkedLog(fleet.store)
        self.suspended_s = 0.0
        self.freshness = Freshness(RevocationBounds(REVOKE_S))
        self.document = ActiveDocument(
            platform, ActiveRoutes(), log, self.freshness, self.read_clock
        )
        self.directory = Directory(make_member(name))
        generator = random.Random(len(name))
        self.gossip = Gossip(
            self.directory,
            Membership(self.directory, NoticeMerger(self.directory, log), log, lambda: None),
            self.document,
            LeastWaitBalancer(BalancingSettings(), "a", generator, self.directory.notices),
            fleet,
            generator,
            log,
        )
        self.keeper = FreshnessKeeper(self.document, self.gossip, log)

    @property
    def accepts(self) -> bool:
        """Whether a request with a key of the active document is accepted now."""
        return self.document.version >= 0 and self.freshness.is_usable(self.read_clock())

    def read_clock(self) -> float:
        return trio.current_time() + self.suspended_s

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.document.follow, self.store)
            nursery.start_soon(self.keeper.run, self.store)
            nursery.start_soon(self.gossip.run)


class Fleet:
    """Daemons that share a store; also the links between them."""

    def __init__(self, size: int) -> None:
        self.store = FakeKeyedLog()
        self.documents: dict[bytes, ServiceDocument] = {}
        self.published_at: list[float] = []
        self.max_delay_s = 0.01
        self.cut_off: set[str] = set()
        self.random = random.Random(2)
        self.nodes = {f"d-{number}": Node(self, f"d-{number}") for number in range(size)}
        for node in self.nodes.values():
            node.directory.merge_members(map(make_member, self.nodes))

    def publish(self) -> None:
        version = len(self.published_at)
        raw = b"document %d" % version
        customer = make_customer("baker", f"key-{version}")
        self.documents[raw] = make_document(make_route(), version=version, customers=(customer,))
        self.published_at.append(trio.current_time())
        self.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, raw)

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.random.uniform(0.0, self.max_delay_s))
            if self.cut_off & {member.name, message.sender}:
                await trio.sleep_forever()
            reply = self.nodes[member.name].gossip.on_sync(message)
            await trio.sleep(self.random.uniform(0.0, self.max_delay_s))
            return reply
        raise DaemonUnreachableError("no reply in time")

    def list_violations(self) -> list[str]:
        """Lists daemons that use a version whose successor was published too long ago."""
        now = trio.current_time()
        return [
            f"{node.name} uses {node.document.version} at {now:.2f}"
            for node in self.nodes.values()
            if node.accepts
            and node.document.version + 1 < len(self.published_at)
            and now > self.published_at[node.document.version + 1] + REVOKE_S
        ]

    def list_refusing(self) -> list[str]:
        return [node.name for node in self.nodes.values() if not node.accepts]


async def pass_time(fleet: Fleet, for_s: float) -> list[str]:
    """Lets time pass; returns the violations, and the daemons that refused at any time."""
    violations: list[str] = []
    ends_at = trio.current_time() + for_s
    while trio.current_time() < ends_at:
        violations += fleet.list_violations()
        await trio.sleep(STEP_S)
    return violations


async def find_refusing(fleet: Fleet, for_s: float) -> set[str]:
    refusing: set[str] = set()
    ends_at = trio.current_time() + for_s
    while trio.current_time() < ends_at:
        refusing.update(fleet.list_refusing())
        await trio.sleep(STEP_S)
    return refusing


def run_fleet(size: int, scenario) -> None:
    async def run() -> None:
        fleet = Fleet(size)
        fleet.publish()
        async with trio.open_nursery() as nursery:
            for node in fleet.nodes.values():
                nursery.start_soon(node.run)
            await trio.sleep(1.0)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class AvailabilityTest(unittest.TestCase):
    def test_a_fleet_with_an_idle_store_never_refuses(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            self.assertEqual(await find_refusing(fleet, 120.0), set())

        run_fleet(6, scenario)

    def test_an_outage_shorter_than_its_bound_causes_no_refusal(self) -> None:
        for size in (1, 6):
            for kind in ("is_down", "loses"):
                with self.subTest(kind, size=size):
                    run_fleet(size, lambda fleet, kind=kind: self.check_outages(fleet, kind))

    async def check_outages(self, fleet: Fleet, kind: str) -> None:
        generator = random.Random(3)
        for _ in range(25):
            await trio.sleep(generator.uniform(4.0, 6.0))
            for node in fleet.nodes.values():
                setattr(node.store, kind, True)
            fleet.store.wake()
            self.assertEqual(await find_refusing(fleet, OUTAGE_S - STEP_S), set())
            for node in fleet.nodes.values():
                setattr(node.store, kind, False)
            fleet.store.wake()
            self.assertEqual(await find_refusing(fleet, 3.0), set())

    def test_a_store_that_answers_slowly_causes_no_refusal(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for node in fleet.nodes.values():
                node.store.max_delay_s = 0.6
            self.assertEqual(await find_refusing(fleet, 60.0), set())

        run_fleet(4, scenario)

    def test_daemons_without_the_store_learn_from_those_that_have_it(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for name in ("d-1", "d-2", "d-3"):
                fleet.nodes[name].store.is_down = True
            fleet.store.wake()
            self.assertEqual(await find_refusing(fleet, 20.0), set())
            fleet.publish()
            self.assertEqual(await find_refusing(fleet, 20.0), set())
            self.assertEqual({node.document.version for node in fleet.nodes.values()}, {1})

        run_fleet(6, scenario)

    def test_a_daemon_that_was_cut_off_refuses_and_recovers_by_itself(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            node = fleet.nodes["d-0"]
            node.store.loses = True
            fleet.cut_off.add("d-0")
            await trio.sleep(REVOKE_S)
            self.assertEqual(fleet.list_refusing(), ["d-0"])
            node.store.loses = False
            await trio.sleep(2.0)
            self.assertEqual(fleet.list_refusing(), [])

        run_fleet(3, scenario)


class SafetyTest(unittest.TestCase):
    def test_a_daemon_refuses_at_once_after_a_suspension(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            node = fleet.nodes["d-0"]
            fleet.publish()
            node.suspended_s += REVOKE_S
            self.assertEqual(fleet.list_refusing(), ["d-0"])
            await trio.sleep(1.0)
            self.assertEqual((node.accepts, node.document.version), (True, 1))

        run_fleet(3, scenario)

    def test_an_answer_that_was_under_way_during_a_suspension_proves_nothing_new(self) -> None:
        async def scenario(fleet: Fleet) -> None:
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

        run_fleet(1, scenario)

    def test_a_daemon_started_from_another_one_is_as_old_as_that_one(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            for node in fleet.nodes.values():
                node.store.loses = True
            started = Node(fleet, "d-9")
            fleet.nodes["d-9"] = started
            started.store.loses = True
            await trio.sleep(REVOKE_S)
            started.directory.merge_members(map(make_member, fleet.nodes))
            await started.gossip.ask_for_document()
            await trio.sleep(1.0)
            await started.gossip.exchange(make_member("d-0"))
            self.assertEqual(started.document.version, 0)
            self.assertEqual(set(fleet.list_refusing()), set(fleet.nodes))

        run_fleet(2, scenario)

    def test_a_pushed_document_proves_nothing(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            started = Node(fleet, "d-9")
            started.document.apply_if_newer(fleet.nodes["d-0"].document.redacted, "daemon")
            self.assertEqual(started.document.version, 0)
            self.assertFalse(started.accepts)

        run_fleet(1, scenario)

    def test_no_daemon_uses_an_outdated_document_whatever_fails(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                run_fleet(5, lambda fleet, seed=seed: self.check_faults(fleet, seed))

    async def check_faults(self, fleet: Fleet, seed: int) -> None:
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
            self.assertEqual(await pass_time(fleet, generator.uniform(0.5, 9.0)), [])


if __name__ == "__main__":
    unittest.main()
