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
    from fulmarstile_daemon.services.documents import DocumentHolder
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
        documents: DocumentHolder,
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
        reply = SyncReply(self._directory.own.name, self._directory.digest, self._documents.version)
        if request.is_probe:
            return reply
        is_equal = reply.digest == request.digest
        is_owed = self._documents.is_owed(request.document_version)
        return msgspec.structs.replace(
            reply,
            members=() if is_equal else self._directory.members,
            crashes=() if is_equal else self._directory.crashes,
            document=self._documents.raw if is_owed else b"",
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
        lacks_members = reply.digest != self._directory.digest
        lacks_document = self._documents.is_owed(reply.document_version)
        if lacks_members or lacks_document:
            offer = self._make_offer(with_state=lacks_members, with_document=lacks_document)
            await self._links.synchronize(member, offer, _TIMEOUT_S)

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
        self, *, with_state: bool = False, with_document: bool = False, is_probe: bool = False
    ) -> SyncRequest:
        directory = self._directory
        return SyncRequest(
            directory.own.name,
            directory.digest,
            self._documents.version,
            directory.members if with_state else (),
            directory.crashes if with_state else (),
            self._documents.raw if with_document else b"",
            is_probe,
        )

    def _take(self, message: SyncRequest | SyncReply) -> None:
        if message.members:
            self._membership.take_members(message.members)
        if message.crashes:
            self._membership.take_crashes(message.crashes)
        if message.document:
            self._documents.offer(message.document, _SOURCE)

    def _note(self, member: Member, reachable: bool, reason: str) -> None:
        if not self._balancer.set_reachable(member, reachable, trio.current_time()):
            return
        if reachable:
            self._log.write(DependencyRegained(dependency=member.name))
        else:
            self._log.write(DependencyLost(dependency=member.name, reason=reason))
