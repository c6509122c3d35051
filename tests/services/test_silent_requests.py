"""Requests are answered after the stable window, although all open connections went silent."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.builders.simulated_calls import send_call
from fulmarstile_testing.observed_fleet import STABLE_WINDOW_S, ObservedFleet, play, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

_SEEDS: Final = range(1, 9)
_ZONES: Final = 4
_CALM_S: Final = 4.0
_BURST: Final = 12
"""Requests that are sent to each daemon at about the same time."""
_BURST_S: Final = 0.05
"""Time in which they are sent, in seconds."""
_MAX_GAP_S: Final = 0.5
"""Longest time from the answers to the silence, in seconds."""
_OK: Final = 200


class SilentRequestsTest(unittest.TestCase):
    maxDiff = None

    def test_no_request_waits_on_a_connection_that_went_silent_before_the_stable_window(
        self,
    ) -> None:
        """Guards against connections in use that outlast the evidence of a silence.

        They are those to daemons and to upstreams on which answers arrived just before it.
        """
        failed = {seed: _play(seed) for seed in _SEEDS}
        self.assertEqual(failed, dict.fromkeys(_SEEDS, []))


def _play(seed: int) -> list[str]:
    """Plays requests before and after a silence; returns those after it that failed."""
    rng = random.Random(seed)
    failed: list[str] = []

    async def scenario(_: MockClock) -> None:
        async with run_fleet(rng, rng.randint(8, 12), _ZONES) as fleet:
            for each in fleet.incarnations:
                fleet.links.serve(each.node.upstream)
            await trio.sleep(_CALM_S + rng.random())
            await _send_burst(fleet, rng)
            await trio.sleep(rng.uniform(0.0, _MAX_GAP_S))
            fleet.silence_open()
            await trio.sleep(STABLE_WINDOW_S)
            failed.extend(await _send_burst(fleet, rng))

    play(seed, scenario)
    return failed


async def _send_burst(fleet: ObservedFleet, rng: random.Random) -> list[str]:
    """Sends requests to all daemons at about the same time; returns those that failed."""
    failed: list[str] = []

    async def send(name: str, address: str, request_id: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        status = await send_call(fleet.links, address, request_id)
        if status != _OK:
            failed.append(f"{request_id} at {name}: status {status}")

    async with trio.open_nursery() as nursery:
        for each in fleet.incarnations:
            for number in range(_BURST):
                request_id = f"{each.name}-{number}-{trio.current_time():.2f}"
                delay_s = rng.uniform(0.0, _BURST_S)
                nursery.start_soon(send, each.name, each.node.address, request_id, delay_s)
    return failed


if __name__ == "__main__":
    unittest.main()
