"""Bounded-degree overlay network between members.

Members are placed on several rings, ordered by a hash of their id. Some rings cover one
availability zone, others the whole fleet. Neighbours on a ring are peers. The peer relation is
symmetric, its degree does not grow with the fleet, and a death affects two links per ring.
"""

from __future__ import annotations

import bisect
from functools import lru_cache
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_wire.records import MemberRecord

_HASH_CACHE_SIZE: Final = 16_384


@lru_cache(maxsize=_HASH_CACHE_SIZE)
def _ring_key(daemon_id: str, seed: int) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(daemon_id.encode(), seed=seed), daemon_id


@lru_cache(maxsize=_HASH_CACHE_SIZE)
def compute_rendezvous_weight(daemon_id: str, purpose: str) -> int:
    """Returns the rendezvous-hashing weight of a daemon for a purpose; the highest weight wins."""
    return xxhash.xxh64_intdigest(f"{purpose}\0{daemon_id}".encode())


def rank_candidates(candidates: Iterable[MemberRecord], purpose: str) -> list[MemberRecord]:
    """Orders members by rendezvous hashing.

    Args:
        candidates: Members to choose from.
        purpose: Name of the task to assign; each task gives an independent order.

    Returns:
        The members in descending order of weight; the first one is the preferred member.
    """
    return sorted(
        candidates,
        key=lambda record: (compute_rendezvous_weight(record.daemon_id, purpose), record.daemon_id),
        reverse=True,
    )


def choose_ring_neighbours(
    daemon_id: str, members: Iterable[MemberRecord], seed: int
) -> list[MemberRecord]:
    """Returns the predecessor and the successor of a daemon on one ring.

    Args:
        daemon_id: Daemon whose neighbours are returned; it need not be a member yet.
        members: Members on the ring.
        seed: Index of the ring, used as the hash seed.

    Returns:
        At most two members, never the daemon itself.
    """
    others = [record for record in members if record.daemon_id != daemon_id]
    if len(others) <= 2:
        return others
    ring = sorted(others, key=lambda record: _ring_key(record.daemon_id, seed))
    keys = [_ring_key(record.daemon_id, seed) for record in ring]
    position = bisect.bisect(keys, _ring_key(daemon_id, seed))
    return [ring[position - 1], ring[position % len(ring)]]


def choose_peers(
    local_record: MemberRecord, members: Iterable[MemberRecord], zone_rings: int, global_rings: int
) -> tuple[MemberRecord, ...]:
    """Returns the peers of the local daemon.

    Args:
        local_record: Record of the local daemon.
        members: Running members.
        zone_rings: Number of rings within the availability zone of the local daemon.
        global_rings: Number of rings over all members.

    Returns:
        At most `2 * (zone_rings + global_rings)` members, ordered by `daemon_id`.
    """
    all_members = list(members)
    zone_members = [
        record
        for record in all_members
        if record.availability_zone == local_record.availability_zone
    ]
    chosen: dict[str, MemberRecord] = {}
    for ring in range(zone_rings):
        for record in choose_ring_neighbours(local_record.daemon_id, zone_members, ring):
            chosen[record.daemon_id] = record
    for ring in range(global_rings):
        for record in choose_ring_neighbours(
            local_record.daemon_id, all_members, zone_rings + ring
        ):
            chosen[record.daemon_id] = record
    return tuple(chosen[daemon_id] for daemon_id in sorted(chosen))
