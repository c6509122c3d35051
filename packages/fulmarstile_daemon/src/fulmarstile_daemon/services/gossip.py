"""Exchange of state between daemons: what the store has not delivered, peers do."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services.events import DependencyLost, DependencyRegained
from fulmarstile_wire.services import MemberPhase, SyncReply, SyncRequest

if TYPE_CHECKING:
    import random

    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.membership import Membership
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member

_INTERVAL_S: Final = 1.0
_PROBE_INTERVAL_S: Final = 0.3
_LOOK_INTERVAL_S: Final = 0.5
"""Interval at which it is looked whether any daemon is out of reach, in seconds."""
_TIMEOUT_S: Final = 0.8
_TOLD: Final = 3
"""Daemons that are told of a change that the store does not take."""
_SOURCE: Final = "daemon"


class Gossip:
    """Compares state with one random daemon at a time, and probes those out of reach.

    Args:
        directory: All daemons known.
        membership: Takes what others know.
        documents: Holds the operator's document.
        balancer: Told which daemons can be reached.
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
        self._directory = directory
        self._membership = membership
        self._documents = documents
        self._balancer = balancer
        self._links = links
        self._random = random
        self._log = log

    async def run(self) -> None:
        """Exchanges state from time to time, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange_forever)
            nursery.start_soon(self._probe_forever)

    def on_sync(self, request: SyncRequest) -> SyncReply:
        """Answers another daemon.

        Args:
            request: What it offers.

        Returns:
            What it lacks.
        """
        self._take(request)
        directory = self._directory
        reply = SyncReply(directory.own.name, directory.digest, self._documents.version)
        if request.is_probe:
            return reply
        is_equal = reply.digest == request.digest
        should_send = self._documents.should_send(request.document_version)
        return msgspec.structs.replace(
            reply,
            members=_leave_out(directory.list_members(request.wanted), request.members),
            crashes=directory.list_crashes(request.wanted),
            document=self._documents.raw if should_send else b"",
            bucket_digests=b"" if is_equal or request.wanted else directory.bucket_digests,
        )

    async def exchange(self, member: Member, *, is_probe: bool = False) -> bool:
        """Exchanges state with one daemon.

        Args:
            member: The daemon.
            is_probe: Whether it is only to find out if the daemon can be reached. Many probe one
                that returns, and what all of them would send it is more than its link carries.

        Returns:
            Whether it replied.
        """
        try:
            offer = self._make_offer(is_probe=is_probe)
            reply = await self._links.synchronize(member, offer, _TIMEOUT_S)
            self._take(reply)
            if reply.sender != member.name:
                raise DaemonUnreachableError(f"{reply.sender} has its address now")
            if not is_probe:
                await self._tell_lacking(member, reply)
        except DaemonUnreachableError as error:
            self._note(member, False, str(error))
            return False
        self._note(member, True, "")
        return True

    async def _tell_lacking(self, member: Member, reply: SyncReply) -> None:
        """Sends what the other daemon lacks, and asks for what it has in the same buckets."""
        differing = frozenset[int]()
        if reply.digest != self._directory.digest:
            differing = self._directory.find_differing(reply.bucket_digests)
        lacks_document = self._documents.should_send(reply.document_version)
        if differing or lacks_document:
            offer = self._make_offer(differing, with_document=lacks_document)
            self._take(await self._links.synchronize(member, offer, _TIMEOUT_S))

    async def tell(self) -> None:
        """Exchanges state with a few daemons at once, because the store does not answer."""
        others = [each for each in self._others() if self._balancer.is_reachable(each.name)]
        async with trio.open_nursery() as nursery:
            for member in self._random.sample(others, min(_TOLD, len(others))):
                nursery.start_soon(self.exchange, member)

    async def _exchange_forever(self) -> None:
        while True:
            await trio.sleep(_INTERVAL_S * self._random.uniform(0.8, 1.2))
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
                await trio.sleep(_LOOK_INTERVAL_S)
                continue
            await trio.sleep(_PROBE_INTERVAL_S * self._random.uniform(0.8, 1.2))
            lost = [
                member
                for member in self._others()
                if not self._balancer.is_reachable(member.name)
                and member.phase is not MemberPhase.STOPPED
            ]
            if lost:
                await self.exchange(self._random.choice(lost), is_probe=True)

    def _others(self) -> list[Member]:
        own_name = self._directory.own.name
        return [member for member in self._directory.members if member.name != own_name]

    def _make_offer(
        self,
        buckets: frozenset[int] = frozenset(),
        *,
        with_document: bool = False,
        is_probe: bool = False,
    ) -> SyncRequest:
        """Makes an offer with what is known in some buckets, which asks for the same of them."""
        directory = self._directory
        return SyncRequest(
            directory.own.name,
            directory.digest,
            self._documents.version,
            directory.list_members(buckets),
            directory.list_crashes(buckets),
            self._documents.raw if with_document else b"",
            is_probe,
            buckets,
        )

    def _take(self, message: SyncRequest | SyncReply) -> None:
        if message.members:
            self._membership.apply_members(message.members)
        if message.crashes:
            self._membership.apply_crashes(message.crashes)
        if message.document:
            self._documents.apply_if_newer(message.document, _SOURCE)

    def _note(self, member: Member, reachable: bool, reason: str) -> None:
        if not self._balancer.set_reachable(member, reachable, trio.current_time()):
            return
        if reachable:
            self._log.write(DependencyRegained(dependency=member.name))
        else:
            self._log.write(DependencyLost(dependency=member.name, reason=reason))


def _leave_out(members: tuple[Member, ...], known: tuple[Member, ...]) -> tuple[Member, ...]:
    """Leaves out the records that the other daemon has just sent in the same order."""
    orders = {member.name: member.order for member in known}
    return tuple(member for member in members if orders.get(member.name) != member.order)
