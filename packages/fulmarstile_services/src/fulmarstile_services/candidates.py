"""Upstreams of one service, kept ready for the choice of one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fulmarstile_wire.services import Member


class Candidates:
    """Daemons beside the upstreams of one service, by availability zone.

    Built when a member or its reachability changes, so that a choice costs the same however
    many upstreams the service has.

    Args:
        members: Daemons beside the upstreams of the service.
        availability_zone: Availability zone of this daemon.
        is_reachable: Tells whether a daemon answers. Those that don't are not drawn, unless none
            does.
    """

    __slots__ = ("far", "members", "near", "unreachable")

    def __init__(
        self,
        members: tuple[Member, ...],
        availability_zone: str,
        is_reachable: Callable[[str], bool],
    ) -> None:
        reachable = [member for member in members if is_reachable(member.name)] or members
        self.members = members
        """All that this was built from."""
        self.near = [each for each in reachable if each.availability_zone == availability_zone]
        """Those in the availability zone of this daemon."""
        self.far = [each for each in reachable if each.availability_zone != availability_zone]
        """Those in other availability zones."""
        self.unreachable = [member for member in members if not is_reachable(member.name)]
        """Those that don't answer."""

    def draw(self, count: int, least_far: int, rng: random.Random) -> list[Member]:
        """Draws some of them, those of the own availability zone first.

        Args:
            count: How many.
            least_far: How many of them are in other availability zones, if there are as many.
            rng: Source of randomness.

        Returns:
            The members, all if there are no more than wanted.
        """
        near, far = self.near, self.far
        if len(near) + len(far) <= count:
            return near + far
        far_count = min(len(far), max(least_far, count - len(near)))
        return _draw(near, count - far_count, rng) + _draw(far, far_count, rng)


def _draw(members: list[Member], count: int, rng: random.Random) -> list[Member]:
    """Draws at random without repetition; cheap where few of many are drawn."""
    size = len(members)
    if count >= size:
        return members
    chosen: dict[int, None] = {}
    while len(chosen) < count:
        chosen[int(rng.random() * size)] = None
    return [members[index] for index in chosen]
