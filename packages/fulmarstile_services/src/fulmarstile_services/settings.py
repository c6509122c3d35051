"""Settings of a daemon that forwards calls between services."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from fulmarstile_wire.errors import FulmarstileError

_BASE_MEMORY_BYTES: Final = 64 * 1024 * 1024
"""Memory that a daemon uses while it holds no messages."""
_MESSAGE_MEMORY_RATIO: Final = 0.25
_MESSAGE_COPIES: Final = 3
"""Times that a message exists at most for a moment."""
_MIN_MESSAGE_MEMORY_BYTES: Final = 4 * 1024 * 1024
"""Lower bound of `message_memory_bytes`, for a daemon with little free memory."""

_BYTES_PER_KBIT: Final = 125
_RESERVED_DESCRIPTORS: Final = 300
"""File descriptors left to files, the upstream, the store and probes."""
_CALLER_DESCRIPTOR_SHARE: Final = 0.6
"""Share of the other descriptors that callers' connections may use."""
_MIN_CALLER_CONNECTIONS: Final = 64


class NodeSettingsError(FulmarstileError):
    """The settings of the daemon cannot be read or are invalid."""


@dataclass(frozen=True, slots=True)
class Listeners:
    """Addresses that the daemon listens on, each `host:port`."""

    callers: str
    """For requests of the callers on this VM."""
    daemons: str
    """For requests forwarded by other daemons."""
    readiness: str
    announcements: str
    """For announcements of the upstream on this VM."""
    metrics: str


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Limits on what an unproven version of a service's upstreams may receive."""

    exposure_ratio: float
    """Fraction of the requests between order and deadline that a bad version may receive."""
    exposure_slack: float
    """Requests that it may receive beyond this ratio."""
    rollback_s: float
    """Time from the 50th bad response to the last request that it may receive, in seconds."""


@dataclass(frozen=True, slots=True)
class RevocationBounds:
    """Limit on how long a key that was taken away may still be accepted."""

    revoke_s: float
    """Time from the acknowledgement of the document, in seconds."""


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Limits on how far the requests of a customer may exceed its quota."""

    window_s: float
    """Length of the sliding window, in seconds."""
    overage_ratio: float
    """Fraction of the quota of a window by which it may be exceeded."""
    slack: float
    """Requests beyond this in one window."""


@dataclass(frozen=True, slots=True)
class RequiredBounds:
    """Limits that the deployment requires the daemons to keep."""

    drain_s: float = 2.0
    """Time after a leave is acknowledged until the upstream gets no new requests, in seconds."""
    grace_s: float = 6.0
    """Time from SIGTERM to SIGKILL, in seconds."""
    retry_ratio: float = 0.2
    """Retries allowed for each request, over all daemons."""
    retry_burst: float = 50.0
    """Retries allowed beyond the ratio in one window, over all daemons."""
    rollout: RolloutBounds | None = None
    """Limits of roll-outs; None if the deployment has none."""
    revocation: RevocationBounds | None = None
    """Limit of the use of revoked keys; None if it is not strict."""
    quota: QuotaBounds | None = None
    """Limits of quotas; None if the deployment has none."""


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
    """Whether this is the first start of the whole deployment."""
    memory_bytes: int
    descriptor_limit: int
    link_kbps: int = 0
    """Capacity of the VM's link, in kilobits per second; 0 if unknown."""
    bounds: RequiredBounds = field(default_factory=RequiredBounds)

    @property
    def link_bytes_per_s(self) -> float:
        """Capacity of the VM's link, in bytes per second; 0 if unknown."""
        return self.link_kbps * _BYTES_PER_KBIT

    @property
    def unreserved_descriptors(self) -> int:
        """File descriptors for the connections of callers and of other daemons."""
        return self.descriptor_limit - _RESERVED_DESCRIPTORS

    @property
    def caller_connection_limit(self) -> int:
        """Maximum number of callers' connections."""
        share = int(self.unreserved_descriptors * _CALLER_DESCRIPTOR_SHARE)
        return max(_MIN_CALLER_CONNECTIONS, share)

    @property
    def message_memory_bytes(self) -> int:
        """Maximum number of bytes of messages that the daemon may hold in memory.

        It is a fraction of the free memory, because a message that is joined and encoded exists
        up to three times for a moment.
        """
        return max(_MIN_MESSAGE_MEMORY_BYTES, int(self._free_bytes * _MESSAGE_MEMORY_RATIO))

    @property
    def spare_message_bytes(self) -> int:
        """Memory that remains if messages use their limit, in bytes; 0 if there is none."""
        return max(0, self._free_bytes - self.message_memory_bytes * _MESSAGE_COPIES)

    @property
    def _free_bytes(self) -> int:
        return self.memory_bytes - _BASE_MEMORY_BYTES
