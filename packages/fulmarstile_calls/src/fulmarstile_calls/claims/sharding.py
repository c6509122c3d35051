"""Assignment of keys to shards, and of shards to daemons by rendezvous hashing."""

from __future__ import annotations

import functools
import heapq
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

RANKED_BATCHERS: Final = 8
"""Number of members that are tried in turn as batchers of a shard."""

_CACHED_SCORES: Final = 16_384


def shard_of(customer: str, key: str, shards: int) -> int:
    """Returns the shard of a customer's key, from 0."""
    return xxhash.xxh64_intdigest(f"{customer}\n{key}".encode()) % shards


def stream_of(shard: int) -> str:
    """Returns the name of a shard's stream in the log."""
    return f"claims.{shard}"


def rank_batchers(shard: int, members: Iterable[str], count: int = RANKED_BATCHERS) -> list[str]:
    """Returns the members that batch a shard, in the order in which they are tried.

    Args:
        shard: Number of the shard.
        members: Names of all members.
        count: Most members to return.
    """
    return [name for _, name in heapq.nsmallest(count, _scores(shard, members))]


def batcher_for(shard: int, members: Iterable[str]) -> str | None:
    """Returns the member that batches the claims of a shard, or None without members."""
    return min(_scores(shard, members), default=(0, None))[1]


def _scores(shard: int, members: Iterable[str]) -> list[tuple[int, str]]:
    return [(_score(shard, member), member) for member in members]


@functools.lru_cache(maxsize=_CACHED_SCORES)
def _score(shard: int, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{shard}\n{member}".encode())
