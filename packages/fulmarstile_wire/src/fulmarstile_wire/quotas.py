"""Messages by which daemons obtain their part of customers' quotas."""

from __future__ import annotations

from typing import Annotated, Any, Final

import msgspec

from fulmarstile_wire.decoding import DECODE_ERRORS, MAX_RECORDED_NUMBER, Number
from fulmarstile_wire.errors import WireError

MAX_COUNT: Final = 1_000_000_000
"""Largest number of tokens in one field of a message."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class QuotaShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of a customer's quota that a daemon may use while it hears from no owner."""

    rate: Count = 0
    """Thousandths of a request per second."""
    burst: Count = 0
    """Requests that it may accept at once."""


NO_SHARE: Final = QuotaShare()
"""Share of a daemon to which none was assigned."""


class QuotaDemand(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one customer's quota that a daemon holds and needs."""

    customer: str
    wanted: Count = 0
    """Tokens that it can use before its next request."""
    urgent: Count = 0
    """Those among them for which requests are waiting."""
    held: Count = 0
    """Tokens that it keeps, including those of requests that may still be refused."""
    returned: Count = 0
    """Tokens that it gives back."""
    pace: Count = 0
    """Recent demand, in tenths of a request per second."""
    share: QuotaShare = NO_SHARE
    """Share that it holds."""
    mean_pace: Count = 0
    """Mean demand over some seconds, in tenths of a request per second."""


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Asks the owner of a shard for tokens and renews the lease of those held.

    A daemon sends one request at a time for each shard. What a request doesn't mention hasn't
    changed since the last one that was answered.
    """

    sender: str
    incarnation: Number
    """Start of the sending daemon, see `Member.incarnation`."""
    shard: Number
    epoch: Number
    """Epoch of the ownership under which the tokens were granted; 0 for none."""
    number: Number
    """Increases with each request of an incarnation for a shard."""
    answered: Number
    """Number of the last request whose reply arrived in time; 0 for none."""
    demands: tuple[QuotaDemand, ...] = ()


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one customer's quota."""

    customer: str
    tokens: Count = 0
    retry_after_ms: Count = 0
    """Time until more tokens are expected, in milliseconds; 0 if all wanted ones are granted."""
    share: QuotaShare = NO_SHARE
    """Replaces the share that the daemon holds."""


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Answers a `QuotaRequest`."""

    is_owner: bool
    """Whether the replying daemon owns the shard; otherwise it grants nothing."""
    owner: str = ""
    """Owner as far as the replying daemon knows; empty if it doesn't."""
    epoch: Number = 0
    """Epoch of the ownership."""
    grants: tuple[QuotaGrant, ...] = ()


class OwnerRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of the store by which a daemon owns a shard."""

    owner: str
    epoch: Number
    """Increases with each acquisition; renewals keep it."""
    is_released: bool = False
    """Whether the owner has given up the shard and grants nothing any more."""
    lists_holders: bool = False
    """Whether the newest `HoldersRecord`, or none, names all processes that may hold shares."""
    incarnation: Number = 0
    """Start of the owner's process, see `Member.incarnation`; 0 if it is not known."""


class ShareHolder(msgspec.Struct, frozen=True, array_like=True):
    """Process of a daemon that may hold shares of a shard."""

    name: str
    incarnation: Number
    """Start of the process, see `Member.incarnation`."""
    shares: dict[str, QuotaShare]
    """Upper bounds of its shares, by customer."""
    valid_ms: Number = 0
    """Time for which they are valid from the writing of the list on, in milliseconds.

    0 for a process whose shares the owner may extend without listing it again.
    """


class HoldersRecord(msgspec.Struct, frozen=True):
    """Record of the store that lists the processes that may hold shares of a shard."""

    holders_epoch: Number
    """Epoch of the owner that wrote it."""
    holders: tuple[ShareHolder, ...]


_OWNER_DECODER: Any = msgspec.json.Decoder(OwnerRecord)
_HOLDERS_DECODER: Any = msgspec.json.Decoder(HoldersRecord)


def encode_owner(record: OwnerRecord) -> bytes:
    """Encodes an ownership as a record of the store."""
    return msgspec.json.encode(record)


def decode_owner(value: bytes) -> OwnerRecord:
    """Decodes the record of an ownership.

    Raises:
        WireError: If it is malformed, or its epoch can't be followed by another one.
    """
    try:
        record: OwnerRecord = _OWNER_DECODER.decode(value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed ownership: {error}") from error
    if record.epoch > MAX_RECORDED_NUMBER:
        raise WireError(f"malformed ownership: epoch {record.epoch} is too large")
    return record


def encode_holders(record: HoldersRecord) -> bytes:
    """Encodes a list of share holders as a record of the store."""
    return msgspec.json.encode(record)


def decode_holders(value: bytes) -> HoldersRecord:
    """Decodes a list of share holders.

    Raises:
        WireError: If it is malformed.
    """
    try:
        return _HOLDERS_DECODER.decode(value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed list of share holders: {error}") from error
