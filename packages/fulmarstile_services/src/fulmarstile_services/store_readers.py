"""Which daemons read the records of members for their availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_services.directory import Directory

READERS_PER_ZONE: Final = 3
"""Daemons of an availability zone that read, if there are as many."""
SMALL_FLEET_SIZE: Final = 30
"""Members up to which all daemons read."""


def is_reader(directory: Directory, is_reachable: Callable[[str], bool]) -> bool:
    """Tells whether this daemon is to follow the store's records of members.

    In a large fleet a few daemons of each availability zone do; the others hear of changes by
    the exchange of state between daemons. So the calls that a change costs don't grow with the
    fleet. The choice needs no agreement: while daemons know different members, more of them
    read, or one that has just stopped still counts until its record or a failed exchange says
    so.

    Args:
        directory: All daemons known.
        is_reachable: Tells whether a daemon answered lately.
    """
    local_member = directory.local_member
    live = [member for member in directory.members if member.phase is not MemberPhase.STOPPED]
    if len(live) <= SMALL_FLEET_SIZE:
        return True
    local_rank = _rank(local_member.name)
    before = [
        member
        for member in live
        if member.availability_zone == local_member.availability_zone
        and _rank(member.name) < local_rank
        and is_reachable(member.name)
    ]
    return len(before) < READERS_PER_ZONE


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
