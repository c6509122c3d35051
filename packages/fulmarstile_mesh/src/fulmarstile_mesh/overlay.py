"""Bounded-degree overlay between members.

Members are ordered on several rings by a hash of their id: some rings run through one
availability zone, others through the whole fleet. Ring neighbours are peers. The relation is
symmetric, its degree does not grow with the fleet, and one death changes two links per ring.
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
def compute_weight(daemon_id: str, purpose: str) -> int:
    """Returns the rendezvous weight of a daemon for a purpose; the highest one is chosen."""
    return xxhash.xxh64_intdigest(f"{purpose}\0{daemon_id}".encode())


def rank_candidates(candidates: Iterable[MemberRecord], purpose: str) -> list[MemberRecord]:
    """Orders members by rendezvous weight.

    Args:
        candidates: Members to choose from.
        purpose: Name of the duty; every duty gives another order.

    Returns:
        The members, first choice first.
    """
    return sorted(
        candidates,
        key=lambda record: (compute_weight(record.daemon_id, purpose), record.daemon_id),
        reverse=True,
    )


def choose_ring_neighbours(
    daemon_id: str, members: Iterable[MemberRecord], seed: int
) -> list[MemberRecord]:
    """Returns the predecessor and the successor of a daemon on one ring.

    Args:
        daemon_id: Daemon whose neighbours are wanted; it need not be a member yet.
        members: Members on the ring.
        seed: Number of the ring.

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
    own: MemberRecord, members: Iterable[MemberRecord], zone_rings: int, global_rings: int
) -> tuple[MemberRecord, ...]:
    """Returns the peers of a daemon.

    Args:
        own: Record of the local daemon.
        members: Running members.
        zone_rings: Rings through the availability zone of the daemon.
        global_rings: Rings through all members.

    Returns:
        At most `2 * (zone_rings + global_rings)` members, ordered by `daemon_id`.
    """
    everyone = list(members)
    zone = [record for record in everyone if record.availability_zone == own.availability_zone]
    chosen: dict[str, MemberRecord] = {}
    for ring in range(zone_rings):
        for record in choose_ring_neighbours(own.daemon_id, zone, ring):
            chosen[record.daemon_id] = record
    for ring in range(global_rings):
        for record in choose_ring_neighbours(own.daemon_id, everyone, zone_rings + ring):
            chosen[record.daemon_id] = record
    return tuple(chosen[daemon_id] for daemon_id in sorted(chosen))
