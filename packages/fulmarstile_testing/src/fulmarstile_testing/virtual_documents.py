"""Fleet of daemons that know one document, in virtual time, with faults of store and network."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

import trio
import trio.testing

from fulmarstile_daemon.services._document_part import DocumentPart
from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_daemon.services.active_routes import ActiveRoutes
from fulmarstile_daemon.services.documents import ActiveDocument
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.gossip import Gossip
from fulmarstile_daemon.services.membership import Membership
from fulmarstile_platform.keyed_log import MAX_READ_BYTES, KeyedPage, PageTransfer
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
from fulmarstile_testing.virtual_link import VirtualLink
from fulmarstile_wire.services import PeerAnswer, PeerCall, SyncAnswer, SyncCall, encode_frame

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._document_relay import DocumentRelay
    from fulmarstile_services.document import ServiceDocument
    from fulmarstile_wire.documents import DocumentReply, DocumentRequest
    from fulmarstile_wire.services import Member, SyncReply, SyncRequest

STEP_S: Final = 0.05
"""Interval at which the fleet is observed, in seconds."""
_START_S: Final = 1.0
"""Time for which the fleet runs before a scenario starts, in seconds."""
_BASE64_RATIO: Final = 4 / 3
"""Growth of values in the store's answer to a read of the newest records."""
_HEAD_BYTES: Final = 200
"""Size of an answer without its records."""
_UNLIMITED_BYTES_PER_S: Final = 1e9
_KBIT: Final = 125
"""Bytes."""
_FAST_LINK_RATIO: Final = 20
"""Capacity of a fast link relative to the others."""


class NetworkedLog(FakeKeyedLog):
    """A daemon's view of the store over a network that delays or loses what it carries.

    Args:
        shared: The store.
        link: Link of the daemon's VM, on which answers arrive.
    """

    def __init__(self, shared: FakeKeyedLog, link: VirtualLink) -> None:
        super().__init__(shared)
        self._link = link
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
        return await self._carry(page, _HEAD_BYTES + int(_count_bytes(page) * _BASE64_RATIO))

    async def read_keyed(
        self, topic: str, offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> KeyedPage:
        """See `KeyedLog.read_keyed`."""
        await self._delay()
        wait_s = 0.0 if self.answers_early else wait_s
        page = await super().read_keyed(topic, offset, wait_s, max_bytes)
        await self._delay()
        return await self._carry(page, _HEAD_BYTES + _count_bytes(page))

    async def read_end(self, topic: str) -> int:
        """See `KeyedLog.read_end`."""
        await self._delay()
        end = await super().read_end(topic)
        await self._delay()
        await self._link.carry(_HEAD_BYTES)
        return end

    async def _carry(self, page: KeyedPage, size: int) -> KeyedPage:
        """Carries an answer over the link of the VM, and notes how long that takes."""
        started_at = trio.current_time()
        await self._link.carry(size)
        transfer = PageTransfer(size, trio.current_time() - started_at)
        return replace(page, transfer=transfer)

    async def _delay(self) -> None:
        if self.loses:
            await trio.sleep_forever()
        await trio.sleep(self.random.uniform(0.0, self.max_delay_s))


def _count_bytes(page: KeyedPage) -> int:
    return sum(len(record.value) for record in page.records)


class VirtualDocumentNode:
    """The parts of a daemon that know the document.

    Args:
        fleet: Fleet that it belongs to.
        name: Name of the daemon.
        bytes_per_s: Capacity of the VM's link in each direction, in bytes per second.
    """

    def __init__(
        self,
        fleet: VirtualDocumentFleet,
        name: str,
        bytes_per_s: float = _UNLIMITED_BYTES_PER_S,
    ) -> None:
        log = EventLog(name)
        platform = FakePlatform(
            make_node_settings(name, "shop", "a", ""), fleet.store, fleet.documents
        )
        self.name = name
        self.inbound = VirtualLink(bytes_per_s)
        """Link on which messages arrive."""
        self.outbound = VirtualLink(bytes_per_s)
        """Link on which messages leave."""
        self.store = NetworkedLog(fleet.store, self.inbound)
        """This daemon's view of the store."""
        self.suspended_s = 0.0
        """Time for which the VM has been suspended, in seconds."""
        bounds = RevocationBounds(fleet.revoke_s) if fleet.revoke_s else None
        self.freshness = Freshness(bounds)
        self.document = ActiveDocument(
            platform, ActiveRoutes(self.read_clock), log, self.freshness, self.read_clock
        )
        self.directory = Directory(make_member(name, link_kbps=int(bytes_per_s / _KBIT)))
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
        self._part = DocumentPart(
            self.document, DOCUMENT_TOPIC, self.directory, lambda _: True, fleet, self.gossip, log
        )

    @property
    def relay(self) -> DocumentRelay:
        """Answers other daemons' requests for newer versions."""
        return self._part.relay

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
            nursery.start_soon(self._part.run, self.store)
            nursery.start_soon(self.gossip.run)


class VirtualDocumentFleet:
    """Daemons that share a store, and the links between them.

    Args:
        size: Number of daemons.
        revoke_s: Bound of revocations, in seconds; 0 for none.
        link_bytes_per_s: Capacity of each VM's link in each direction, in bytes per second.
        fast_links: Number of VMs whose links are faster.
        document_bytes: Size of the document in the store, in bytes.
    """

    def __init__(
        self,
        size: int,
        revoke_s: float,
        link_bytes_per_s: float = _UNLIMITED_BYTES_PER_S,
        fast_links: int = 0,
        document_bytes: int = 0,
    ) -> None:
        self.revoke_s = revoke_s
        self._document_bytes = document_bytes
        self.store = FakeKeyedLog()
        """The store."""
        self.documents: dict[bytes, ServiceDocument] = {}
        self.published_at: list[float] = []
        """Time at which each version was acknowledged, in seconds."""
        self.max_delay_s = 0.01
        """Longest delay of a message between daemons, in seconds."""
        self.cut_off: set[str] = set()
        """Daemons whose messages are lost."""
        self.replaced: set[str] = set()
        """Addresses of daemons to which a new connection was wanted."""
        self._random = random.Random(2)
        self.nodes: dict[str, VirtualDocumentNode] = {}
        for number in range(size):
            name = f"d-{number}"
            capacity = link_bytes_per_s * (_FAST_LINK_RATIO if number < fast_links else 1)
            self.nodes[name] = VirtualDocumentNode(self, name, capacity)
        for node in self.nodes.values():
            others = [other.directory.local_member for other in self.nodes.values()]
            node.directory.merge_members(others)

    def publish(self) -> None:
        """Publishes the next version, whose customer has another key."""
        version = len(self.published_at)
        raw = (b"document %d" % version).ljust(self._document_bytes, b".")
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
        sender, receiver = self.nodes[message.sender], self.nodes[member.name]
        with trio.move_on_after(timeout_s):
            await self._carry(sender, receiver, len(encode_frame(SyncCall(1, message))))
            reply = receiver.gossip.on_sync(message)
            await self._carry(receiver, sender, len(encode_frame(SyncAnswer(1, reply))))
            return reply
        raise DaemonUnreachableError("no reply in time")

    async def query(
        self,
        member: Member,
        request: DocumentRequest,
        timeout_s: float,
        *,
        replace_silent: bool = True,
    ) -> DocumentReply:
        """See `DaemonLinks.query`."""
        sender, receiver = self.nodes[request.sender], self.nodes[member.name]
        with trio.move_on_after(timeout_s):
            await self._carry(sender, receiver, len(encode_frame(PeerCall(1, request))))
            reply = await receiver.relay.answer(request)
            await self._carry(receiver, sender, len(encode_frame(PeerAnswer(1, reply))))
            return reply
        raise DaemonUnreachableError("no reply in time")

    def replace_silent(self, address: str, since: float) -> bool:
        """See `DaemonLinks.replace_silent`; notes the address."""
        self.replaced.add(address)
        return True

    def retire_silent(self, since: float) -> None:
        """See `DaemonLinks.retire_silent`; connections of this fleet are never silent alone."""

    async def _carry(
        self, sender: VirtualDocumentNode, receiver: VirtualDocumentNode, size: int
    ) -> None:
        """Carries a message from one daemon to another."""
        await trio.sleep(self._random.uniform(0.0, self.max_delay_s))
        if self.cut_off & {sender.name, receiver.name}:
            await trio.sleep_forever()
        await sender.outbound.carry(size)
        await receiver.inbound.carry(size)

    def list_refusing(self) -> list[str]:
        """Lists the daemons that refuse keys now."""
        return [node.name for node in self.nodes.values() if not node.accepts]

    def list_late(self, apply_s: float) -> list[str]:
        """Lists daemons that lack a version which was published too long ago.

        Args:
            apply_s: Time within which a version must be in force, in seconds.
        """
        now = trio.current_time()
        due = [at for at in self.published_at if at + apply_s < now]
        newest_due = len(due) - 1
        return [
            f"{node.name} has {node.document.version} at {now:.2f}, not {newest_due}"
            for node in self.nodes.values()
            if node.document.version < newest_due
        ]

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
    size: int,
    revoke_s: float,
    scenario: Callable[[VirtualDocumentFleet], Awaitable[None]],
    **options: Any,
) -> None:
    """Runs a scenario on a fleet that has read a first document.

    Args:
        size: Number of daemons.
        revoke_s: Bound of revocations, in seconds; 0 for none.
        scenario: The scenario.
        options: Further arguments of `VirtualDocumentFleet`.
    """

    async def run() -> None:
        fleet = VirtualDocumentFleet(size, revoke_s, **options)
        fleet.publish()
        async with trio.open_nursery() as nursery:
            for node in fleet.nodes.values():
                nursery.start_soon(node.run)
            await trio.sleep(_START_S)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
