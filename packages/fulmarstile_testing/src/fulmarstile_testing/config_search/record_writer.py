"""Writes versions in bursts, with records that are out of order in the operator's topic."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fulmarstile_testing.observed_fleet import ObservedFleet

_MAX_BURST: Final = 4
_BURST_INTERVAL_S: Final = 0.35
_DENSE_RATIO: Final = 0.25
_DENSE_BURST: Final = 8
_DENSE_INTERVAL_S: Final = (0.05, 0.3)
_PAUSE_S: Final = (4.0, 8.0)
_SOON_S: Final = (0.05, 0.3)
_LATER_S: Final = (1.0, 6.0)
_MAX_AGE: Final = 3
"""Number of versions by which one that is written again is older, at most."""
_DISORDER_RATIO: Final = 0.25
_FINAL_DISORDER_RATIO: Final = 0.7
"""The same behind the last version of a burst."""
_DISORDERS: Final = (
    *("older soon", "older soon", "older later", "older later", "no document", "deletion"),
    *("swapped", "swapped", "twice"),
)


class RecordWriter:
    """Writes to the operator's topic of a fleet.

    Args:
        fleet: The fleet.
        rng: Source of randomness.
        note: Notes what is written.
    """

    def __init__(
        self, fleet: ObservedFleet, rng: random.Random, note: Callable[[str], None]
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._note = note
        self.wrote = trio.Event()
        """Set, and replaced by another event, when a version is acknowledged."""

    async def run(self, for_s: float) -> None:
        """Writes for some time, and until all records that are late were written."""
        ends_at = trio.current_time() + for_s
        async with trio.open_nursery() as nursery:
            await trio.sleep(self._rng.uniform(0.0, _PAUSE_S[0]))
            while trio.current_time() < ends_at:
                await self.write_burst(nursery)
                await trio.sleep(self._rng.uniform(*_PAUSE_S))

    async def write_burst(self, nursery: trio.Nursery) -> None:
        """Writes one burst.

        Args:
            nursery: Writes records that are late.
        """
        rng = self._rng
        is_dense = rng.random() < _DENSE_RATIO
        count = _DENSE_BURST if is_dense else rng.randint(1, _MAX_BURST)
        self._note(f"burst of {count} from version {self._fleet.version + 1} on")
        for index in range(count):
            if index:
                dense_s = rng.uniform(*_DENSE_INTERVAL_S)
                await trio.sleep(dense_s if is_dense else _BURST_INTERVAL_S)
            self._fleet.publish()
            self._notify()
            ratio = _DISORDER_RATIO if index < count - 1 else _FINAL_DISORDER_RATIO
            if rng.random() < ratio:
                self._disorder(nursery)

    def _disorder(self, nursery: trio.Nursery) -> None:
        rng, fleet = self._rng, self._fleet
        kind = rng.choice(_DISORDERS)
        older = max(1, fleet.version - rng.randint(1, _MAX_AGE))
        soon_s, later_s = rng.uniform(*_SOON_S), rng.uniform(*_LATER_S)
        if kind == "older soon":
            nursery.start_soon(self._write_again, older, soon_s)
        elif kind == "older later":
            nursery.start_soon(self._write_again, older, later_s)
        elif kind == "twice":
            nursery.start_soon(self._write_again, fleet.version, rng.choice((0.0, soon_s)))
        elif kind == "swapped":
            fleet.publish_swapped()
            self._notify()
            self._note(f"versions {fleet.version} and {fleet.version - 1}, in this order")
        else:
            value = b"no document" if kind == "no document" else b""
            nursery.start_soon(self._write_value, kind, value, rng.choice((0.0, soon_s, later_s)))

    async def _write_again(self, version: int, after_s: float) -> None:
        await trio.sleep(after_s)
        self._note(f"version {version} again, behind {self._fleet.version}")
        self._fleet.write_again(version)

    async def _write_value(self, kind: str, value: bytes, after_s: float) -> None:
        await trio.sleep(after_s)
        self._note(f"{kind} behind version {self._fleet.version}")
        self._fleet.write_value(value)

    def _notify(self) -> None:
        event, self.wrote = self.wrote, trio.Event()
        event.set()
