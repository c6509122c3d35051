"""Which daemons evaluate a roll-out."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Final

import xxhash

from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_wire.services import Member

EVALUATORS: Final = 3
"""Number of daemons that evaluate a roll-out."""


def rank_all(order: RolloutOrder, members: Iterable[Member]) -> list[Member]:
    """Returns the daemons that run, by rendezvous hashing of the order.

    Args:
        order: Order of the roll-out.
        members: All known daemons.
    """
    seed = f"{order.service} {order.offset} "
    running = (member for member in members if member.phase is not MemberPhase.STOPPED)
    return sorted(running, key=lambda member: _score(seed, member), reverse=True)


def rank_evaluators(
    order: RolloutOrder, members: Iterable[Member], is_reachable: Callable[[str], bool]
) -> list[Member]:
    """Returns the daemons that evaluate a roll-out, the first choice first.

    Args:
        order: Order of the roll-out.
        members: All known daemons.
        is_reachable: Returns whether a daemon answers.
    """
    candidates = (
        member
        for member in members
        if member.phase is not MemberPhase.STOPPED and is_reachable(member.name)
    )
    seed = f"{order.service} {order.offset} "
    return heapq.nlargest(EVALUATORS, candidates, key=lambda member: _score(seed, member))


def _score(seed: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}{member.name}".encode())
