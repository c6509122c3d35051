"""Calls to the store don't wait on connections that are known to be silent."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.observed_fleet import STABLE_WINDOW_S, play, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

_SEEDS: Final = range(1, 9)
_ZONES: Final = 4
_CALM_S: Final = 4.0
_MAX_PHASE_S: Final = 8.0


class SilentStoreReadsTest(unittest.TestCase):
    maxDiff = None

    def test_no_read_of_the_store_waits_on_a_silent_connection_after_the_stable_window(
        self,
    ) -> None:
        """Guards against long polls, as that of member records, that wait until their time-out."""
        waiting = {seed: _play(seed) for seed in _SEEDS}
        self.assertEqual(waiting, dict.fromkeys(_SEEDS, []))


def _play(seed: int) -> list[str]:
    """Plays a silence; returns the daemons with a silent connection to the store after it."""
    rng = random.Random(seed)
    found: list[str] = []

    async def scenario(_: MockClock) -> None:
        async with run_fleet(rng, rng.randint(8, 12), _ZONES) as fleet:
            await trio.sleep(_CALM_S + rng.uniform(0.0, _MAX_PHASE_S))
            fleet.silence_open()
            await trio.sleep(STABLE_WINDOW_S)
            for name, store in fleet.stores.items():
                count = sum(connection.is_silent for connection in store.connections)
                if count:
                    found.append(f"{name}: {count}")

    play(seed, scenario)
    return found


if __name__ == "__main__":
    unittest.main()
