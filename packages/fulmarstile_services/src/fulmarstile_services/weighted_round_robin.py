"""Weighted round robin over the destinations of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

    from fulmarstile_services.document import ServiceRoute, WeightedDestination

_MAX_START_OFFSET: Final = 64
"""Number of positions among which the random start of a rotation is chosen."""


class WeightedRoundRobin:
    """Smooth weighted round robin, one rotation for each route.

    Over any run of requests, each destination gets its share as closely as whole requests allow.
    A destination without capacity keeps its share: its requests are refused rather than sent to
    another destination.

    Args:
        random: Chooses where each rotation starts, so that daemons don't all begin with the same
            service.
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
        self._total = sum(destination.weight for destination in destinations)
        self._credits = [0.0] * len(destinations)
        for _ in range(random.randrange(_MAX_START_OFFSET)):
            self.next()

    def next(self) -> str:
        """Adds each destination's weight to its credit and returns the service with the most."""
        credits = self._credits
        best = 0
        for index, destination in enumerate(self.destinations):
            credits[index] += destination.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= self._total
        return self.destinations[best].service
