"""Versions are in force in time although all open connections went silent and readers stopped."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Final
from unittest import mock

import trio

from fulmarstile_testing.lost_search.environment import SimulatedLinks
from fulmarstile_testing.observed_fleet import play, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

    from fulmarstile_testing.observed_fleet import Incarnation, ObservedFleet

_SEEDS: Final = range(1, 7)
_CALM_S: Final = 4.0
_REST_S: Final = 7.5


class SilentAndFrozenTest(unittest.TestCase):
    maxDiff = None

    def test_versions_are_in_force_in_time_after_a_silence_in_which_the_readers_of_a_zone_froze(
        self,
    ) -> None:
        """Guards against daemons whose requests wait at frozen daemons while their read is silent.

        They have asked as many daemons as they may, and the read of the store that they began
        instead waits on a connection that has gone silent.
        """
        late = {
            seed: _play(seed, size=12, zones=2, frozen_readers=3, of_one_zone=True)
            for seed in _SEEDS
        }
        self.assertEqual(late, dict.fromkeys(_SEEDS, []))

    def test_versions_are_in_force_in_time_after_a_silence_in_which_both_prompt_readers_froze(
        self,
    ) -> None:
        """Guards against daemons that ask frozen ones again, to the limit of open requests."""
        late = {
            seed: _play(seed, size=6, zones=1, frozen_readers=2, of_one_zone=True)
            for seed in _SEEDS
        }
        self.assertEqual(late, dict.fromkeys(_SEEDS, []))

    def test_versions_are_in_force_in_time_after_a_silence_in_which_those_that_all_ask_froze(
        self,
    ) -> None:
        """Guards against a wait for the own time-out of each path where nobody replies."""
        late = {
            seed: _play(seed, size=12, zones=3, frozen_readers=2, of_one_zone=False)
            for seed in _SEEDS
        }
        self.assertEqual(late, dict.fromkeys(_SEEDS, []))


def _play(seed: int, *, size: int, zones: int, frozen_readers: int, of_one_zone: bool) -> list[str]:
    rng = random.Random(seed)
    late: list[str] = []
    frozen: set[str] = set()
    connect = SimulatedLinks._connect

    def connect_frozen(self: SimulatedLinks, address, ends, latency_s, bytes_per_s):
        # The kernel of a frozen daemon accepts connections.
        stream = connect(self, address, ends, latency_s, bytes_per_s)
        self._open[-1].is_silent = bool(frozen & set(ends))
        return stream

    async def scenario(_: MockClock) -> None:
        async with run_fleet(rng, size, zones) as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.publish_forever)
            await trio.sleep(_CALM_S + rng.random())
            _silence_and_freeze(fleet, frozen_readers, frozen, of_one_zone=of_one_zone)
            await trio.sleep(_REST_S)
            late.extend(fleet.list_late())
            nursery.cancel_scope.cancel()

    with mock.patch.object(SimulatedLinks, "_connect", connect_frozen):
        play(seed, scenario)
    return late


def _silence_and_freeze(
    fleet: ObservedFleet, count: int, frozen: set[str], *, of_one_zone: bool
) -> None:
    """Silences open connections, and freezes the daemons that most others rely on."""
    fleet.silence_open()
    for each in _draw_readers(fleet, of_one_zone=of_one_zone)[:count]:
        frozen.add(each.name)
        fleet.stores[each.name].faults.hangs = True
        each.ended_at = trio.current_time()


def _draw_readers(fleet: ObservedFleet, *, of_one_zone: bool) -> list[Incarnation]:
    """Lists daemons, of one zone or of all, first those that all others ask."""
    ranked = sorted(fleet.list_running(), key=lambda each: each.reader_rank)
    zones = [each.node.daemon._directory.local_member.availability_zone for each in ranked]
    return [
        each
        for each, zone in zip(ranked, zones, strict=True)
        if not of_one_zone or zone == zones[0]
    ]


if __name__ == "__main__":
    unittest.main()
