"""Versions are in force in time although all open connections have gone silent."""

from __future__ import annotations

import random
import unittest
from itertools import product
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.known_red import pass_over_known_red
from fulmarstile_testing.observed_fleet import ObservedFleet, play, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

_SEEDS: Final = range(1, 7)
_FEW_SEEDS: Final = range(1, 4)
_ZONES: Final = 4
_CALM_S: Final = 4.0
_MAX_PHASE_S: Final = 1.0
_REST_S: Final = 8.0
_READERS_END_AFTER_S: Final = (1.0, 2.0, 3.0)
_CUT_READERS_END_AFTER_S: Final = (1.4, 1.7, 1.9)
_CUT_BEFORE_S: Final = 1.4
_CUT_S: Final = 6.0


class SilentConnectionsTest(unittest.TestCase):
    maxDiff = None

    def test_versions_are_in_force_in_time_after_all_open_connections_went_silent(self) -> None:
        """Guards against each path that waits to notice the silence by itself.

        The reads of the store and the requests to other daemons were unanswered at the same time,
        and one connection was replaced after the other, for more than five seconds.
        """
        late = {seed: _play_silence(seed, silences=True) for seed in _SEEDS}
        self.assertEqual(late, dict.fromkeys(_SEEDS, []))

    def test_versions_are_in_force_in_time_after_prompt_readers_end_during_silent_reads(
        self,
    ) -> None:
        """Guards against reads of the store that wait in silence until they time out.

        Only two daemons notice soon that connections to the store are silent. If both end before,
        nobody has a working read, though versions came from other daemons all the while.
        """
        late = {
            f"seed {seed}, ended after {after_s} s": _play_end_of_readers(seed, after_s)
            for seed, after_s in product(_FEW_SEEDS, _READERS_END_AFTER_S)
        }
        self.assertEqual({name: found for name, found in late.items() if found}, {})

    @pass_over_known_red
    def test_versions_are_in_force_in_time_after_prompt_readers_end_beside_readers_cut_off(
        self,
    ) -> None:
        """Guards against time-outs that add up to more than the stable window.

        The prompt readers end just before they would have noticed that connections to the store
        are silent; those that asked them ask a reader that is cut off, and then read themselves.
        """
        late = {
            f"seed {seed}, ended after {after_s} s": _play_end_of_readers(seed, after_s, 16, 2, 2)
            for seed, after_s in product(_FEW_SEEDS, _CUT_READERS_END_AFTER_S)
        }
        self.assertEqual({name: found for name, found in late.items() if found}, {})

    def test_versions_are_in_force_in_time_without_a_disruption(self) -> None:
        self.assertEqual(_play_silence(1, silences=False), [])


def _play_silence(seed: int, *, silences: bool) -> list[str]:
    """Plays a fleet whose open connections go silent; returns what was late."""
    rng = random.Random(seed)
    late: list[str] = []

    async def scenario(_: MockClock) -> None:
        async with run_fleet(rng, rng.randint(8, 12), _ZONES) as fleet:
            await _silence(fleet, rng.uniform(0.0, _MAX_PHASE_S), silences=silences)
            late.extend(fleet.list_late())

    play(seed, scenario)
    return late


async def _silence(fleet: ObservedFleet, phase_s: float, *, silences: bool) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.publish_forever)
        await trio.sleep(_CALM_S + phase_s)
        if silences:
            fleet.silence_open()
        await trio.sleep(_REST_S)
        nursery.cancel_scope.cancel()


async def _cut_off(fleet: ObservedFleet, names: list[str]) -> None:
    """Lets nothing arrive at some daemons, nor from them, for a time."""
    with fleet.disrupted(names):
        for name, other in product(names, fleet.stores):
            fleet.links.silence(name, other, _CUT_S)
            fleet.links.silence(other, name, _CUT_S)
        for name in names:
            faults = fleet.stores[name].faults
            faults.drops_requests = faults.drops_answers = True
        await trio.sleep(_CUT_S)


def _play_end_of_readers(
    seed: int, after_s: float, size: int = 12, zones: int = _ZONES, cut: int = 0
) -> list[str]:
    """Plays a fleet whose prompt readers end while reads are silent; returns what was late.

    Args:
        seed: Seed of the case.
        after_s: Time from the silence to the end of the prompt readers, in seconds.
        size: Number of daemons.
        zones: Number of availability zones.
        cut: Number of other readers that are cut off before the silence.

    Returns:
        The late versions.
    """
    rng = random.Random(seed)
    late: list[str] = []

    async def scenario(_: MockClock) -> None:
        async with run_fleet(rng, size, zones) as fleet:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.publish_forever)
                await trio.sleep(_CALM_S + rng.uniform(0.0, _MAX_PHASE_S))
                ranks = [(each, each.reader_rank) for each in fleet.list_running()]
                others = [each.name for each, rank in ranks if rank == 1]
                if cut:
                    nursery.start_soon(_cut_off, fleet, others[:cut])
                    await trio.sleep(_CUT_BEFORE_S)
                fleet.silence_open(links=False)
                await trio.sleep(after_s)
                for each in [each for each, rank in ranks if rank == 0]:
                    await fleet.kill(each)
                await trio.sleep(_REST_S)
                nursery.cancel_scope.cancel()
            late.extend(fleet.list_late())

    play(seed, scenario)
    return late
