"""Which daemon tells another one the state of a roll-out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.services._evaluator_ranking import EVALUATORS, rank_all

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_services.directory import Directory
    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_wire.services import Member

_MIN_FAN_IN: Final = 12
"""Number of daemons that ask the same one, in a small fleet."""
_KEPT_S: Final = 2.0
"""Time for which a choice is kept, in seconds, because ranking a large fleet takes a while."""


class RelayChoice:
    """Spreads the questions of daemons without evidence, so that no daemon answers all of them.

    The daemons form a tree by rank, in which nobody is more than two steps from an evaluator: each
    step delays the state by up to a poll interval, and the lease must outlast all of them.

    Args:
        clock: Returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._chosen: dict[RolloutOrder, tuple[float, Member | None]] = {}

    def find(
        self, order: RolloutOrder, directory: Directory, is_trusted: Callable[[str], bool]
    ) -> Member | None:
        """Finds the daemon to ask first.

        Args:
            order: Order of the roll-out.
            directory: Directory of the known daemons.
            is_trusted: Returns whether a daemon answers.

        Returns:
            The daemon; None to ask the evaluators.
        """
        now = self._clock()
        chosen_at, relay = self._chosen.get(order, (-math.inf, None))
        if now - chosen_at >= _KEPT_S:
            relay = _choose(order, directory)
            self._chosen = {
                other: choice
                for other, choice in self._chosen.items()
                if now - choice[0] < 2 * _KEPT_S
            }
            self._chosen[order] = (now, relay)
        return relay if relay is not None and is_trusted(relay.name) else None


def _choose(order: RolloutOrder, directory: Directory) -> Member | None:
    ranked = rank_all(order, directory.members)
    names = [member.name for member in ranked]
    local_name = directory.local_member.name
    if local_name not in names:
        return None
    rank = names.index(local_name)
    fan_in = max(_MIN_FAN_IN, math.ceil(math.sqrt(len(ranked))))
    parent = rank // fan_in
    # The first daemons of the tree are the evaluators themselves.
    return ranked[parent] if rank >= EVALUATORS and parent != rank else None
