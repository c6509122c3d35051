"""Anti-entropy between daemons, which provides what the store has not delivered."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
import trio
import xxhash

from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained
from fulmarstile_services.store_readers import list_document_readers
from fulmarstile_wire.services import MemberPhase, SyncReply, SyncRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.membership import Membership
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.departures import UpstreamDeparture
    from fulmarstile_wire.services import Member

_SYNC_INTERVAL_S: Final = 1.0
_PROBE_INTERVAL_S: Final = 0.3
_UNREACHABLE_CHECK_INTERVAL_S: Final = 0.5
"""Interval of the check for unreachable daemons, in seconds."""
_SYNC_TIMEOUT_S: Final = 0.8
_SYNC_FANOUT: Final = 3
"""Number of daemons that are asked when the store is unavailable."""
_DEPARTURE_HOLDERS: Final = 3
"""Number of daemons that are sent a departure when the store is unavailable."""
_DEPARTURE_SOURCES: Final = 6
"""Number of daemons that a restarted one asks; more than hold a departure, as some may have left.
"""


class Gossip:
    """Synchronizes state with one random daemon at a time, and probes unreachable ones.

    Args:
        directory: Directory of the known daemons.
        membership: Applies records from other daemons.
        documents: Holds the operator's document.
        balancer: Updated with the reachability of daemons.
        links: Connections to other daemons.
        random: Source of randomness.
        log: Log of the daemon.
    """

    def __init__(
        self,
        directory: Directory,
        membership: Membership,
        documents: ActiveDocument,
        balancer: LeastWaitBalancer,
        links: DaemonLinks,
        random: random.Random,
        log: EventLog,
    ) -> None:
        self._newest_heard = -1
        self._informant = ""
        self._directory = directory
        self._membership = membership
        self._documents = documents
        self._balancer = balancer
        self._links = links
        self._random = random
        self._log = log
        self.on_newer_document: Callable[[Member], None] = lambda _: None
        """Called with a daemon that has a newer version of the document."""
        self.fetch_document: Callable[[Member], Awaitable[bool]] = _fetch_nothing
        """Fetches the document from a daemon that may have a newer version."""

    async def run(self) -> None:
        """Synchronizes state periodically, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange_forever)
            nursery.start_soon(self._probe_forever)

    def on_sync(self, request: SyncRequest) -> SyncReply:
        """Handles a synchronization from another daemon.

        Args:
            request: Digest and state of the other daemon.

        Returns:
            The state that it lacks.
        """
        self._apply(request)
        sender = self._directory.find(request.sender)
        if self._documents.hear_version(request.document_version) and sender is not None:
            self.on_newer_document(sender)
        directory = self._directory
        reply = SyncReply(
            directory.local_member.name,
            directory.digest,
            self._documents.version,
            document_age_ms=self._measure_age_ms(),
            departures=self._list_news_for(request),
        )
        if request.is_probe:
            return reply
        is_equal = reply.digest == request.digest
        return msgspec.structs.replace(
            reply,
            members=_exclude_known(directory.list_members(request.wanted), request.members),
            crashes=directory.list_crashes(request.wanted),
            bucket_digests=b"" if is_equal or request.wanted else directory.bucket_digests,
            departures=reply.departures + directory.list_departures(request.wanted),
        )

    def _list_news_for(self, request: SyncRequest) -> tuple[UpstreamDeparture, ...]:
        """Lists the departures beside the sender, which it may have forgotten at a restart."""
        directory = self._directory
        if request.digest == directory.digest:
            return ()
        return directory.departures.of(request.sender)

    async def exchange(self, member: Member, *, is_probe: bool = False) -> bool:
        """Synchronizes state with one daemon.

        Args:
            member: The daemon.
            is_probe: Whether only to check that the daemon is reachable. Many daemons probe one
                that returns, and its link cannot carry what all of them would send.

        Returns:
            Whether it replied.
        """
        try:
            request = self._make_request(is_probe=is_probe)
            reply = await self._synchronize(member, request)
            if reply.sender != member.name:
                raise DaemonUnreachableError(f"its address now belongs to {reply.sender}")
            if not is_probe:
                await self._send_missing(member, reply)
        except DaemonUnreachableError as error:
            self._set_reachable(member, False, str(error))
            return False
        self._set_reachable(member, True, "")
        return True

    async def _send_missing(self, member: Member, reply: SyncReply) -> None:
        """Sends the state that the other daemon lacks, and requests its state of these buckets."""
        differing = frozenset[int]()
        if reply.digest != self._directory.digest:
            differing = self._directory.find_differing_buckets(reply.bucket_digests)
        if differing:
            request = self._make_request(differing)
            await self._synchronize(member, request)

    async def ask_reader(self) -> None:
        """Asks a daemon that reads the store for this zone for its knowledge of the document."""
        local_name = self._directory.local_member.name
        readers = list_document_readers(self._directory, self._balancer.is_reachable)
        others = [member for member in readers if member.name != local_name]
        if others:
            await self._ask_for_document(self._random.choice(others))

    async def ask_for_document(self) -> None:
        """Asks a few daemons whether the active document is the newest, and for a newer one."""
        async with trio.open_nursery() as nursery:
            for member in self._choose_reachable(self._informant):
                nursery.start_soon(self._ask_for_document, member)

    async def _ask_for_document(self, member: Member) -> None:
        # Without the members, an answer is small.
        if await self.exchange(member, is_probe=True) and self._newest_heard > (
            self._documents.version
        ):
            await self.fetch_document(member)

    async def _synchronize(self, member: Member, request: SyncRequest) -> SyncReply:
        """Sends a request and applies the reply."""
        if not request.departures:
            # A restarted daemon may have forgotten what it has acknowledged itself.
            departures = self._directory.departures.of(member.name)
            request = msgspec.structs.replace(request, departures=departures)
        asked_at = self._documents.clock()
        reply = await self._links.synchronize(member, request, _SYNC_TIMEOUT_S)
        self._apply(reply)
        documents = self._documents
        self._newest_heard = max(self._newest_heard, reply.document_version)
        if documents.hear_version(reply.document_version):
            self.on_newer_document(member)
        if reply.document_age_ms < 0 or reply.document_version != documents.version:
            return reply
        if documents.freshness.confirm_by_peer(asked_at, reply.document_age_ms / 1000):
            self._informant = reply.sender
        return reply

    def _measure_age_ms(self) -> int:
        """Returns the age of the knowledge of the document, rounded up; -1 if there is none."""
        freshness = self._documents.freshness
        age_s = freshness.age_s(self._documents.clock())
        return math.ceil(age_s * 1000) if freshness.is_strict and math.isfinite(age_s) else -1

    async def hand_over_departure(self, timeout_s: float) -> bool:
        """Sends the departures of this VM's upstreams to a few daemons, in one message each.

        Args:
            timeout_s: Longest time to wait for them, in seconds.

        Returns:
            Whether at least one of them has received them.
        """
        directory = self._directory
        local_member = directory.local_member
        request = SyncRequest(
            local_member.name,
            directory.digest,
            self._documents.version,
            (local_member,),
            is_probe=True,
            departures=directory.departures.of(local_member.name),
        )
        holders: list[str] = []

        async def send(member: Member) -> None:
            try:
                reply = await self._synchronize(member, request)
            except DaemonUnreachableError as error:
                self._set_reachable(member, False, str(error))
                return
            holders.append(reply.sender)

        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for member in self._rank_departure_holders()[:_DEPARTURE_HOLDERS]:
                    nursery.start_soon(send, member)
        return bool(holders)

    async def ask_for_departures(self) -> None:
        """Asks the daemons to which an earlier incarnation would have sent its departures."""
        async with trio.open_nursery() as nursery:
            for member in self._rank_departure_holders()[:_DEPARTURE_SOURCES]:
                nursery.start_soon(partial(self.exchange, member, is_probe=True))

    def _rank_departure_holders(self) -> list[Member]:
        """Ranks the reachable daemons by a hash of the names, which a restart doesn't change."""
        local_name = self._directory.local_member.name
        reachable = [
            peer
            for peer in self._others()
            if self._balancer.is_reachable(peer.name) and peer.phase is not MemberPhase.STOPPED
        ]
        reachable.sort(
            key=lambda peer: xxhash.xxh3_64_intdigest(f"{local_name} {peer.name}".encode())
        )
        return reachable

    def _choose_reachable(self, preferred: str = "") -> list[Member]:
        """Chooses a few reachable daemons at random, and a preferred one in addition."""
        others = [peer for peer in self._others() if self._balancer.is_reachable(peer.name)]
        chosen = [peer for peer in others if peer.name == preferred]
        others = [peer for peer in others if peer.name != preferred]
        return chosen + self._random.sample(others, min(_SYNC_FANOUT, len(others)))

    async def _exchange_forever(self) -> None:
        while True:
            await trio.sleep(_SYNC_INTERVAL_S * self._random.uniform(0.8, 1.2))
            others = [
                member
                for member in self._others()
                if self._balancer.is_reachable(member.name)
                and member.phase is not MemberPhase.STOPPED
            ]
            if others:
                await self.exchange(self._random.choice(others))

    async def _probe_forever(self) -> None:
        while True:
            if not self._balancer.has_unreachable:
                await trio.sleep(_UNREACHABLE_CHECK_INTERVAL_S)
                continue
            await trio.sleep(_PROBE_INTERVAL_S * self._random.uniform(0.8, 1.2))
            unreachable = [
                member
                for member in self._others()
                if not self._balancer.is_reachable(member.name)
                and member.phase is not MemberPhase.STOPPED
            ]
            if unreachable:
                await self.exchange(self._random.choice(unreachable), is_probe=True)

    def _others(self) -> list[Member]:
        local_name = self._directory.local_member.name
        return [member for member in self._directory.members if member.name != local_name]

    def _make_request(
        self,
        buckets: frozenset[int] = frozenset(),
        *,
        is_probe: bool = False,
    ) -> SyncRequest:
        """Creates a request with the state of some buckets, and for the peer's state of them."""
        directory = self._directory
        return SyncRequest(
            directory.local_member.name,
            directory.digest,
            self._documents.version,
            directory.list_members(buckets),
            directory.list_crashes(buckets),
            is_probe,
            buckets,
            directory.list_departures(buckets),
        )

    def _apply(self, message: SyncRequest | SyncReply) -> None:
        if message.members:
            self._membership.apply_members(message.members)
        if message.departures:
            self._membership.apply_departures(message.departures)
        if message.crashes:
            self._membership.apply_crashes(message.crashes)

    def _set_reachable(self, member: Member, reachable: bool, reason: str) -> None:
        if not self._balancer.set_reachable(member, reachable, trio.current_time()):
            return
        if reachable:
            self._log.write(DependencyRegained(dependency=member.name))
        else:
            self._log.write(DependencyLost(dependency=member.name, reason=reason))


async def _fetch_nothing(_: Member) -> bool:
    return False


def _exclude_known(members: tuple[Member, ...], known: tuple[Member, ...]) -> tuple[Member, ...]:
    """Excludes the records that the other daemon has just sent in the same version."""
    orders = {member.name: member.order for member in known}
    return tuple(member for member in members if orders.get(member.name) != member.order)
