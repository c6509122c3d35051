"""Announcements of the upstream on this VM."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.services.events import RecordIgnored, UpstreamChanged
from fulmarstile_services.upstream_registry import (
    AnnouncementOutcome,
    UpstreamAnnouncement,
    UpstreamPhase,
    UpstreamRegistry,
)
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.membership import Membership
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.settings import NodeSettings

_STORE_WAIT_S: Final = 0.6
"""Time that an acknowledgement of leaving waits for the store, in seconds."""
_TELL_S: Final = 0.2
"""Time that the acknowledgement waits for other daemons instead, in seconds."""
_RECALL_WAIT_S: Final = 0.8
"""Time that a first announcement waits for what the store knows of before, in seconds."""


class UpstreamAnnouncements:
    """Takes announcements in their order and tells all daemons what changed.

    That an upstream leaves takes effect here before it is acknowledged, and is in the store
    by then if the store answers.

    Args:
        settings: Settings of the daemon.
        directory: All daemons known; holds the record of this one.
        membership: Writes that record to the store.
        upstream: Upstream on this VM.
        log: Log of the daemon.
    """

    def __init__(
        self,
        settings: NodeSettings,
        directory: Directory,
        membership: Membership,
        upstream: LocalUpstream,
        log: EventLog,
    ) -> None:
        self._address = settings.upstream_address
        self._is_recalled = settings.is_first_start
        self._unproven: UpstreamAnnouncement | None = None
        self._directory = directory
        self._membership = membership
        self._upstream = upstream
        self._log = log
        self._registry = UpstreamRegistry(settings.announce_interval_s)
        self.tell_daemons: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        """Tells other daemons what the store does not take."""

    async def announce(self, announcement: UpstreamAnnouncement) -> None:
        """See `UpstreamEvents.announce`."""
        if announcement.phase is UpstreamPhase.READY and not await self._await_recall(announcement):
            return
        outcome = self._registry.on_announcement(announcement, trio.current_time())
        if outcome is AnnouncementOutcome.STALE:
            self._log.write(
                RecordIgnored(
                    source=announcement.upstream_id,
                    reason=f"announcement {announcement.sequence} of an incarnation born at "
                    f"{announcement.born_ms} is older than what is known",
                )
            )
            return
        if outcome is AnnouncementOutcome.RENEWED:
            return
        self._apply(outcome.value)
        if outcome is AnnouncementOutcome.LEFT or announcement.phase is UpstreamPhase.LEAVING:
            await self._secure()

    async def leave(self, upstream_id: str, born_ms: int | None) -> None:
        """See `UpstreamEvents.leave`."""
        now_ms = int(time.time() * 1000)
        outcome = self._registry.on_leave(upstream_id, born_ms, trio.current_time(), now_ms)
        if outcome is AnnouncementOutcome.LEFT:
            self._apply(outcome.value)
            await self._secure()
        elif outcome is AnnouncementOutcome.STALE:
            self._log.write(
                RecordIgnored(
                    source=upstream_id,
                    reason=f"it leaves, born at {born_ms}, and is not the upstream known here",
                )
            )

    async def stop(self) -> None:
        """Tells all daemons that this one stops."""
        own = msgspec.structs.replace(self._directory.own, phase=MemberPhase.STOPPED)
        self._directory.change_own(own)
        await self._membership.publish_and_wait(_STORE_WAIT_S)

    def restore_upstream(self) -> None:
        """Takes over what an earlier incarnation of this daemon knew of the upstream.

        An upstream that was serving is taken to serve still: requests name the incarnation
        that they are meant for, so another one at its address does not run them. Other daemons
        may not know yet that it leaves, so for that the store must have been read.
        """
        record = self._directory.recalled
        if record is None or not record.upstream_id:
            return
        phase = UpstreamPhase.LEAVING if record.upstream_leaves else UpstreamPhase.READY
        if phase is UpstreamPhase.READY and (
            self._registry.current is not None or not self._membership.is_caught_up.is_set()
        ):
            return
        announcement = UpstreamAnnouncement(
            record.upstream_id,
            record.upstream_born_ms,
            0,
            record.service,
            record.slots,
            phase,
        )
        if self._registry.restore(announcement, trio.current_time()):
            self._apply("recalled")

    async def _await_recall(self, announcement: UpstreamAnnouncement) -> bool:
        """Waits once for what an earlier incarnation of this daemon knew.

        If neither the store nor another daemon tells, a late announcement could bring back an
        upstream that has left, so a second one of the same incarnation is waited for.

        Returns:
            Whether the announcement may be believed.
        """
        if self._is_recalled:
            return True
        with trio.move_on_after(_RECALL_WAIT_S):
            await self._membership.is_caught_up.wait()
            self._is_recalled = True
            return True
        if self._directory.recalled is not None:
            self._is_recalled = True
            return True
        earlier, self._unproven = self._unproven, announcement
        if earlier is None or earlier.born_ms != announcement.born_ms:
            return False
        return announcement.sequence > earlier.sequence

    def _apply(self, change: str) -> None:
        current = self._registry.current
        if current is None:
            return
        self._upstream.replace(current, self._address)
        self._log.write(
            UpstreamChanged(
                upstream=current.upstream_id,
                born_ms=current.born_ms,
                change=change,
                slots=current.slots,
            )
        )
        self._change_record()

    async def _secure(self) -> None:
        """Has the record kept by the store, or else by other daemons."""
        if not await self._membership.publish_and_wait(_STORE_WAIT_S):
            with trio.move_on_after(_TELL_S):
                await self.tell_daemons()

    def _change_record(self) -> None:
        current = self._registry.current
        own = msgspec.structs.replace(self._directory.own, phase=self._upstream.phase)
        if current is not None:
            own = msgspec.structs.replace(
                own,
                service=current.service,
                upstream_id=current.upstream_id,
                upstream_born_ms=current.born_ms,
                upstream_leaves=current.phase is UpstreamPhase.LEAVING,
                slots=current.slots,
                cold_left_s=current.cold_left_s,
            )
        self._directory.change_own(own)
        self._membership.publish()
