"""Messages between daemons that forward calls between services and exchange state.

Each message is MessagePack with a length prefix of four bytes. Concurrent calls share a
connection; answers arrive in any order and carry the identifier of their call.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final, get_args

import msgspec

from fulmarstile_wire.decoding import (
    DECODE_ERRORS,
    MAX_RECORDED_NUMBER,
    is_socket_address,
)
from fulmarstile_wire.departures import UpstreamDeparture
from fulmarstile_wire.documents import DocumentReply, DocumentRequest
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.loads import LoadReply, LoadRequest
from fulmarstile_wire.members import CrashReport, Member, MemberPhase, UpstreamNotice
from fulmarstile_wire.quotas import QuotaReply, QuotaRequest
from fulmarstile_wire.rollouts import RolloutReply, RolloutReport
from fulmarstile_wire.unknown_kinds import find_unknown_kind
from fulmarstile_wire.verdict import Verdict

PROTOCOL_VERSION: Final = 2
"""Version of this protocol, announced in `Hello`."""
MAX_FRAME_BYTES: Final = 96 * 1024 * 1024
"""Largest message, in bytes."""
_LENGTH_BYTES: Final = 4

HeaderPair = tuple[bytes, bytes]
"""Name of a header in lower case, and its value."""


class HopRequest(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Metadata of a forwarded request for the daemon beside the upstream."""

    service: str
    upstream_id: str
    caller_service: str
    priority: int
    remaining_ms: int
    """Time until the caller needs the answer, in milliseconds."""
    max_slot_wait_ms: int
    """Longest time for which waiting for a slot is useful, in milliseconds."""
    idempotent: bool
    target_ms: int
    """Target latency of the route, within which an answer has its full value, in milliseconds."""
    fingerprint: bytes = b""
    notice: UpstreamNotice | None = None
    """What the sender knows the upstream to have said about itself."""
    customer: str = ""
    """Name of the customer that sent the request; empty if it needs none."""
    route: str = ""
    """Host and path prefix of the route; empty unless the service has a roll-out."""
    sender_ends_in_ms: int = 0
    """Time until the sender may break the request off, in milliseconds; 0 if it isn't stopping."""


class HopOutcome(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """Outcome of a forwarded request, reported by the daemon beside the upstream."""

    verdict: Verdict
    reason: str = ""
    """Why there is no answer; empty if there is one."""
    retry_after_ms: int = 0
    reached_upstream: bool = False
    running: int = 0
    queued: int = 0
    slots: int = 0
    service_ms: float = 0.0
    """Recent mean service time of the upstream for all priorities, in milliseconds."""
    phase: MemberPhase = MemberPhase.SERVING
    spent_ms: float = 0.0
    """Time from the arrival of the complete request to its end, in milliseconds."""
    body_wait_ms: float = 0.0
    """Expected wait of a large body offered now until it may be sent, in milliseconds."""
    class_service_ms: float = 0.0
    """Like `service_ms`, but only for requests of the same priority as this one."""
    notice: UpstreamNotice | None = None
    """What the upstream has said about itself."""
    slowdown: float = 0.0
    """Factor by which the upstream's VM slows requests at the moment; 0 if it isn't reported."""


class SyncRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """State that a daemon offers to another one."""

    sender: str
    digest: bytes
    """Hash of all members and crash reports known."""
    document_version: int = -1
    """Version of the operator's document; -1 for none."""
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    is_probe: bool = False
    """Whether this only checks that the other daemon is reachable; the reply has no state."""
    wanted: frozenset[int] = frozenset()
    """Numbers of the buckets whose members and crash reports the reply should contain."""
    departures: tuple[UpstreamDeparture, ...] = ()
    """Those that belong to `members`, and always those beside the receiver."""


class SyncReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of the replying daemon that the requesting one lacks."""

    sender: str
    digest: bytes
    document_version: int = -1
    members: tuple[Member, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    bucket_digests: bytes = b""
    """Hashes of the buckets of members and crash reports; empty if the digests are equal."""
    document_age_ms: int = -1
    """Time since the sender's version was known to be the newest, in milliseconds; -1 if unknown.

    Only a reply has it: its receiver knows that it was made after the request was sent, while
    nothing tells how long a request was under way.
    """
    departures: tuple[UpstreamDeparture, ...] = ()
    """Those that belong to the buckets wanted, and those beside a receiver that lacks anything."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First message on a connection, sent by the daemon that opened it."""

    version: int
    sender: str
    reads_go_away: bool = False
    """Whether the sender knows the message `GoAway`."""


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
    """Answer to a forwarded request; status, headers and body are those of the upstream."""

    call_id: int
    outcome: HopOutcome
    status: int = 0
    """HTTP status; 0 if there is no answer."""
    headers: list[HeaderPair] = []
    body: bytes = b""


class HopCancel(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Cancels a call whose answer is no longer needed."""

    call_id: int


class SyncCall(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An offer of state, answered with `SyncAnswer`."""

    call_id: int
    request: SyncRequest


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Answers a `SyncCall`."""

    call_id: int
    reply: SyncReply


class BodyOffer(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Announces a forwarded request with a large body, which is sent once it is granted."""

    call_id: int
    size: int
    """Bytes of the body."""
    wait_ms: int
    """Longest time for which waiting for the grant is useful, in milliseconds."""


class BodyGrant(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Permits the sender of a `BodyOffer` to send the body."""

    call_id: int


class HopWithdraw(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks to refuse a call unless its upstream has received it; it is answered either way."""

    call_id: int


class GoAway(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Last message of a daemon that ends; calls without an answer so far will never run."""


PeerRequest = RolloutReport | QuotaRequest | LoadRequest | DocumentRequest
"""Every request that a daemon makes to another one with a `PeerCall`."""
PeerReply = RolloutReply | QuotaReply | LoadReply | DocumentReply
"""Every reply to a `PeerRequest`."""


class PeerCall(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """A request of a daemon on its own behalf, answered with `PeerAnswer`."""

    call_id: int
    request: PeerRequest


class PeerAnswer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answers a `PeerCall`."""

    call_id: int
    reply: PeerReply


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
    | PeerCall
    | PeerAnswer
    | GoAway
)
"""Every message that daemons send to each other."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[LinkMessage] = msgspec.msgpack.Decoder(LinkMessage)
_CALL_ID_DECODER: msgspec.msgpack.Decoder[int] = msgspec.msgpack.Decoder(int)


def encode_frame(message: LinkMessage) -> bytes:
    """Encodes a message with its length prefix."""
    body = _ENCODER.encode(message)
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


def encode_large_call(call: HopCall) -> tuple[bytes, bytes]:
    """Encodes a forwarded request without a copy of its body, which must exceed 64 KiB.

    Args:
        call: The request.

    Returns:
        The beginning of the frame, and the body behind it.
    """
    empty = _ENCODER.encode(msgspec.structs.replace(call, body=b""))
    head = empty.removesuffix(_EMPTY_BODY) + _LARGE_BODY + len(call.body).to_bytes(4, "big")
    return (len(head) + len(call.body)).to_bytes(_LENGTH_BYTES, "big") + head, call.body


_EMPTY_BODY: Final = b"\xc4\x00"
"""Empty bytes in MessagePack."""
_LARGE_BODY: Final = b"\xc6"
"""First byte of bytes in MessagePack whose length takes four bytes, which follow."""
_COPIED_BYTES: Final = 64 * 1024
"""Longest message that is copied before it is decoded, in bytes."""
_MESSAGE_TYPES: Final = {kind.__struct_config__.tag: kind for kind in get_args(LinkMessage)}
_READABLE_TAGS: Final = frozenset(
    tag
    for tag, kind in _MESSAGE_TYPES.items()
    if kind not in (SyncCall, SyncAnswer, PeerCall, PeerAnswer)
)
"""Tags of the messages that have to be readable; a newer daemon extends the content of others."""
_CALL_ID_OFFSET: Final = 2
"""Position of the identifier in a message with a call: it follows the length and the tag."""
_SHORT_ARRAYS: Final = range(0x90, 0xA0)
"""First bytes of MessagePack arrays of up to 15 fields, which all messages are."""
_CALL_TAG: Final = HopCall.__struct_config__.tag
_UNKNOWN_TAGS: Final = frozenset(range(0x80)) - _MESSAGE_TYPES.keys()
"""Tags of one byte that only a newer daemon knows."""
_HEAD_BYTES: Final = 11
"""Longest beginning of a message that says which call it belongs to."""
_INTEGER_BYTES: Final = {0xCC: 2, 0xCD: 3, 0xCE: 5, 0xCF: 9}
"""Encoded sizes of MessagePack integers that take more than one byte, by their first byte."""


@dataclass(frozen=True, slots=True)
class DroppedMessage:
    """A message that was dropped before it was complete."""

    kind: type[LinkMessage]
    call_id: int


@dataclass(frozen=True, slots=True)
class UnknownMessage:
    """A well-formed message of a kind, or with content, that only a newer daemon can read."""

    tag: int


ReceivedMessage = LinkMessage | DroppedMessage | UnknownMessage
"""Everything that a daemon may receive from another one."""


class FrameDecoder:
    """Splits a stream of bytes into messages.

    Args:
        max_bytes: Largest message, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._received = bytearray()
        self._dropped_head: bytes | None = None
        """Beginning of the message that is being dropped; None if there is no such message."""
        self._dropped_left = 0
        """Bytes of the message that is being dropped that have not arrived."""

    @property
    def pending_bytes(self) -> int:
        """Number of bytes received of an incomplete message."""
        return len(self._received)

    @property
    def pending_length(self) -> int:
        """Length of the incomplete message without its prefix; 0 if not known."""
        if len(self._received) < _LENGTH_BYTES:
            return 0
        return int.from_bytes(self._received[:_LENGTH_BYTES], "big")

    @property
    def is_call_pending(self) -> bool:
        """Whether the incomplete message is known to be a forwarded request."""
        return self.is_kind_known and self._received[_LENGTH_BYTES + 1] == _CALL_TAG

    @property
    def is_kind_known(self) -> bool:
        """Whether enough of the incomplete message has arrived to know its kind."""
        return len(self._received) > _LENGTH_BYTES + 1

    @property
    def pending_answer(self) -> int | None:
        """Call that the incomplete message answers; None if it is another message or unknown."""
        head = bytes(self._received[_LENGTH_BYTES : _LENGTH_BYTES + _HEAD_BYTES])
        try:
            message = _identify_dropped(head)
        except WireError:
            return None
        is_answer = isinstance(message, DroppedMessage) and message.kind is HopAnswer
        return message.call_id if is_answer else None

    def clear(self) -> None:
        """Drops the bytes of an incomplete message."""
        self._received = bytearray()

    def drop_pending(self) -> None:
        """Drops the incomplete message: its bytes, and those that are still to arrive.

        The length of the message must be known. It is reported by `feed` in place of the message.
        """
        length = self.pending_length
        body = self._received[_LENGTH_BYTES:]
        self._dropped_head = bytes(body[:_HEAD_BYTES])
        self._dropped_left = length - len(body)
        self.clear()

    def feed(self, data: bytes) -> list[ReceivedMessage]:
        """Decodes received bytes.

        Args:
            data: Received bytes.

        Returns:
            The messages completed by these bytes, and a dropped message once all of it arrived.

        Raises:
            WireError: If a message is malformed or oversize; the connection must be closed.
        """
        messages: list[ReceivedMessage] = []
        if self._dropped_head is not None:
            data = self._discard(data, messages)
        received = self._received
        received += data
        position = 0
        while len(received) - position >= _LENGTH_BYTES:
            start = position + _LENGTH_BYTES
            length = int.from_bytes(received[position:start], "big")
            if length > self._max_bytes:
                raise WireError(f"a message of {length} bytes is too large")
            if len(received) < start + length:
                break
            messages.append(_decode_part(received, start, start + length))
            position = start + length
        if position:
            del received[:position]
        return messages

    def _discard(self, data: bytes, messages: list[ReceivedMessage]) -> bytes:
        """Discards bytes of the message that is being dropped, and returns those behind it."""
        head = self._dropped_head or b""
        part, rest = data[: self._dropped_left], data[self._dropped_left :]
        self._dropped_left -= len(part)
        self._dropped_head = head + part[: _HEAD_BYTES - len(head)]
        if not self._dropped_left:
            messages.append(_identify_dropped(self._dropped_head))
            self._dropped_head = None
        return rest


def _decode_part(received: bytearray, start: int, end: int) -> LinkMessage | UnknownMessage:
    if end - start <= _COPIED_BYTES:
        return _decode_message(bytes(received[start:end]))
    with memoryview(received) as view, view[start:end] as part:
        return _decode_message(part)


def _decode_message(body: bytes | memoryview) -> LinkMessage | UnknownMessage:
    try:
        return _DECODER.decode(body)
    except DECODE_ERRORS as error:
        tag = find_unknown_kind(bytes(body), _READABLE_TAGS)
        if tag is None:
            raise WireError(f"malformed message: {error}") from error
        return UnknownMessage(tag)


def _identify_dropped(head: bytes) -> DroppedMessage | UnknownMessage:
    """Reads the kind of a message and its call from its first bytes."""
    fields = head[_CALL_ID_OFFSET:]
    if fields and head[0] in _SHORT_ARRAYS and head[1] in _UNKNOWN_TAGS:
        return UnknownMessage(head[1])
    kind = _MESSAGE_TYPES.get(head[1]) if fields else None
    if kind is None or "call_id" not in kind.__struct_fields__:
        raise WireError("malformed message: it belongs to no call")
    call_id = _decode(_CALL_ID_DECODER, fields[: _INTEGER_BYTES.get(fields[0], 1)])
    return DroppedMessage(kind, call_id)


def encode_member(member: Member) -> bytes:
    """Encodes a member as a record of the store."""
    return msgspec.json.encode(member)


def encode_crash(report: CrashReport) -> bytes:
    """Encodes a crash report as a record of the store."""
    return msgspec.json.encode(report)


_MEMBER_DECODER = msgspec.json.Decoder(Member)
_CRASH_DECODER = msgspec.json.Decoder(CrashReport)


def decode_member(value: bytes) -> Member:
    """Decodes a member's record.

    Raises:
        WireError: If it is malformed, or names an address or a number that can't be used.
    """
    member: Member = _decode(_MEMBER_DECODER, value)
    if not is_socket_address(member.address):
        raise WireError(f"malformed message: {member.address[:80]!r} is no address")
    if member.incarnation > MAX_RECORDED_NUMBER:
        raise WireError(f"malformed message: incarnation {member.incarnation} is too large")
    return member


def decode_crash(value: bytes) -> CrashReport:
    """Decodes the record of a crash report.

    Raises:
        WireError: If it is malformed.
    """
    return _decode(_CRASH_DECODER, value)


def _decode(decoder: Any, value: bytes) -> Any:
    try:
        return decoder.decode(value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed message: {error}") from error
