"""Messages by which daemons obtain their part of customers' quotas."""

from __future__ import annotations

import msgspec


class QuotaDemand(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one customer's quota that a daemon needs."""

    customer: str
    wanted: float
    """Number of tokens that it can use before the grant expires."""
    returned: float = 0.0
    """Tokens of earlier grants that it no longer needs and has not used."""


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Asks the owner of a shard for tokens; also shows the owner that the daemon is alive."""

    sender: str
    shard: int
    demands: tuple[QuotaDemand, ...] = ()


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one customer's quota."""

    customer: str
    tokens: float
    retry_after_ms: int = 0
    """Time until more tokens are expected, in milliseconds; 0 if all wanted ones are granted."""


class QuotaReply(msgspec.Struct, frozen=True, array_like=True, tag="quota"):
    """Answers a `QuotaRequest`."""

    is_owner: bool
    """Whether the replying daemon owns the shard; otherwise it grants nothing."""
    grants: tuple[QuotaGrant, ...] = ()
