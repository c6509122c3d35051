"""Decides which departures a daemon writes to the store, and which it removes from there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

    from fulmarstile_services.departures import Departures
    from fulmarstile_wire.departures import UpstreamDeparture

_MIN_RELAY_DELAY_S: Final = 1.0
"""Time for which the daemon beside an upstream may write its departure itself, in seconds."""
_MAX_RELAY_DELAY_S: Final = 3.0
"""Time after which all daemons that read the store would have written it, in seconds."""


class DepartureRecords:
    """Compares the departures that the store holds with those that are known.

    A daemon writes departures of its own VM at once. Those of other VMs that haven't come from the
    store are written after a random delay, because the daemon there may be gone or cut off.

    Args:
        local_name: Name of this daemon.
        departures: All departures known.
        random: Source of randomness.
    """

    def __init__(self, local_name: str, departures: Departures, random: random.Random) -> None:
        self._local_name = local_name
        self._departures = departures
        self._random = random
        self._stored: dict[str, set[UpstreamDeparture]] = {}
        self._relay_at: dict[UpstreamDeparture, float] = {}

    def on_learned(self, departure: UpstreamDeparture, now: float) -> None:
        """Records that a departure became known, from any source.

        Args:
            departure: The departure.
            now: Current time in seconds.
        """
        if departure.member != self._local_name and not self._is_stored(departure):
            delay_s = self._random.uniform(_MIN_RELAY_DELAY_S, _MAX_RELAY_DELAY_S)
            self._relay_at[departure] = now + delay_s

    def on_stored(self, departure: UpstreamDeparture) -> None:
        """Records that the store holds a departure."""
        self._relay_at.pop(departure, None)
        stored = self._stored.setdefault(departure.member, set())
        stored.add(departure)
        if departure.member != self._local_name:
            stored.intersection_update(self._departures.of(departure.member))

    def on_removed(self, departure: UpstreamDeparture) -> None:
        """Records that a departure was removed from the store."""
        self._stored.get(departure.member, set()).discard(departure)

    def list_unwritten(self) -> tuple[UpstreamDeparture, ...]:
        """Returns the departures of this VM that the store may lack."""
        known = self._departures.of(self._local_name)
        return tuple(departure for departure in known if not self._is_stored(departure))

    def list_obsolete(self) -> tuple[UpstreamDeparture, ...]:
        """Returns the departures of this VM that the store holds although later ones suffice."""
        known = self._departures.of(self._local_name)
        stored = self._stored.get(self._local_name, set())
        return tuple(departure for departure in stored if departure not in known)

    def list_to_relay(self, now: float) -> tuple[UpstreamDeparture, ...]:
        """Returns the departures of other VMs that should be in the store by now.

        Args:
            now: Current time in seconds.
        """
        due = [departure for departure, relay_at in self._relay_at.items() if relay_at <= now]
        for departure in due:
            if departure not in self._departures.of(departure.member):
                del self._relay_at[departure]
        return tuple(departure for departure in due if departure in self._relay_at)

    def _is_stored(self, departure: UpstreamDeparture) -> bool:
        return departure in self._stored.get(departure.member, ())
