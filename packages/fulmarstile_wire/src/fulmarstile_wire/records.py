"""Records about daemons and their upstreams that travel inside messages."""

from __future__ import annotations

import enum

import msgspec

from fulmarstile_wire.decoding import Number


class MemberStatus(enum.IntEnum):
    """Status of a member; at equal incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    """The daemon drains: it accepts no new calls but still finishes calls in flight."""
    DEAD = 3
    LEFT = 4
    """The daemon has shut down gracefully."""


class UpstreamStatus(enum.IntEnum):
    """Status of an upstream as announced to its daemon."""

    READY = 0
    DRAINING = 1
    GONE = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the mesh knows about one daemon."""

    daemon_id: str
    """Unique name of the daemon, from its settings; a restarted daemon keeps it."""
    incarnation: Number
    """Start time in milliseconds since the epoch, incremented to refute a suspicion."""
    status: MemberStatus
    peer_address: str
    """`host:port` of the listener for messages between daemons."""
    calls_address: str
    """`host:port` of the HTTP listener for calls."""
    availability_zone: str
    region: str
    customers: tuple[str, ...] = ()
    """Customers whose configuration the daemon needs, sorted."""


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the mesh knows about the upstream beside one daemon."""

    daemon_id: str
    incarnation: Number
    sequence: Number
    """Incremented by the daemon on every change within one incarnation."""
    service: str
    status: UpstreamStatus
    slots: int
    """Maximum number of requests that the upstream runs concurrently."""


class AppliedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Configuration version that one daemon has in force for one customer."""

    daemon_id: str
    incarnation: Number
    customer: str
    version: int
    digest: bytes
    """First 8 bytes of the hash of the document in force."""


class QuarantineRecord(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream that a request fingerprint is suspected of."""

    fingerprint: bytes
    """Hash of customer, method, path and body, 16 bytes."""
    daemon_id: str
    """Daemon beside the upstream that crashed."""
    crash_id: int
    """Unique per daemon, so that one crash counts once."""
    expires_in_ms: int
    """Remaining lifetime in milliseconds; relative, so that clocks need not agree."""


class News(msgspec.Struct, frozen=True, array_like=True):
    """Membership updates that are piggybacked on other messages."""

    members: tuple[MemberRecord, ...] = ()
    upstreams: tuple[UpstreamRecord, ...] = ()
    applied: tuple[AppliedRecord, ...] = ()
    quarantine: tuple[QuarantineRecord, ...] = ()


class StreamHead(msgspec.Struct, frozen=True, array_like=True):
    """How far a daemon has folded the configuration stream of one customer."""

    customer: str
    generation: int
    """Incremented when the stream is re-seeded after the log has lost it."""
    next_offset: int
    """Offset of the first log record that is not folded yet."""
    version: int
    digest: bytes
    """First 8 bytes of the hash of the fold's state."""


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a configuration stream, as the log holds it."""

    offset: int
    payload: bytes
    appended_at_ms: int
    """Time of the append by the log's clock, milliseconds since the epoch."""


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """Claim on an idempotency key; the first one in log order wins."""

    customer: str
    key: str
    claim_id: str
    """Unique per attempt to claim; resending the same claim is idempotent."""
    fingerprint: bytes
    """Hash of method, path and body, 16 bytes, to detect a key reused with another body."""


class OutcomeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a claimed request, written by the winner of the claim."""

    customer: str
    key: str
    claim_id: str
    releases_key: bool
    """True if the request certainly was not run and the key may be claimed again."""
    status: int = 0
    """HTTP status of the stored answer; 0 if none is stored."""
    content_type: str = ""
    body: bytes = b""
    body_omitted: bool = False
    """Whether the answer was too large to be stored; `body` is empty then."""
