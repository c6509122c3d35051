"""Decides which part of a service's requests leaves the availability zone of the caller.

Answers the load of a zone whose own upstreams are too few, while other zones have room. Each
daemon decides by itself, from the loads that it has seen, and adjusts its share in small steps.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

_MEMORY_S: Final = 1.0
"""Time after which a new load outweighs the earlier ones, in seconds."""
_MIN_GAIN: Final = 0.05
_MAX_GAIN: Final = 0.5
"""Bounds of a new load's weight in the moving averages; a zone is seen by samples of upstreams."""
_MAX_AGE_S: Final = 3.0
"""Age from which the load of another zone counts as unknown, in seconds."""
_INTEGRAL_GAIN_PER_S: Final = 0.3
"""Change of the share per second, if a request saves its own service time by leaving."""
_PROPORTIONAL_GAIN: Final = 0.15
"""Share that reacts to the present load at once; it damps the integral part."""
_MAX_STEP_S: Final = 0.5
"""Longest time between two requests that counts for the adjustment, in seconds."""


def marginal_wait(load: float) -> float:
    """Returns what one more request makes all requests at a zone wait.

    It is the wait of the request itself and the one that it adds to the others. So a zone isn't
    filled at the expense of its own callers.

    Args:
        load: Requests running and queued per slot.

    Returns:
        The wait in service times.
    """
    return 1.5 * load * load if load < 1.0 else 2.0 * load - 0.5


class ZoneSpillover:
    """Shares of one service's requests that go to other availability zones.

    Args:
        availability_zone: Availability zone of this daemon.
    """

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._zones: dict[str, _ZoneEstimate] = {}
        self._adjusted_at = -math.inf

    def shares(self) -> dict[str, float]:
        """Returns the fraction of requests that goes to each other zone, for inspection."""
        return {name: zone.share for name, zone in self._zones.items() if zone.share > 0.0}

    def load(self, zone: str) -> float:
        """Returns the moving average of a zone's load per slot; 0 if it is unknown.

        Args:
            zone: Name of the zone.
        """
        estimate = self._zones.get(zone)
        return 0.0 if estimate is None else estimate.load

    def may_leave(self, penalty_s: float) -> bool:
        """Returns whether requests would gain from an idle zone.

        Only then is the load of other zones worth asking for.

        Args:
            penalty_s: Latency that a request must save to leave the zone, in seconds.
        """
        local = self._zones.get(self._availability_zone)
        return local is not None and local.wait_s > penalty_s

    def on_load(self, zone: str, load: float, service_s: float, now: float) -> None:
        """Records the load of some of a zone's upstreams.

        Args:
            zone: Name of the zone.
            load: Requests running and queued per slot.
            service_s: Mean service time in seconds.
            now: Current time in seconds.
        """
        estimate = self._zones.get(zone)
        if estimate is None:
            estimate = self._zones[zone] = _ZoneEstimate()
        estimate.update(load, service_s, now)

    def adjust(self, zones: Iterable[str], penalty_s: float, now: float) -> None:
        """Adjusts the shares to the loads seen so far.

        Args:
            zones: Other zones that have usable upstreams; no request goes to any other one.
            penalty_s: Latency that a request must save to leave the zone, in seconds.
            now: Current time in seconds.
        """
        step_s = min(_MAX_STEP_S, max(0.0, now - self._adjusted_at))
        self._adjusted_at = now
        usable = set(zones)
        local = self._zones.get(self._availability_zone)
        for name, zone in self._zones.items():
            if zone is local:
                continue
            if name not in usable:
                zone.stop()
                continue
            is_known = local is not None and now - zone.seen_at <= _MAX_AGE_S
            benefit = -1.0
            if is_known and local is not None and local.service_s > 0.0:
                saved_s = local.wait_s - zone.wait_s - penalty_s
                benefit = max(-1.0, min(1.0, saved_s / local.service_s))
            zone.adjust(benefit, step_s)
        self._limit_total()

    def choose(self, random: random.Random) -> str:
        """Chooses the zone of a request.

        Args:
            random: Source of randomness.

        Returns:
            Name of the zone, by the shares.
        """
        position = random.random()
        for name, zone in self._zones.items():
            position -= zone.share
            if position < 0.0:
                return name
        return self._availability_zone

    def _limit_total(self) -> None:
        total = sum(zone.share for zone in self._zones.values())
        if total > 1.0:
            for zone in self._zones.values():
                zone.scale(1.0 / total)


class _ZoneEstimate:
    """Load of a zone and the share of requests that it gets."""

    __slots__ = ("_integral", "load", "seen_at", "service_s", "share")

    def __init__(self) -> None:
        self._integral = 0.0
        self.load = 0.0
        self.service_s = 0.0
        self.seen_at = -math.inf
        self.share = 0.0

    @property
    def wait_s(self) -> float:
        """What one more request makes all requests there wait, in seconds."""
        return self.service_s * marginal_wait(self.load)

    def update(self, load: float, service_s: float, now: float) -> None:
        gain = 1.0 - math.exp(-max(0.0, now - self.seen_at) / _MEMORY_S)
        if not math.isinf(self.seen_at):
            gain = min(_MAX_GAIN, max(_MIN_GAIN, gain))
        self.load += gain * (load - self.load)
        if service_s > 0.0:
            self.service_s += (gain if self.service_s else 1.0) * (service_s - self.service_s)
        self.seen_at = now

    def adjust(self, benefit: float, step_s: float) -> None:
        integral = self._integral + _INTEGRAL_GAIN_PER_S * benefit * step_s
        self._integral = min(1.0, max(0.0, integral))
        self.share = min(1.0, max(0.0, self._integral + _PROPORTIONAL_GAIN * benefit))

    def scale(self, factor: float) -> None:
        self._integral *= factor
        self.share *= factor

    def stop(self) -> None:
        self._integral = self.share = 0.0
