"""Upstreams that have left, as known to this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_wire.departures import UpstreamDeparture

if TYPE_CHECKING:
    from fulmarstile_wire.services import Member

MAX_DEPARTURES_PER_MEMBER: Final = 8
"""Maximum number of upstreams of a VM whose departure is kept; those born last are kept."""


class Departures:
    """Merges departures; the result doesn't depend on their order or number of copies."""

    def __init__(self) -> None:
        self._by_member: dict[str, tuple[UpstreamDeparture, ...]] = {}

    def of(self, member_name: str) -> tuple[UpstreamDeparture, ...]:
        """Returns the departures of the upstreams beside a daemon, the earliest born first."""
        return self._by_member.get(member_name, ())

    def has_left(self, member: Member) -> bool:
        """Returns whether the upstream that a record names has left, whatever the record says."""
        return any(
            departure.upstream_id == member.upstream_id
            and departure.upstream_born_ms >= member.upstream_born_ms
            for departure in self._by_member.get(member.name, ())
        )

    def merge(self, departure: UpstreamDeparture) -> bool:
        """Merges a departure.

        Args:
            departure: Departure from any source, old or new.

        Returns:
            Whether more is known than before.
        """
        known = self.of(departure.member)
        born_by_id = {other.upstream_id: other.upstream_born_ms for other in known}
        if born_by_id.get(departure.upstream_id, -1) >= departure.upstream_born_ms:
            return False
        born_by_id[departure.upstream_id] = departure.upstream_born_ms
        latest = sorted((born_ms, upstream_id) for upstream_id, born_ms in born_by_id.items())
        merged = tuple(
            UpstreamDeparture(departure.member, upstream_id, born_ms)
            for born_ms, upstream_id in latest[-MAX_DEPARTURES_PER_MEMBER:]
        )
        self._by_member[departure.member] = merged
        return merged != known


def hash_departures(departures: tuple[UpstreamDeparture, ...]) -> int:
    """Hashes the departures of one VM.

    Returns:
        A number of 64 bits; 0 if there are none.
    """
    if not departures:
        return 0
    key = "\0".join(f"{each.upstream_born_ms} {each.upstream_id}" for each in departures)
    return xxhash.xxh3_64_intdigest(f"{departures[0].member}\0{key}".encode())
