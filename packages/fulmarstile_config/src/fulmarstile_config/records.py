"""Records of a customer's configuration stream and their encoding.

A record is one byte, the version of the rules that it is folded by, and a MessagePack body.
"""

from __future__ import annotations

from typing import Final

import msgspec

from fulmarstile_config.errors import ConfigError
from fulmarstile_config.publication import Publication

RULES_VERSION: Final = 1
"""Version of the rules that the records are folded by."""

MAX_RECORD_BYTES: Final = 1 << 20
"""Maximum size of a record of any kind, in bytes."""

STREAM_PREFIX: Final = "config."


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """State of a fold, authenticated with the mesh key.

    A seed is a snapshot that restores the stream on a log that has lost it.
    """

    customer: str
    generation: int
    """Generation of the stream: initially 0, raised by each seed."""
    next_offset: int
    """Offset of the first record that the state does not cover; for a seed, the end of the new
    log when the seed was made."""
    version: int
    sequence: int
    digest: bytes
    is_seed: bool
    """Whether the snapshot begins its generation after the log lost the stream."""
    content: bytes
    """`SnapshotContent` as MessagePack, compressed with Zstandard."""
    mac: bytes
    """HMAC-SHA256 of the snapshot with an empty `mac`, keyed with the mesh key."""


AnyRecord = Publication | SnapshotRecord
"""Every record of a configuration stream."""


class RecordError(ConfigError):
    """A record is malformed or of an unknown rules version."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyRecord)


def stream_name(customer: str) -> str:
    """Returns the name of a customer's configuration stream."""
    return STREAM_PREFIX + customer


def encode_record(record: AnyRecord) -> bytes:
    """Returns the payload of a record."""
    return bytes((RULES_VERSION,)) + _encoder.encode(record)


def decode_record(payload: bytes, max_bytes: int = MAX_RECORD_BYTES) -> AnyRecord:
    """Decodes the payload of a record.

    Args:
        payload: The payload.
        max_bytes: Largest payload accepted, in bytes.

    Returns:
        The record.

    Raises:
        RecordError: If the payload is oversize, malformed or of an unknown rules version.
    """
    if len(payload) > max_bytes:
        raise RecordError(f"record of {len(payload)} bytes is out of bounds")
    if not payload or payload[0] != RULES_VERSION:
        raise RecordError("record is empty or follows unknown rules")
    try:
        return _decoder.decode(memoryview(payload)[1:])
    except (msgspec.DecodeError, RecursionError, ValueError, OverflowError) as error:
        raise RecordError(f"malformed record: {error}") from None


def is_snapshot(payload: bytes) -> bool:
    """Returns whether a record is a snapshot, without authenticating it."""
    try:
        return isinstance(decode_record(payload), SnapshotRecord)
    except RecordError:
        return False
