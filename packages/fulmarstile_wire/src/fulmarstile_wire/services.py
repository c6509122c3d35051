"""Messages between daemons that carry calls between services.

Requests and answers travel over HTTP; the messages here stand in one header of each, or in the
body of a synchronization. Every message carries what it needs to be understood on its own.
"""

from __future__ import annotations

import enum
from typing import Any, Final

import msgspec

from fulmarstile_wire.errors import WireError
from fulmarstile_wire.verdict import Verdict

HOP_HEADER: Final = b"fulmarstile-hop"
"""Header of a forwarded request; holds a `HopRequest`."""
OUTCOME_HEADER: Final = b"fulmarstile-outcome"
"""Header of the answer to a forwarded request; holds a `HopOutcome`."""
SYNC_HEADER: Final = b"fulmarstile-sync"
"""Header that marks a synchronization."""
SYNC_TARGET: Final = b"/fulmarstile/sync"
"""Target of a synchronization."""
MAX_SYNC_BYTES: Final = 8 * 1024 * 1024
"""Largest body of a synchronization, in bytes."""


class MemberPhase(enum.Enum):
    """Whether the upstream beside a daemon takes requests."""

    ABSENT = "absent"
    """No upstream has announced itself."""
    SERVING = "serving"
    LEAVING = "leaving"
    """The upstream leaves; the daemon stays."""
    STOPPED = "stopped"
    """The daemon itself stops."""


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """A daemon and the upstream beside it; a higher (incarnation, revision) replaces a lower."""

    name: str
    address: str
    """`host:port` at which the daemon takes forwarded requests."""
    availability_zone: str
    incarnation: int
    """Start of the daemon, milliseconds since the epoch, raised above any earlier one."""
    revision: int = 0
    """Counts the changes within the incarnation."""
    phase: MemberPhase = MemberPhase.ABSENT
    service: str = ""
    upstream_id: str = ""
    upstream_born_ms: int = 0
    upstream_leaves: bool = False
    """Whether the upstream has said that it leaves; it never takes requests again."""
    slots: int = 0
    cold_left_s: float = 0.0
    """Time for which the upstream was still to be slow when this was written, in seconds."""

    @property
    def order(self) -> tuple[int, int]:
        """Position among the records of the same daemon."""
        return (self.incarnation, self.revision)


class CrashReport(msgspec.Struct, frozen=True):
    """A request that was running when an upstream crashed."""

    fingerprint: bytes
    upstream_id: str
    upstream_born_ms: int


class HopRequest(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """What the daemon beside the upstream must know of a forwarded request."""

    service: str
    upstream_id: str
    caller_service: str
    priority: int
    left_ms: int
    """Time until the caller needs the answer, in milliseconds."""
    useful_ms: int
    """Time until waiting for a slot is of no use, in milliseconds."""
    idempotent: bool
    fingerprint: bytes = b""


class HopOutcome(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """What the daemon beside the upstream tells of the end of a forwarded request."""

    verdict: Verdict
    reason: str = ""
    """Why there is no answer; empty if there is one."""
    retry_after_ms: int = 0
    reached_upstream: bool = False
    running: int = 0
    queued: int = 0
    slots: int = 0
    service_ms: float = 0.0
    """Mean time that the upstream takes for a request lately, in milliseconds."""
    phase: MemberPhase = MemberPhase.SERVING


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of a daemon, offered to another one."""

    sender: str
    digest: bytes
    """Hash of all members and crash reports known."""
    document_version: int = -1
    """Version of the operator's document; -1 for none."""
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    document: bytes = b""
    """The document as the store holds it; empty if it is not sent."""


class SyncReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a daemon lacks compared with the one that replies."""

    digest: bytes
    document_version: int = -1
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    document: bytes = b""


def encode_header(message: HopRequest | HopOutcome) -> bytes:
    """Encodes a message as the value of a header."""
    return msgspec.json.encode(message)


def encode_sync(message: SyncRequest | SyncReply) -> bytes:
    """Encodes a message as a body."""
    return msgspec.msgpack.encode(message)


def encode_member(member: Member) -> bytes:
    """Encodes a member as a record of the store."""
    return msgspec.json.encode(member)


def encode_crash(report: CrashReport) -> bytes:
    """Encodes a crash report as a record of the store."""
    return msgspec.json.encode(report)


_HOP_REQUEST = msgspec.json.Decoder(HopRequest)
_HOP_OUTCOME = msgspec.json.Decoder(HopOutcome)
_MEMBER = msgspec.json.Decoder(Member)
_CRASH = msgspec.json.Decoder(CrashReport)
_SYNC_REQUEST = msgspec.msgpack.Decoder(SyncRequest)
_SYNC_REPLY = msgspec.msgpack.Decoder(SyncReply)


def decode_hop_request(value: bytes) -> HopRequest:
    """Decodes the header of a forwarded request.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_HOP_REQUEST, value)


def decode_hop_outcome(value: bytes) -> HopOutcome:
    """Decodes the header of an answer to a forwarded request.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_HOP_OUTCOME, value)


def decode_member(value: bytes) -> Member:
    """Decodes a member's record.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_MEMBER, value)


def decode_crash(value: bytes) -> CrashReport:
    """Decodes the record of a crash report.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_CRASH, value)


def decode_sync_request(value: bytes) -> SyncRequest:
    """Decodes the body of a synchronization.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_SYNC_REQUEST, value)


def decode_sync_reply(value: bytes) -> SyncReply:
    """Decodes the answer to a synchronization.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_SYNC_REPLY, value)


def _decode(decoder: Any, value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"malformed message: {error}") from error
