"""The log stream through which daemons discover each other, and its encoding."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_wire.decoding import DECODE_ERRORS
from fulmarstile_wire.records import MemberRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

RENDEZVOUS_STREAM: Final = "rendezvous"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRecord)


def encode_rendezvous(record: MemberRecord) -> bytes:
    """Encodes a member record for the rendezvous stream."""
    return _encoder.encode(record)


def decode_rendezvous(payloads: Iterable[bytes]) -> list[MemberRecord]:
    """Decodes records of the rendezvous stream and skips malformed ones.

    Args:
        payloads: Payloads of the log records.

    Returns:
        The member records, in stream order.
    """
    records = []
    for payload in payloads:
        try:
            records.append(_decoder.decode(payload))
        except DECODE_ERRORS:
            continue
    return records
