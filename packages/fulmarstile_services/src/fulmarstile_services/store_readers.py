"""Choice of the daemons that read member records from the store for their availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member

READERS_PER_ZONE: Final = 3
"""Number of daemons of an availability zone that read the store, if it has that many."""
SMALL_FLEET_SIZE: Final = 30
"""Number of members up to which all daemons read the store."""


def is_reader(directory: Directory, is_reachable: Callable[[str], bool]) -> bool:
    """Returns whether this daemon should follow the member records in the store.

    In a large fleet only a few daemons of each availability zone follow them; the others learn
    of changes by gossip. So the number of store reads that a change causes doesn't grow with the
    fleet. The readers are the reachable daemons whose names have the lowest hashes. Each daemon
    decides by itself: while daemons know different members, more of them may read, and one that
    has just stopped still counts as a reader until its record or a failed exchange shows it.

    Args:
        directory: All known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.
    """
    readers = list_readers(directory, is_reachable)
    return not readers or directory.local_member.name in {member.name for member in readers}


def list_readers(directory: Directory, is_reachable: Callable[[str], bool]) -> tuple[Member, ...]:
    """Lists the daemons that read the store for the availability zone of this one.

    Args:
        directory: All known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.

    Returns:
        The daemons; none if all daemons read the store.
    """
    local_member = directory.local_member
    if len(_list_live(directory)) <= SMALL_FLEET_SIZE:
        return ()
    usable = _list_usable(directory, is_reachable, local_member.availability_zone)
    usable.sort(key=lambda member: _hash_name(member.name))
    return tuple(usable[:READERS_PER_ZONE])


def list_document_readers(
    directory: Directory, is_reachable: Callable[[str], bool], zone: str = ""
) -> tuple[Member, ...]:
    """Lists the daemons that read the operator's document from the store for others of their zone.

    A document is large and every version of it is read as a whole, so the daemons with the fastest
    links read it, and in a fleet of any size only a few.

    Args:
        directory: All known daemons.
        is_reachable: Returns whether a daemon answered the last attempt to reach it.
        zone: Availability zone; empty for that of this daemon.

    Returns:
        The daemons, among them this one if no others are usable.
    """
    zone = zone or directory.local_member.availability_zone
    usable = _list_usable(directory, is_reachable, zone)
    usable.sort(key=lambda member: (-member.link_kbps, _hash_name(member.name)))
    return tuple(usable[:READERS_PER_ZONE])


def _list_live(directory: Directory) -> list[Member]:
    return [member for member in directory.members if member.phase is not MemberPhase.STOPPED]


def _list_usable(
    directory: Directory, is_reachable: Callable[[str], bool], zone: str
) -> list[Member]:
    """Lists the daemons of a zone that run and are reachable, among them always this one."""
    local_name = directory.local_member.name
    return [
        member
        for member in _list_live(directory)
        if member.availability_zone == zone
        and (member.name == local_name or is_reachable(member.name))
    ]


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
