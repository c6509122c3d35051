"""Encoding of the records of a claim stream."""

from __future__ import annotations

from typing import Final

import msgspec

from fulmarstile_wire.decoding import DECODE_ERRORS
from fulmarstile_wire.records import ClaimRecord, OutcomeRecord

MAX_PAYLOAD_BYTES: Final = 4 << 20
"""Largest payload of a log record that is decoded, in bytes."""


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True, tag="claims1"):
    """Claims and outcomes that one append carries; the outcomes take effect first."""

    outcomes: tuple[OutcomeRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encodes a batch as the payload of a log record."""
    return _encoder.encode(batch)


def decode_batch(payload: bytes) -> ClaimBatch | None:
    """Decodes a batch of claims on idempotency keys; returns None if the payload is not one."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        return None
    try:
        return _decoder.decode(payload)
    except DECODE_ERRORS:
        return None
