"""What the upstream on this VM says of itself, in the order in which it said it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import Final

_SILENT_INTERVALS: Final = 2.5
"""Announcement intervals after which a silent incarnation no longer holds back an older one."""

_MAX_LEFT: Final = 16
"""Upstreams remembered that left before they were known."""


class UpstreamPhase(enum.Enum):
    """Whether an upstream takes requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamAnnouncement:
    """One announcement of an upstream."""

    upstream_id: str
    born_ms: int
    """Start of the upstream, milliseconds since the epoch."""
    sequence: int
    service: str
    slots: int
    phase: UpstreamPhase
    cold_left_s: float = 0.0
    """Time for which the upstream stays slow after its start, in seconds."""


class AnnouncementOutcome(enum.Enum):
    """What an announcement changed."""

    NEW = "new"
    """Another incarnation than before is known now."""
    LEFT = "left"
    """The known incarnation leaves."""
    RENEWED = "renewed"
    """Nothing but the time of the last announcement."""
    STALE = "stale"
    """The announcement is older than what is known."""


class UpstreamRegistry:
    """Orders announcements by incarnation and sequence.

    An incarnation that has said that it leaves never takes requests again.

    Args:
        interval_s: Interval at which an upstream announces itself, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._current: UpstreamAnnouncement | None = None
        self._heard_at = 0.0
        self._left: dict[str, int] = {}
        """Latest start of incarnations that have left by id, milliseconds since the epoch."""

    @property
    def current(self) -> UpstreamAnnouncement | None:
        """Newest announcement of the newest incarnation, if any was heard."""
        return self._current

    @property
    def heard_at(self) -> float:
        """Time of the last announcement that was not stale, in seconds."""
        return self._heard_at

    def restore(self, announcement: UpstreamAnnouncement, now: float) -> bool:
        """Takes over what was known before the daemon was started again.

        Args:
            announcement: Last known announcement; ignored if a newer incarnation was heard.
            now: Current time in seconds.

        Returns:
            Whether that changed anything.
        """
        if self._has_left(announcement):
            announcement = replace(announcement, phase=UpstreamPhase.LEAVING)
        current = self._current
        if current is None:
            self._current = announcement
            self._heard_at = now
            return True
        if not _is_same(current, announcement) or announcement.phase is not UpstreamPhase.LEAVING:
            return False
        self._current = announcement
        return current.phase is not UpstreamPhase.LEAVING

    def on_announcement(
        self, announcement: UpstreamAnnouncement, now: float
    ) -> AnnouncementOutcome:
        """Takes in an announcement.

        Args:
            announcement: The announcement.
            now: Current time in seconds.

        Returns:
            What it changed.
        """
        current = self._current
        if self._has_left(announcement):
            return AnnouncementOutcome.STALE
        if current is None or announcement.born_ms > current.born_ms:
            return self._replace(announcement, now)
        if not _is_same(current, announcement):
            if now - self._heard_at > _SILENT_INTERVALS * self._interval_s:
                return self._replace(announcement, now)
            return AnnouncementOutcome.STALE
        if announcement.sequence <= current.sequence:
            return AnnouncementOutcome.STALE
        self._heard_at = now
        if current.phase is UpstreamPhase.LEAVING:
            return AnnouncementOutcome.RENEWED
        self._current = announcement
        if announcement.phase is UpstreamPhase.LEAVING:
            return AnnouncementOutcome.LEFT
        return AnnouncementOutcome.RENEWED

    def on_leave(
        self, upstream_id: str, born_ms: int | None, now: float, now_ms: int
    ) -> AnnouncementOutcome:
        """Takes in that an upstream leaves.

        Args:
            upstream_id: Its id.
            born_ms: Its start if it said so, milliseconds since the epoch.
            now: Current time in seconds.
            now_ms: Current time, milliseconds since the epoch.

        Returns:
            What it changed.
        """
        current = self._current
        if current is None or current.upstream_id != upstream_id:
            self._remember_left(upstream_id, now_ms if born_ms is None else born_ms)
            return AnnouncementOutcome.STALE
        if born_ms is not None and born_ms != current.born_ms:
            return AnnouncementOutcome.STALE
        if current.phase is UpstreamPhase.LEAVING:
            return AnnouncementOutcome.RENEWED
        self._heard_at = now
        self._current = UpstreamAnnouncement(
            upstream_id,
            current.born_ms,
            current.sequence,
            current.service,
            current.slots,
            UpstreamPhase.LEAVING,
        )
        return AnnouncementOutcome.LEFT

    def _has_left(self, announcement: UpstreamAnnouncement) -> bool:
        return announcement.born_ms <= self._left.get(announcement.upstream_id, -1)

    def _remember_left(self, upstream_id: str, born_ms: int) -> None:
        self._left[upstream_id] = max(born_ms, self._left.pop(upstream_id, -1))
        while len(self._left) > _MAX_LEFT:
            del self._left[next(iter(self._left))]

    def _replace(self, announcement: UpstreamAnnouncement, now: float) -> AnnouncementOutcome:
        self._current = announcement
        self._heard_at = now
        return AnnouncementOutcome.NEW


def _is_same(one: UpstreamAnnouncement, other: UpstreamAnnouncement) -> bool:
    return one.upstream_id == other.upstream_id and one.born_ms == other.born_ms
