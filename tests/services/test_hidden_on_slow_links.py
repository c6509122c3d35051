"""A version hidden by a later record is in force in time where a link carries few records."""

from __future__ import annotations

import math
import random
import unittest
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_services.document_contact import MAX_SILENT_S
from fulmarstile_services.document_sources import PROMPT_READERS
from fulmarstile_testing.fakes.service_platform import DOCUMENT_TOPIC
from fulmarstile_testing.known_red import pass_over_known_red
from fulmarstile_testing.observed_fleet import STABLE_WINDOW_S, ObservedFleet, play, run_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trio.testing import MockClock

_SEEDS: Final = range(1, 4)
_SIZES: Final = (1, 6)
_ZONES: Final = 3
_LINK_KBPS: Final = 5_000
_DOCUMENT_BYTES: Final = 169_000
"""Size of a document of 2,098 routes in the store."""
_CALM_S: Final = 4.0
_BURST: Final = 8
_WITHIN_PAUSE_S: Final = 0.1
_FAST_LINK_KBPS: Final = 100_000
_STARTED_SIZES: Final = (6, 24)
_FEW: Final = 4
"""Records that a daemon reads at a start which leaves the read back to others, at most."""
_LONG_BURST: Final = 36
_VERSION_S: Final = 0.33
_HISTORY: Final = 20
_REST_S: Final = 8.0
_SHOWN: Final = 2


class SlowLinkTest(unittest.TestCase):
    maxDiff = None

    def test_the_newest_version_of_a_burst_is_in_force_though_an_older_one_follows_it(self) -> None:
        """Guards against a read back that begins with records long superseded."""

        async def scenario(fleet: ObservedFleet) -> None:
            for _ in range(_BURST):
                fleet.publish()
                await trio.sleep(_WITHIN_PAUSE_S)
            fleet.write_again(fleet.version - 1)
            await trio.sleep(_REST_S)

        self.assertEqual(_list_late(scenario), {})

    def test_the_newest_version_of_a_burst_is_in_force_though_a_deletion_follows_it(self) -> None:
        """Guards against a read back that begins with records long superseded."""

        async def scenario(fleet: ObservedFleet) -> None:
            for _ in range(_BURST):
                fleet.publish()
                await trio.sleep(_WITHIN_PAUSE_S)
            fleet.write_value(b"")
            await trio.sleep(_REST_S)

        self.assertEqual(_list_late(scenario), {})

    def test_a_hidden_version_is_in_force_after_all_daemons_start_on_a_long_history(self) -> None:
        """Guards against a read back that takes longer than a start may."""

        async def scenario(fleet: ObservedFleet) -> None:
            ended = await fleet.kill_all()
            for _ in range(_HISTORY):
                fleet.publish()
            fleet.write_again(fleet.version - 1)
            await fleet.start_together(ended)
            await trio.sleep(STABLE_WINDOW_S + _REST_S)

        self.assertEqual(_list_late(scenario), {})


class FleetStartTest(unittest.TestCase):
    maxDiff = None

    def test_two_daemons_of_a_fleet_that_starts_read_back(self) -> None:
        """Guards against a fleet in which each daemon takes itself for one of the two."""
        readers: list[int] = []

        async def scenario(fleet: ObservedFleet) -> None:
            for _ in range(_HISTORY):
                fleet.publish()
            await trio.sleep(_CALM_S)
            ended = await fleet.kill_all()
            await fleet.start_together(ended)
            await trio.sleep(STABLE_WINDOW_S)
            read_bytes = [client.topic_bytes[DOCUMENT_TOPIC] for client in fleet.stores.values()]
            readers.append(sum(each > _FEW * _DOCUMENT_BYTES for each in read_bytes))

        for seed in _SEEDS:
            for size in _STARTED_SIZES:
                _play(seed, size, _FAST_LINK_KBPS, scenario)
        self.assertLessEqual(max(readers), PROMPT_READERS, readers)


class ContactTest(unittest.TestCase):
    """Contact and fresh knowledge are not claimed before all skipped records are read."""

    maxDiff = None

    @pass_over_known_red
    def test_a_fleet_has_contact_while_versions_come_faster_than_its_links_carry_them(self) -> None:
        """Guards against keys that are refused, and a 503 for each missing route."""
        silent_s: list[float] = []

        async def scenario(fleet: ObservedFleet) -> None:
            for _ in range(_LONG_BURST):
                fleet.publish()
                await trio.sleep(_VERSION_S)
                silent_s.extend(
                    each.node.daemon._documents.silent_s for each in fleet.list_running()
                )

        self.assertEqual(_list_late(scenario), {})
        self.assertLessEqual(max(silent_s), MAX_SILENT_S)

    def test_a_fleet_that_starts_has_contact_in_time(self) -> None:
        """Guards against keys that are refused, and a 503 for each missing route."""
        silent_s: list[float] = []

        async def scenario(fleet: ObservedFleet) -> None:
            for _ in range(_HISTORY):
                fleet.publish()
            await trio.sleep(_REST_S)
            await fleet.start_together(await fleet.kill_all())
            await trio.sleep(STABLE_WINDOW_S)
            silent_s.extend(
                each.node.daemon._documents.silent_s or math.inf for each in fleet.list_running()
            )

        self.assertEqual(_list_late(scenario), {})
        self.assertLessEqual(max(silent_s), MAX_SILENT_S)


def _list_late(scenario: Callable[[ObservedFleet], Awaitable[None]]) -> dict[str, list[str]]:
    """Plays a scenario on fleets of each size; returns what was late."""
    cases = {
        f"seed {seed}, {size} daemons": _play(seed, size, _LINK_KBPS, scenario)
        for seed in _SEEDS
        for size in _SIZES
    }
    return {name: late[:_SHOWN] for name, late in cases.items() if late}


def _play(
    seed: int, size: int, link_kbps: int, scenario: Callable[[ObservedFleet], Awaitable[None]]
) -> list[str]:
    late: list[str] = []

    async def run(_: MockClock) -> None:
        async with run_fleet(
            random.Random(seed),
            size,
            _ZONES,
            (link_kbps,),
            document_bytes=_DOCUMENT_BYTES,
            limits_links=True,
        ) as fleet:
            await trio.sleep(_CALM_S)
            await scenario(fleet)
            late.extend(fleet.list_late())

    play(seed, run)
    return late


if __name__ == "__main__":
    unittest.main()
