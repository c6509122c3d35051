"""Lease with which an upstream announces itself to its local daemon."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.records import UpstreamStatus

MIN_TTL_S: Final = 0.5
"""Shortest lifetime of a lease, in seconds."""

MAX_TTL_S: Final = 300.0
"""Longest lifetime of a lease, in seconds."""

MAX_SLOTS: Final = 100_000
"""Most slots or connections that an upstream can announce."""


class AnnouncementError(FulmarstileError):
    """An upstream's announcement is invalid."""


@dataclass(frozen=True, slots=True)
class UpstreamAnnouncement:
    """What an upstream announces about itself."""

    service: str
    address: str
    """`host:port` at which the upstream takes requests."""
    slots: int
    """Requests that the upstream runs at the same time."""
    connections: int
    """Connections that the upstream accepts."""
    ttl_s: float
    """Time until the announcement must be renewed, in seconds."""
    draining: bool = False


class UpstreamLease:
    """State of the local upstream, which counts as gone when its lease is not renewed."""

    def __init__(self) -> None:
        self._announcement: UpstreamAnnouncement | None = None
        self._expires_at = 0.0
        self._status = UpstreamStatus.GONE

    @property
    def announcement(self) -> UpstreamAnnouncement | None:
        """The last announcement, also after its lease has expired."""
        return self._announcement

    @property
    def status(self) -> UpstreamStatus:
        """Status as of the last event."""
        return self._status

    def on_announcement(self, announcement: UpstreamAnnouncement, now: float) -> bool:
        """Starts or renews the lease.

        Args:
            announcement: What the upstream announces about itself.
            now: Monotonic time in seconds.

        Returns:
            Whether status, service, slots or address changed, which peers must learn.

        Raises:
            AnnouncementError: If the announcement is invalid.
        """
        _check(announcement)
        before = self._announced_state()
        self._announcement = announcement
        self._expires_at = now + announcement.ttl_s
        draining = announcement.draining
        self._status = UpstreamStatus.DRAINING if draining else UpstreamStatus.READY
        return self._announced_state() != before

    def on_withdrawal(self, now: float) -> bool:
        """Ends the lease because the upstream has stopped; returns whether it was held."""
        return self._end()

    def on_crash(self, now: float) -> bool:
        """Ends the lease because the upstream refuses connections; returns whether it was held."""
        return self._end()

    def on_tick(self, now: float) -> bool:
        """Ends a lease that was not renewed in time; returns whether it ended now."""
        if now < self._expires_at:
            return False
        return self._end()

    def _end(self) -> bool:
        was_held = self._status is not UpstreamStatus.GONE
        self._status = UpstreamStatus.GONE
        return was_held

    def _announced_state(self) -> tuple[UpstreamStatus, str, int, str]:
        announcement = self._announcement
        if announcement is None:
            return (self._status, "", 0, "")
        return (self._status, announcement.service, announcement.slots, announcement.address)


def _check(announcement: UpstreamAnnouncement) -> None:
    if not announcement.service or not announcement.address:
        raise AnnouncementError("service and address must be given")
    if not 0 < announcement.slots <= MAX_SLOTS:
        raise AnnouncementError(f"slots must be from 1 to {MAX_SLOTS}")
    if not 0 < announcement.connections <= MAX_SLOTS:
        raise AnnouncementError(f"connections must be from 1 to {MAX_SLOTS}")
    if not MIN_TTL_S <= announcement.ttl_s <= MAX_TTL_S:
        raise AnnouncementError(f"ttl must be from {MIN_TTL_S} to {MAX_TTL_S} seconds")
