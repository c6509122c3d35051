"""Processes the announcements of the upstream on this VM."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.services.events import RecordIgnored, UpstreamChanged
from fulmarstile_daemon.services.ports import DepartureNotStoredError
from fulmarstile_services.upstream_registry import (
    AnnouncementOutcome,
    UpstreamAnnouncement,
    UpstreamPhase,
    UpstreamRegistry,
)
from fulmarstile_wire.departures import UpstreamDeparture
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.membership import Membership
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.settings import NodeSettings
    from fulmarstile_wire.services import UpstreamNotice

_STORE_TIMEOUT_S: Final = 0.6
"""Maximum time that the acknowledgement of a departure waits for the store, in seconds."""
_HAND_OVER_TIMEOUT_S: Final = 0.2
"""Maximum time that it then waits for other daemons instead, in seconds."""
_MIN_LIMIT_CHANGE: Final = 0.1
"""Relative change of a rate limit that is published to all daemons.

Those that send requests to the upstream learn of smaller ones, too.
"""
_LIMIT_PUBLISH_INTERVAL_S: Final = 1.0
"""Minimum time between publications of a rate limit that keeps changing, in seconds."""
_RECOVERY_TIMEOUT_S: Final = 0.8
"""Maximum time that the first announcement waits for the records of the store, in seconds."""


class UpstreamAnnouncements:
    """Applies announcements in order and publishes changes to all daemons.

    The departure of an upstream takes effect here before it is acknowledged, and by then it is in
    the store or, if that is unavailable, known to another daemon: this one may end at any time.

    Args:
        settings: Settings of the daemon.
        directory: Directory of the known daemons, with the record of this one.
        membership: Writes the record to the store.
        upstream: Upstream on this VM.
        notices: Merges what upstreams say about themselves.
        log: Log of the daemon.
    """

    def __init__(
        self,
        settings: NodeSettings,
        directory: Directory,
        membership: Membership,
        upstream: LocalUpstream,
        notices: NoticeMerger,
        log: EventLog,
    ) -> None:
        self._address = settings.upstream_address
        self._is_recovered = settings.is_first_start
        self._unconfirmed: UpstreamAnnouncement | None = None
        self._published_at = 0.0
        self._directory = directory
        self._membership = membership
        self._upstream = upstream
        self._notices = notices
        self._log = log
        self._registry = UpstreamRegistry(settings.announce_interval_s)
        self.hand_over_departure: Callable[[float], Awaitable[bool]] = _hand_over_to_nobody
        """Sends departures to other daemons within a time in seconds; returns whether one has them.
        """
        notices.on_change = self.on_notice

    def move_upstream(self, address: str) -> None:
        """Sends later requests to another address, after a change of the settings.

        Args:
            address: `host:port` of the upstream on this VM.
        """
        if address == self._address:
            return
        self._address = address
        if self._upstream.announcement is not None:
            self._upstream.apply_announcement(self._upstream.announcement, address)

    async def announce(self, announcement: UpstreamAnnouncement) -> None:
        """See `UpstreamEvents.announce`."""
        if announcement.phase is UpstreamPhase.READY and not await self._wait_for_recovery(
            announcement
        ):
            return
        outcome = self._registry.on_announcement(announcement, trio.current_time())
        if outcome is AnnouncementOutcome.STALE:
            self._log.write(
                RecordIgnored(
                    source=announcement.upstream_id,
                    reason=f"announcement {announcement.sequence} of the incarnation born at "
                    f"{announcement.born_ms} is outdated",
                )
            )
        elif outcome is not AnnouncementOutcome.RENEWED:
            self._apply_current(outcome.value)
        if announcement.phase is UpstreamPhase.LEAVING:
            await self._persist()

    async def leave(self, upstream_id: str, born_ms: int | None) -> None:
        """See `UpstreamEvents.leave`."""
        now_ms = int(time.time() * 1000)
        outcome = self._registry.on_leave(upstream_id, born_ms, trio.current_time(), now_ms)
        if outcome is AnnouncementOutcome.STALE:
            self._log.write(
                RecordIgnored(
                    source=upstream_id,
                    reason=f"the leaving incarnation, born at {born_ms}, is not the current one",
                )
            )
        if outcome is AnnouncementOutcome.LEFT:
            self._apply_current(outcome.value)
        await self._persist()

    def on_departures(self) -> None:
        """Applies departures from this VM that other daemons or the store remember."""
        local_name = self._directory.local_member.name
        now = trio.current_time()
        outcomes = [
            self._registry.on_leave(
                departure.upstream_id, departure.upstream_born_ms, now, departure.upstream_born_ms
            )
            for departure in self._directory.departures.of(local_name)
        ]
        if AnnouncementOutcome.LEFT in outcomes:
            self._apply_current("recalled")

    def on_notice(self, notice: UpstreamNotice) -> None:
        """Applies what an upstream says about itself, if it is the one on this VM.

        Args:
            notice: Notice by which more is known than before.
        """
        if self._upstream.notice is None or notice.upstream_id != self._upstream.notice.upstream_id:
            return
        if self._record_announced_drain():
            self._apply_current("left")
            return
        self._upstream.apply_notice()
        if self._should_publish_limit(self._upstream.rate_limit):
            self._publish_record()

    async def stop(self) -> None:
        """Publishes to all daemons that this one is stopping."""
        local_member = msgspec.structs.replace(
            self._directory.local_member, phase=MemberPhase.STOPPED
        )
        self._directory.update_local_member(local_member)
        await self._membership.publish_and_wait(_STORE_TIMEOUT_S)

    def restore_upstream(self) -> None:
        """Restores the state of the upstream that an earlier incarnation of this daemon published.

        An upstream that was serving is assumed to be still serving: requests name the incarnation
        that they are meant for, so another one at its address does not run them. It may have left
        meanwhile, so the serving state is restored only after the store was read and other daemons
        were asked.
        """
        record = self._directory.previous_record
        if record is None or not record.upstream_id:
            return
        self._notices.merge(record.notice, record.name)
        phase = UpstreamPhase.LEAVING if record.upstream_leaves else UpstreamPhase.READY
        if phase is UpstreamPhase.READY and (
            self._registry.current is not None or not self._membership.is_recovered.is_set()
        ):
            return
        announcement = UpstreamAnnouncement(
            record.upstream_id,
            record.upstream_born_ms,
            0,
            record.service,
            record.slots,
            phase,
            version=record.upstream_version,
        )
        if self._registry.restore(announcement, trio.current_time()):
            self._apply_current("recalled")

    async def _wait_for_recovery(self, announcement: UpstreamAnnouncement) -> bool:
        """Waits for the record of an earlier incarnation of this daemon, unless it is known.

        If neither the store nor another daemon provides it, a delayed announcement could restore
        an upstream that has left, so a second one of the same incarnation is required.

        Returns:
            Whether the announcement may be applied.
        """
        if self._is_recovered:
            return True
        with trio.move_on_after(_RECOVERY_TIMEOUT_S):
            await self._membership.is_recovered.wait()
            self._is_recovered = True
            return True
        if self._directory.previous_record is not None:
            self._is_recovered = True
            return True
        earlier, self._unconfirmed = self._unconfirmed, announcement
        if earlier is None or earlier.born_ms != announcement.born_ms:
            return False
        return announcement.sequence > earlier.sequence

    def _should_publish_limit(self, limit: float) -> bool:
        published = self._directory.local_member.notice
        published_limit = 0.0 if published is None else published.rate_limit
        if not limit or not published_limit:
            return limit != published_limit
        age_s = trio.current_time() - self._published_at
        change = abs(limit - published_limit)
        return age_s >= _LIMIT_PUBLISH_INTERVAL_S and change > published_limit * _MIN_LIMIT_CHANGE

    def _record_announced_drain(self) -> bool:
        """Records that the upstream is leaving if it has said so in a response.

        Returns:
            Whether that was not recorded before.
        """
        current = self._registry.current
        if current is None:
            return False
        notice = self._directory.notices.find(current.upstream_id, current.born_ms)
        if notice is None or not notice.leaves:
            return False
        outcome = self._registry.on_leave(
            current.upstream_id, current.born_ms, trio.current_time(), current.born_ms
        )
        return outcome is AnnouncementOutcome.LEFT

    def _apply_current(self, change: str) -> None:
        self._record_announced_drain()
        self._record_departures()
        current = self._registry.current
        if current is None:
            return
        self._upstream.apply_announcement(current, self._address)
        self._log.write(
            UpstreamChanged(
                upstream=current.upstream_id,
                born_ms=current.born_ms,
                change=change,
                slots=current.slots,
            )
        )
        self._publish_record()

    def _record_departures(self) -> None:
        local_name = self._directory.local_member.name
        self._membership.apply_departures(
            UpstreamDeparture(local_name, upstream_id, born_ms)
            for upstream_id, born_ms in self._registry.departed.items()
        )

    async def _persist(self) -> None:
        """Persists the departures in the store, or else at other daemons.

        They include those that changed nothing here, because they are acknowledged as well.

        Raises:
            DepartureNotStoredError: If neither the store nor another daemon has it.
        """
        self._record_departures()
        if await self._membership.publish_and_wait(_STORE_TIMEOUT_S):
            return
        if not await self.hand_over_departure(_HAND_OVER_TIMEOUT_S):
            raise DepartureNotStoredError("neither the store nor another daemon has the departure")

    def _publish_record(self) -> None:
        current = self._registry.current
        local_member = msgspec.structs.replace(
            self._directory.local_member, phase=self._upstream.phase
        )
        if current is not None:
            local_member = msgspec.structs.replace(
                local_member,
                service=current.service,
                upstream_id=current.upstream_id,
                upstream_born_ms=current.born_ms,
                upstream_version=current.version,
                upstream_leaves=current.phase is UpstreamPhase.LEAVING,
                slots=current.slots,
                cold_left_s=current.cold_left_s,
                notice=self._upstream.notice,
            )
        self._directory.update_local_member(local_member)
        self._published_at = trio.current_time()
        self._membership.publish()


async def _hand_over_to_nobody(_: float) -> bool:
    await trio.lowlevel.checkpoint()
    return False
