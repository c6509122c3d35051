"""Messages between daemons that carry calls between services.

Messages are MessagePack, each behind its length in four bytes. Many requests share a
connection; answers come in any order and name the call that they belong to.
"""

from __future__ import annotations

import enum
from typing import Any, Final

import msgspec

from fulmarstile_wire.errors import WireError
from fulmarstile_wire.verdict import Verdict

PROTOCOL_VERSION: Final = 2
"""Version of the messages between daemons."""
MAX_FRAME_BYTES: Final = 96 * 1024 * 1024
"""Largest message, in bytes."""
_LENGTH_BYTES: Final = 4

HeaderPair = tuple[bytes, bytes]
"""Name in lower case, and value."""


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
    link_kbps: int = 0
    """Capacity of the VM's link, in kilobits a second; 0 if it is not known."""

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
    remaining_ms: int
    """Time until the caller needs the answer, in milliseconds."""
    max_slot_wait_ms: int
    """Time until waiting for a slot is of no use, in milliseconds."""
    idempotent: bool
    target_ms: int
    """Time within which the answer has its full value, in milliseconds."""
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
    """Mean time that the upstream takes for a request lately, in milliseconds, of any priority."""
    phase: MemberPhase = MemberPhase.SERVING
    spent_ms: float = 0.0
    """Time from the arrival of the whole request to its end, in milliseconds."""
    body_wait_ms: float = 0.0
    """Time until a large body that is offered now would be granted, in milliseconds."""
    class_service_ms: float = 0.0
    """Like `service_ms`, for requests of the same priority as this one."""


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
    is_probe: bool = False
    """Whether it only asks if the other daemon can be reached, which replies without state."""
    wanted: frozenset[int] = frozenset()
    """Numbers of the buckets whose members and crash reports are to be replied with."""


class SyncReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a daemon lacks compared with the one that replies."""

    sender: str
    digest: bytes
    document_version: int = -1
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    document: bytes = b""
    bucket_digests: bytes = b""
    """A hash of each bucket of members and of the crash reports; empty if the digests are equal."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First message of the daemon that opened a connection."""

    version: int
    sender: str


class HopCall(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A forwarded request."""

    call_id: int
    """Unique on its connection."""
    hop: HopRequest
    method: bytes
    target: bytes
    headers: list[HeaderPair]
    body: bytes


class HopAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """How a forwarded request ended; status, headers and body are the upstream's."""

    call_id: int
    outcome: HopOutcome
    status: int = 0
    """HTTP status; 0 if there is no answer."""
    headers: list[HeaderPair] = []
    body: bytes = b""


class HopCancel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The answer to a call is not wanted any more."""

    call_id: int


class SyncCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An offer of state that wants a reply."""

    call_id: int
    request: SyncRequest


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The reply to an offer of state."""

    call_id: int
    reply: SyncReply


class BodyOffer(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Announces a forwarded request with a large body, which is sent once it is granted."""

    call_id: int
    size: int
    """Bytes of the body."""
    wait_ms: int
    """Longest time for which it is of use to wait for the grant, in milliseconds."""


class BodyGrant(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Lets the body of an offer come."""

    call_id: int


class HopWithdraw(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A call is to be refused unless its upstream has it; the answer is wanted in any case."""

    call_id: int


LinkMessage = (
    Hello
    | HopCall
    | HopAnswer
    | HopCancel
    | HopWithdraw
    | SyncCall
    | SyncAnswer
    | BodyOffer
    | BodyGrant
)
"""All that is sent between daemons."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[LinkMessage] = msgspec.msgpack.Decoder(LinkMessage)


def encode_frame(message: LinkMessage) -> bytes:
    """Encodes a message behind its length."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Splits a stream of bytes into messages.

    Args:
        max_bytes: Largest message, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._received = bytearray()

    @property
    def pending_bytes(self) -> int:
        """Bytes of a message that has not arrived whole."""
        return len(self._received)

    def feed(self, data: bytes) -> list[LinkMessage]:
        """Takes in bytes.

        Args:
            data: What was received.

        Returns:
            The messages that are complete.

        Raises:
            WireError: If a message is malformed or oversize; the stream must end.
        """
        received = self._received
        received += data
        messages: list[LinkMessage] = []
        position = 0
        while len(received) - position >= _LENGTH_BYTES:
            start = position + _LENGTH_BYTES
            length = int.from_bytes(received[position:start], "big")
            if length > self._max_bytes:
                raise WireError(f"a message of {length} bytes is too large")
            if len(received) < start + length:
                break
            messages.append(_decode(_DECODER, bytes(received[start : start + length])))
            position = start + length
        if position:
            del received[:position]
        return messages


def encode_member(member: Member) -> bytes:
    """Encodes a member as a record of the store."""
    return msgspec.json.encode(member)


def encode_crash(report: CrashReport) -> bytes:
    """Encodes a crash report as a record of the store."""
    return msgspec.json.encode(report)


_MEMBER = msgspec.json.Decoder(Member)
_CRASH = msgspec.json.Decoder(CrashReport)


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


def _decode(decoder: Any, value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"malformed message: {error}") from error
