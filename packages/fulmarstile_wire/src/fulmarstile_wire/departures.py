"""The record of an upstream's departure, which holds for an incarnation and all before it."""

from __future__ import annotations

import msgspec
import xxhash

from fulmarstile_wire.decoding import DECODE_ERRORS, MAX_RECORDED_NUMBER, Number
from fulmarstile_wire.errors import WireError


class UpstreamDeparture(msgspec.Struct, frozen=True, array_like=True):
    """Says that an upstream has left, for good.

    It holds for the incarnation named and for all earlier ones with the same id on the same VM. A
    later one is not affected. Departures are never taken back, so they may be merged in any order.
    """

    member: str
    """Name of the daemon on the upstream's VM."""
    upstream_id: str
    upstream_born_ms: Number
    """Start time of the latest incarnation that has left, in milliseconds since the epoch."""

    @property
    def key(self) -> str:
        """Hash that identifies the departure in the store; no other one overwrites it."""
        text = "\0".join((self.member, self.upstream_id, str(self.upstream_born_ms)))
        return xxhash.xxh3_64_hexdigest(text.encode())


_DECODER = msgspec.json.Decoder(UpstreamDeparture)


def encode_departure(departure: UpstreamDeparture) -> bytes:
    """Encodes a departure as a record of the store."""
    return msgspec.json.encode(departure)


def decode_departure(value: bytes) -> UpstreamDeparture:
    """Decodes the record of a departure.

    Raises:
        WireError: If it is malformed.
    """
    try:
        departure = _DECODER.decode(value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed message: {error}") from error
    if departure.upstream_born_ms > MAX_RECORDED_NUMBER:
        raise WireError(f"malformed message: {departure.upstream_born_ms} is no start time")
    return departure
