"""Spreads the requests of a route over its services by their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

    from fulmarstile_services.document import ServiceRoute, WeightedDestination

_MAX_FIRST_STEPS: Final = 64
"""Requests by which the rotations of daemons are apart at most when they start."""


class WeightedRoundRobin:
    """Smooth weighted round robin, one rotation for each route.

    Over any span the parts get their shares as closely as whole requests allow. A part that
    has no room keeps its share; its requests are refused, not moved.

    Args:
        random: Draws where a rotation starts, so that daemons don't start alike.
    """

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._rotations: dict[tuple[str, str], _Rotation] = {}

    def choose(self, route: ServiceRoute) -> str:
        """Chooses the service of a route's next request.

        Args:
            route: The route.

        Returns:
            Name of the service.
        """
        if len(route.destinations) == 1:
            return route.destinations[0].service
        key = (route.host, route.prefix)
        rotation = self._rotations.get(key)
        if rotation is None or rotation.destinations != route.destinations:
            rotation = self._rotations[key] = _Rotation(route.destinations, self._random)
        return rotation.next()


class _Rotation:
    __slots__ = ("_credits", "_total", "destinations")

    def __init__(
        self, destinations: tuple[WeightedDestination, ...], random: random.Random
    ) -> None:
        self.destinations = destinations
        self._total = sum(part.weight for part in destinations)
        self._credits = [0.0] * len(destinations)
        for _ in range(random.randrange(_MAX_FIRST_STEPS)):
            self.next()

    def next(self) -> str:
        """Returns the service whose credit is highest after each earned its weight."""
        credits = self._credits
        best = 0
        for index, part in enumerate(self.destinations):
            credits[index] += part.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= self._total
        return self.destinations[best].service
