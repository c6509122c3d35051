"""Settings of a daemon that carries calls between services."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from fulmarstile_wire.errors import FulmarstileError

_OWN_BYTES: Final = 64 * 1024 * 1024
"""Memory of a daemon that holds no message."""
_HELD_SHARE: Final = 0.25
_MIN_HELD_BYTES: Final = 4 * 1024 * 1024


class NodeSettingsError(FulmarstileError):
    """The settings of the daemon cannot be read or are not valid."""


@dataclass(frozen=True, slots=True)
class Listeners:
    """Addresses that the daemon listens at, each `host:port`."""

    callers: str
    """Requests of the callers on this VM."""
    daemons: str
    """Requests forwarded by other daemons."""
    readiness: str
    announcements: str
    """Announcements of the upstream on this VM."""
    metrics: str


@dataclass(frozen=True, slots=True)
class RequiredBounds:
    """Bounds that the deployment demands."""

    drain_s: float = 2.0
    """Time from the acknowledgement of an upstream's leaving until it gets no new request."""
    grace_s: float = 6.0
    """Time from SIGTERM to SIGKILL, in seconds."""
    retry_ratio: float = 0.2
    """Repeats allowed for each request, over all daemons."""
    retry_burst: float = 50.0
    """Repeats allowed beyond the ratio in one window, over all daemons."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one daemon."""

    name: str
    availability_zone: str
    region: str
    service: str
    """Service of the upstream on this VM."""
    upstream_address: str
    """`host:port` of the upstream on this VM."""
    store_address: str
    """`host:port` of the platform's store."""
    listeners: Listeners
    announce_interval_s: float
    """Interval at which the upstream renews its announcement, in seconds."""
    is_first_start: bool
    """Whether the whole deployment starts for the first time."""
    memory_bytes: int
    descriptor_limit: int
    link_kbps: int = 0
    """Capacity of the VM's link, in kilobits a second; 0 if it is not known."""
    bounds: RequiredBounds = field(default_factory=RequiredBounds)

    @property
    def message_memory_bytes(self) -> int:
        """Most bytes of messages that the daemon may hold for others.

        Each of them exists up to three times for a moment, as it is joined and encoded.
        """
        spare_bytes = self.memory_bytes - _OWN_BYTES
        return max(_MIN_HELD_BYTES, int(spare_bytes * _HELD_SHARE))
