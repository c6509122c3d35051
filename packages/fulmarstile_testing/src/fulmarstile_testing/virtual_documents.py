"""Fleet of daemons that know one document, in virtual time, with faults of store and network."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

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
from fulmarstile_services.store_readers import is_reader
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
    from collections.abc import Awaitable, Callable

    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_wire.services import Member, SyncReply, SyncRequest

STEP_S: Final = 0.05
"""Interval at which the fleet is observed, in seconds."""
_START_S: Final = 1.0
"""Time for which the fleet runs before a scenario starts, in seconds."""


class NetworkedLog(FakeKeyedLog):
    """A daemon's view of the store over a network that delays or loses what it carries.

    Args:
        shared: The store.
    """

    def __init__(self, shared: FakeKeyedLog) -> None:
        super().__init__(shared)
        self.max_delay_s = 0.02
        """Longest delay of a read and of its answer, in seconds."""
        self.loses = False
        """Whether reads are lost without an answer."""
        self.answers_early = False
        """Whether reads that should wait for records are answered at once."""
        self.random = random.Random(1)
        """Source of randomness."""

    async def read_newest(self, topic: str) -> KeyedPage:
        """See `KeyedLog.read_newest`."""
        await self._delay()
        page = await super().read_newest(topic)
        await self._delay()
        return page

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        await self._delay()
        wait_s = 0.0 if self.answers_early else wait_s
        page = await super().read_keyed(topic, offset, wait_s, max_bytes)
        await self._delay()
        return page

    async def _delay(self) -> None:
        if self.loses:
            await trio.sleep_forever()
        await trio.sleep(self.random.uniform(0.0, self.max_delay_s))


class VirtualDocumentNode:
    """The parts of a daemon that know the document.

    Args:
        fleet: Fleet that it belongs to.
        name: Name of the daemon.
    """

    def __init__(self, fleet: VirtualDocumentFleet, name: str) -> None:
        log = EventLog(name)
        platform = FakePlatform(
            make_node_settings(name, "shop", "a", ""), fleet.store, fleet.documents
        )
        self.name = name
        self.store = NetworkedLog(fleet.store)
        """This daemon's view of the store."""
        self.suspended_s = 0.0
        """Time for which the VM has been suspended, in seconds."""
        self.freshness = Freshness(RevocationBounds(fleet.revoke_s))
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
        self._keeper = FreshnessKeeper(
            self.document,
            self.gossip,
            log,
            lambda: is_reader(self.directory, lambda _: True),
        )

    @property
    def accepts(self) -> bool:
        """Whether a request with a key of the active document is accepted now."""
        return self.document.version >= 0 and self.freshness.is_usable(self.read_clock())

    def read_clock(self) -> float:
        """Returns the time including suspensions, in seconds."""
        return trio.current_time() + self.suspended_s

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.document.follow, self.store)
            nursery.start_soon(self._keeper.run, self.store)
            nursery.start_soon(self.gossip.run)


class VirtualDocumentFleet:
    """Daemons that share a store, and the links between them.

    Args:
        size: Number of daemons.
        revoke_s: Bound of revocations, in seconds.
    """

    def __init__(self, size: int, revoke_s: float) -> None:
        self.revoke_s = revoke_s
        self.store = FakeKeyedLog()
        """The store."""
        self.documents: dict[bytes, ServiceDocument] = {}
        self.published_at: list[float] = []
        """Time at which each version was acknowledged, in seconds."""
        self.max_delay_s = 0.01
        """Longest delay of a message between daemons, in seconds."""
        self.cut_off: set[str] = set()
        """Daemons whose messages are lost."""
        self._random = random.Random(2)
        self.nodes = {
            f"d-{number}": VirtualDocumentNode(self, f"d-{number}") for number in range(size)
        }
        for node in self.nodes.values():
            node.directory.merge_members(map(make_member, self.nodes))

    def publish(self) -> None:
        """Publishes the next version, whose customer has another key."""
        version = len(self.published_at)
        raw = b"document %d" % version
        customer = make_customer("baker", f"key-{version}")
        self.documents[raw] = make_document(make_route(), version=version, customers=(customer,))
        self.published_at.append(trio.current_time())
        self.store.put(DOCUMENT_TOPIC, DOCUMENT_KEY, raw)

    def set_store(self, **changes: bool) -> None:
        """Changes attributes of every daemon's view of the store."""
        for node in self.nodes.values():
            for name, value in changes.items():
                setattr(node.store, name, value)
        self.store.wake()

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        """See `DaemonLinks.synchronize`."""
        with trio.move_on_after(timeout_s):
            await trio.sleep(self._random.uniform(0.0, self.max_delay_s))
            if self.cut_off & {member.name, message.sender}:
                await trio.sleep_forever()
            reply = self.nodes[member.name].gossip.on_sync(message)
            await trio.sleep(self._random.uniform(0.0, self.max_delay_s))
            return reply
        raise DaemonUnreachableError("no reply in time")

    def list_refusing(self) -> list[str]:
        """Lists the daemons that refuse keys now."""
        return [node.name for node in self.nodes.values() if not node.accepts]

    def list_violations(self) -> list[str]:
        """Lists daemons that use a version whose successor was published too long ago."""
        now = trio.current_time()
        return [
            f"{node.name} uses {node.document.version} at {now:.2f}"
            for node in self.nodes.values()
            if node.accepts
            and node.document.version + 1 < len(self.published_at)
            and now > self.published_at[node.document.version + 1] + self.revoke_s
        ]

    async def observe(self, list_cases: Callable[[], list[str]], for_s: float) -> list[str]:
        """Lets time pass.

        Args:
            list_cases: Lists what is to be observed.
            for_s: The time, in seconds.

        Returns:
            All that it listed.
        """
        found: list[str] = []
        ends_at = trio.current_time() + for_s
        while trio.current_time() < ends_at:
            found += list_cases()
            await trio.sleep(STEP_S)
        return found


def run_document_fleet(
    size: int, revoke_s: float, scenario: Callable[[VirtualDocumentFleet], Awaitable[None]]
) -> None:
    """Runs a scenario on a fleet that has read a first document.

    Args:
        size: Number of daemons.
        revoke_s: Bound of revocations, in seconds.
        scenario: The scenario.
    """

    async def run() -> None:
        fleet = VirtualDocumentFleet(size, revoke_s)
        fleet.publish()
        async with trio.open_nursery() as nursery:
            for node in fleet.nodes.values():
                nursery.start_soon(node.run)
            await trio.sleep(_START_S)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
