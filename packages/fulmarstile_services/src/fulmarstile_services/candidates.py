"""Candidate upstreams of one service, grouped by availability zone for fast selection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fulmarstile_wire.services import Member


class Candidates:
    """Daemons beside the upstreams of one service, grouped by availability zone.

    Rebuilt only when a member or its reachability changes, so that the cost of a selection
    doesn't depend on the number of upstreams.

    Args:
        members: Daemons beside the upstreams of the service.
        availability_zone: Availability zone of this daemon.
        is_reachable: Returns whether a daemon answers. Daemons that don't are not sampled unless
            none of them does.
    """

    __slots__ = ("by_zone", "local", "members", "remote", "unreachable")

    def __init__(
        self,
        members: tuple[Member, ...],
        availability_zone: str,
        is_reachable: Callable[[str], bool],
    ) -> None:
        reachable = [member for member in members if is_reachable(member.name)] or members
        self.members = members
        """Members that this was built from."""
        self.local = [
            candidate for candidate in reachable if candidate.availability_zone == availability_zone
        ]
        """Members in the availability zone of this daemon."""
        self.remote = [
            candidate for candidate in reachable if candidate.availability_zone != availability_zone
        ]
        """Members in other availability zones."""
        self.by_zone: dict[str, list[Member]] = {}
        """Reachable members by availability zone; all members if none is reachable."""
        for candidate in reachable:
            self.by_zone.setdefault(candidate.availability_zone, []).append(candidate)
        self.unreachable = [member for member in members if not is_reachable(member.name)]
        """Members that don't answer."""

    def sample(self, count: int, min_remote: int, rng: random.Random) -> list[Member]:
        """Samples members at random, preferring those in the local availability zone.

        Args:
            count: Number of members to sample.
            min_remote: Number of members in other availability zones to include, if there
                are that many.
            rng: Source of randomness.

        Returns:
            The members; all of them if there are at most `count`.
        """
        local, remote = self.local, self.remote
        if len(local) + len(remote) <= count:
            return local + remote
        remote_count = min(len(remote), max(min_remote, count - len(local)))
        local_sample = sample_members(local, count - remote_count, rng)
        return local_sample + sample_members(remote, remote_count, rng)


def sample_members(members: list[Member], count: int, rng: random.Random) -> list[Member]:
    """Samples without replacement; fast if `count` is small compared with the list.

    Args:
        members: The members.
        count: Number of members to sample.
        rng: Source of randomness.

    Returns:
        The sample; the list itself if it has no more members.
    """
    size = len(members)
    if count >= size:
        return members
    chosen: dict[int, None] = {}
    while len(chosen) < count:
        chosen[int(rng.random() * size)] = None
    return [members[index] for index in chosen]
