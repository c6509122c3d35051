"""What daemons know of each other and of their upstreams, as parts of messages and as records."""

from __future__ import annotations

import enum
from typing import Annotated, Final

import msgspec
import xxhash

from fulmarstile_wire.decoding import Duration, Number

MAX_RATE_LIMIT: Final = 1e12
"""Highest rate limit that an upstream may announce, in requests per second."""


class MemberPhase(enum.Enum):
    """Whether the upstream beside a daemon accepts requests."""

    ABSENT = "absent"
    """No upstream has announced itself."""
    SERVING = "serving"
    LEAVING = "leaving"
    """The upstream is leaving; the daemon keeps running."""
    STOPPED = "stopped"
    """The daemon itself is stopping."""


class UpstreamNotice(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """What an upstream has said about itself in its responses."""

    upstream_id: str
    upstream_born_ms: Number
    dated_ms: Number
    """Time at which the daemon beside the upstream read it, in milliseconds since the epoch.

    It increases from notice to notice of an upstream, even if the clock is set back.
    """
    rate_limit: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_LIMIT)] = 0.0
    """Requests per second that it accepts from all daemons together; 0 for no limit."""
    leaves: bool = False
    """Whether it leaves; it never accepts requests again."""

    @property
    def is_restrictive(self) -> bool:
        """Whether the upstream accepts fewer requests than without this notice."""
        return self.leaves or self.rate_limit > 0.0


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """A daemon and the upstream beside it; a higher (incarnation, revision) replaces a lower."""

    name: str
    address: str
    """`host:port` at which the daemon accepts forwarded requests."""
    availability_zone: str
    incarnation: Number
    """Start time in milliseconds since the epoch, raised above that of any earlier start."""
    revision: Number = 0
    """Counts the changes within the incarnation."""
    phase: MemberPhase = MemberPhase.ABSENT
    service: str = ""
    upstream_id: str = ""
    upstream_born_ms: Number = 0
    upstream_version: str = ""
    """Version of the upstream's software; empty if it announces none."""
    upstream_leaves: bool = False
    """Whether the upstream has announced that it leaves; it never accepts requests again."""
    slots: Number = 0
    cold_left_s: Duration = 0.0
    """Remaining warm-up time of the upstream when this record was written, in seconds."""
    link_kbps: Number = 0
    """Capacity of the VM's network link, in kilobits per second; 0 if unknown."""
    notice: UpstreamNotice | None = None
    """What the upstream has said about itself, when this record was written."""

    @property
    def order(self) -> tuple[int, int]:
        """Sort key among the records of one daemon; the highest is the newest."""
        return (self.incarnation, self.revision)


class CrashReport(msgspec.Struct, frozen=True):
    """A request that was running when an upstream crashed."""

    fingerprint: bytes
    upstream_id: str
    upstream_born_ms: Number

    @property
    def key(self) -> str:
        """Hash that identifies the crash in the store; no other one overwrites it."""
        text = "\0".join((self.fingerprint.hex(), self.upstream_id, str(self.upstream_born_ms)))
        return xxhash.xxh3_64_hexdigest(text.encode())
