"""Which shard a key belongs to, and which daemons batch the claims of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def shard_of(customer: str, key: str, shards: int) -> int:
    """Returns the shard of a customer's key, from 0."""
    return xxhash.xxh64_intdigest(f"{customer}\n{key}".encode()) % shards


def stream_of(shard: int) -> str:
    """Returns the name of a shard's stream in the log."""
    return f"claims.{shard}"


def rank_batchers(shard: int, members: Iterable[str]) -> list[str]:
    """Returns all members in the order in which they are asked to batch a shard."""
    return sorted(members, key=lambda member: (_score(shard, member), member))


def batcher_for(shard: int, members: Iterable[str]) -> str | None:
    """Returns the member that batches the claims of a shard, or None without members."""
    return min(members, key=lambda member: (_score(shard, member), member), default=None)


def _score(shard: int, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{shard}\n{member}".encode())
