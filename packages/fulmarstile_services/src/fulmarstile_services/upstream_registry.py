"""Announcements of the upstream on this VM, ordered by incarnation and sequence number."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

_SILENT_INTERVALS: Final = 2.5
"""Announcement intervals after which a silent incarnation may be replaced by an older one."""

_MAX_DEPARTED: Final = 16
"""Maximum number of remembered upstreams that left before they were known."""


class UpstreamPhase(enum.Enum):
    """Whether an upstream accepts requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class UpstreamAnnouncement:
    """One announcement of an upstream."""

    upstream_id: str
    born_ms: int
    """Start time of the upstream, in milliseconds since the epoch."""
    sequence: int
    service: str
    slots: int
    phase: UpstreamPhase
    cold_left_s: float = 0.0
    """Remaining time for which the upstream is slow after its start, in seconds."""
    version: str = ""
    """Version of the upstream's software; empty if it announces none."""


class AnnouncementOutcome(enum.Enum):
    """What an announcement changed."""

    NEW = "new"
    """The upstream is a new incarnation."""
    LEFT = "left"
    """The current incarnation is leaving."""
    RENEWED = "renewed"
    """Only the time of the last announcement changed."""
    STALE = "stale"
    """The announcement is older than the current state and was ignored."""


class UpstreamRegistry:
    """Orders announcements by incarnation and sequence.

    An incarnation that has announced that it is leaving never accepts requests again, and neither
    does an earlier one with the same id, in whatever order the announcements arrive.

    Args:
        interval_s: Interval at which an upstream announces itself, in seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._current: UpstreamAnnouncement | None = None
        self._last_heard_at = 0.0
        self._departed: dict[str, int] = {}
        """Latest start time of departed incarnations by id, in milliseconds since the epoch."""

    @property
    def departed(self) -> Mapping[str, int]:
        """Latest start time of departed incarnations by id, in milliseconds since the epoch."""
        return self._departed

    @property
    def current(self) -> UpstreamAnnouncement | None:
        """Newest announcement of the current incarnation, if any was received."""
        return self._current

    @property
    def last_heard_at(self) -> float:
        """Time of the last announcement that was not stale, in seconds."""
        return self._last_heard_at

    def restore(self, announcement: UpstreamAnnouncement, now: float) -> bool:
        """Restores the state from before a restart of the daemon.

        Args:
            announcement: Last known announcement. If an upstream has announced itself since, all
                that is restored is that the same incarnation is leaving.
            now: Current time in seconds.

        Returns:
            Whether the state changed.
        """
        if self._has_departed(announcement):
            announcement = replace(announcement, phase=UpstreamPhase.LEAVING)
        if announcement.phase is UpstreamPhase.LEAVING:
            self._remember_departed(announcement.upstream_id, announcement.born_ms)
        current = self._current
        if current is None:
            self._current = announcement
            self._last_heard_at = now
            return True
        if not _is_same(current, announcement) or announcement.phase is not UpstreamPhase.LEAVING:
            return False
        self._current = announcement
        return current.phase is not UpstreamPhase.LEAVING

    def on_announcement(
        self, announcement: UpstreamAnnouncement, now: float
    ) -> AnnouncementOutcome:
        """Processes an announcement.

        Args:
            announcement: The announcement.
            now: Current time in seconds.

        Returns:
            What it changed.
        """
        if announcement.phase is UpstreamPhase.LEAVING:
            return self._on_leaving_announcement(announcement, now)
        current = self._current
        if self._has_departed(announcement):
            if current is None or not _is_later(announcement, current):
                return AnnouncementOutcome.STALE
            self._last_heard_at = now
            return AnnouncementOutcome.RENEWED
        if current is None or not _is_same(current, announcement):
            return self._replace_if_newer(announcement, now)
        if announcement.sequence <= current.sequence:
            return AnnouncementOutcome.STALE
        self._last_heard_at = now
        self._current = announcement
        return AnnouncementOutcome.RENEWED

    def on_leave(
        self, upstream_id: str, born_ms: int | None, now: float, now_ms: int
    ) -> AnnouncementOutcome:
        """Records that an upstream is leaving.

        Args:
            upstream_id: Id of the upstream.
            born_ms: Start time of the upstream in milliseconds since the epoch, if it is given.
            now: Current time in seconds.
            now_ms: Current time in milliseconds since the epoch.

        Returns:
            What it changed.
        """
        current = self._current
        if current is not None and current.upstream_id != upstream_id:
            current = None
        if born_ms is None:
            born_ms = now_ms if current is None else max(now_ms, current.born_ms)
        self._remember_departed(upstream_id, born_ms)
        if current is None or born_ms < current.born_ms:
            return AnnouncementOutcome.STALE
        if current.phase is UpstreamPhase.LEAVING:
            return AnnouncementOutcome.RENEWED
        # A later incarnation whose announcements have not arrived has replaced the current one.
        self._last_heard_at = now
        self._current = replace(current, phase=UpstreamPhase.LEAVING, cold_left_s=0.0)
        return AnnouncementOutcome.LEFT

    def _on_leaving_announcement(
        self, announcement: UpstreamAnnouncement, now: float
    ) -> AnnouncementOutcome:
        """Processes an announcement that says that the upstream is leaving, whatever came later."""
        self._remember_departed(announcement.upstream_id, announcement.born_ms)
        current = self._current
        if current is None or not _is_same(current, announcement):
            return self._replace_if_newer(announcement, now)
        if _is_later(announcement, current):
            self._last_heard_at = now
        if current.phase is UpstreamPhase.LEAVING:
            return AnnouncementOutcome.RENEWED
        self._current = replace(current, phase=UpstreamPhase.LEAVING, cold_left_s=0.0)
        return AnnouncementOutcome.LEFT

    def _replace_if_newer(
        self, announcement: UpstreamAnnouncement, now: float
    ) -> AnnouncementOutcome:
        """Switches to another incarnation if it was born later or the current one is silent."""
        current = self._current
        is_silent = now - self._last_heard_at > _SILENT_INTERVALS * self._interval_s
        if current is not None and announcement.born_ms <= current.born_ms and not is_silent:
            return AnnouncementOutcome.STALE
        self._current = announcement
        self._last_heard_at = now
        return AnnouncementOutcome.NEW

    def _has_departed(self, announcement: UpstreamAnnouncement) -> bool:
        return announcement.born_ms <= self._departed.get(announcement.upstream_id, -1)

    def _remember_departed(self, upstream_id: str, born_ms: int) -> None:
        self._departed[upstream_id] = max(born_ms, self._departed.pop(upstream_id, -1))
        while len(self._departed) > _MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]


def _is_later(one: UpstreamAnnouncement, other: UpstreamAnnouncement) -> bool:
    """Returns whether an announcement is a later one of the same incarnation."""
    return _is_same(one, other) and one.sequence > other.sequence


def _is_same(one: UpstreamAnnouncement, other: UpstreamAnnouncement) -> bool:
    return one.upstream_id == other.upstream_id and one.born_ms == other.born_ms
