"""Announcements of the upstream on this VM."""

from __future__ import annotations

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
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.membership import Membership
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.settings import NodeSettings

_STORE_WAIT_S: Final = 0.6
"""Time that an acknowledgement of leaving waits for the store, in seconds."""
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
        self._must_recall = not settings.is_first_start
        self._directory = directory
        self._membership = membership
        self._upstream = upstream
        self._log = log
        self._registry = UpstreamRegistry(settings.announce_interval_s)

    async def announce(self, announcement: UpstreamAnnouncement) -> None:
        """See `UpstreamEvents.announce`."""
        await self._recall()
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
        if outcome is not AnnouncementOutcome.RENEWED:
            await self._apply(outcome)

    async def leave(self, upstream_id: str, born_ms: int | None) -> None:
        """See `UpstreamEvents.leave`."""
        await self._recall()
        outcome = self._registry.on_leave(upstream_id, born_ms, trio.current_time())
        if outcome is AnnouncementOutcome.LEFT:
            await self._apply(outcome)

    def rejoin(self) -> None:
        """Writes the record of this daemon anew, with what is known of its upstream."""
        self._change_record()

    async def stop(self) -> None:
        """Tells all daemons that this one stops."""
        self._change_record()
        await self._membership.publish_and_wait(_STORE_WAIT_S)

    async def _recall(self) -> None:
        """Learns once from the store what an earlier incarnation of the daemon knew."""
        if not self._must_recall:
            return
        with trio.move_on_after(_RECALL_WAIT_S):
            await self._membership.is_current.wait()
        own = self._directory.recalled
        self._must_recall = False
        if own is None or self._registry.current is not None:
            return
        if own.phase is MemberPhase.LEAVING:
            self._registry.restore(
                UpstreamAnnouncement(
                    own.upstream_id,
                    own.upstream_born_ms,
                    0,
                    own.service,
                    own.slots,
                    UpstreamPhase.LEAVING,
                ),
                trio.current_time(),
            )

    async def _apply(self, outcome: AnnouncementOutcome) -> None:
        current = self._registry.current
        if current is None:
            return
        self._upstream.replace(current, self._address)
        self._log.write(
            UpstreamChanged(
                upstream=current.upstream_id,
                born_ms=current.born_ms,
                change=outcome.value,
                slots=current.slots,
            )
        )
        self._change_record()
        if current.phase is UpstreamPhase.LEAVING:
            await self._membership.publish_and_wait(_STORE_WAIT_S)
        else:
            self._membership.publish()

    def _change_record(self) -> None:
        current = self._registry.current
        own = msgspec.structs.replace(self._directory.own, phase=self._upstream.phase)
        if current is not None:
            own = msgspec.structs.replace(
                own,
                service=current.service,
                upstream_id=current.upstream_id,
                upstream_born_ms=current.born_ms,
                slots=current.slots,
                cold_left_s=current.cold_left_s,
            )
        self._directory.change_own(own)
        self._membership.publish()
