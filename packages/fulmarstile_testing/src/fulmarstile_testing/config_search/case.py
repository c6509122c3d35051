"""One seeded case: a fleet that gets versions of the document beside troubles."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.observed_fleet import CONFIG_APPLY_S, play, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

    from fulmarstile_testing.observed_fleet import Incarnation, ObservedFleet

_SIZES: Final = (4, 6, 8, 8, 10, 12, 12, 12, 12, 16)
_LARGE_SIZES: Final = (24, 40)
_LARGE_RATIO: Final = 0.05
LARGE_SIZE: Final = 16
LARGE_APPLY_S: Final = 2.5
"""Time from which a version must be in force in a larger fleet, in seconds."""
_LATENCIES_S: Final = ((0.0005, 0.002, 0.01), (0.002, 0.02))
_LINK_KBPS: Final = ((0,), (1_000_000,), (4_000, 20_000, 70_000))
SETTLE_S: Final = 2.5
_PLAY_S: Final = 6.0
"""Time in which troubles begin, in seconds."""
_REST_S: Final = 6.5
"""Time after the end of the last trouble, in seconds."""
_MAX_TROUBLE_S: Final = 5.0
MAX_TROUBLES: Final = 3
GRACE_S: Final = 6.0
MAX_TRAVEL_S: Final = 0.05
"""Longest time from the write of a version to a trouble that meets it on its way, in seconds."""
STORE_FAULTS: Final = {
    "hangs": (True,),
    "refuses": (True,),
    "delay_s": (0.3, 0.8, 1.6),
    "lost_share": (0.3, 1.0),
    "drops_requests": (True,),
    "drops_answers": (True,),
}
TROUBLES: Final = (
    *("silence", "silence", "store", "store", "cut", "cut", "end", "end"),
    *("halt", "forget", "readers"),
)


@dataclass(slots=True)
class CaseResult:
    """What a case showed."""

    options: str
    late: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


class Case:
    """Plays one seed.

    Args:
        seed: Seed of all that is drawn.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = rng = random.Random(seed)
        self._size = rng.choice(_LARGE_SIZES if rng.random() < _LARGE_RATIO else _SIZES)
        self._zones = rng.randint(1, 5)
        self._link_kbps = rng.choice(_LINK_KBPS)
        self._latencies_s = rng.choice(_LATENCIES_S)
        self._has_late_loops = rng.random() < 0.25
        self.result = CaseResult(
            f"{self._size} daemons, {self._zones} zones, links {self._link_kbps} kbit/s, latencies "
            f"{self._latencies_s}, late loops: {self._has_late_loops}"
        )

    def play(self) -> CaseResult:
        """Plays the case in virtual time and judges it."""
        play(self._seed, self._play)
        return self.result

    async def _play(self, clock: MockClock) -> None:
        apply_s = LARGE_APPLY_S if self._size > LARGE_SIZE else CONFIG_APPLY_S
        async with run_fleet(
            self._rng, self._size, self._zones, self._link_kbps, self._latencies_s
        ) as fleet:
            async with trio.open_nursery() as background:
                background.start_soon(fleet.publish_forever)
                if self._has_late_loops:
                    background.start_soon(self._stall_loop, clock)
                await trio.sleep(SETTLE_S)
                async with trio.open_nursery() as nursery:
                    for _ in range(self._rng.randint(1, MAX_TROUBLES)):
                        nursery.start_soon(self._disrupt, fleet, clock)
                await trio.sleep(_REST_S)
                background.cancel_scope.cancel()
            self.result.late.extend(fleet.list_late(apply_s))

    def _note(self, text: str) -> None:
        self.result.trace.append(f"{trio.current_time():.3f} {text}")

    async def _stall_loop(self, clock: MockClock) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0.3, 3.0))
            for_s = self._rng.choice((0.05, 0.2, 0.5))
            self._note(f"all loops late by {for_s}")
            clock.jump(for_s)

    async def _disrupt(self, fleet: ObservedFleet, clock: MockClock) -> None:
        rng = self._rng
        await trio.sleep(rng.uniform(0.0, _PLAY_S))
        if rng.random() < 0.5:
            fleet.publish()
            await trio.sleep(rng.uniform(0.0, MAX_TRAVEL_S))
        await self._run_trouble(rng.choice(TROUBLES), fleet, clock)

    async def _run_trouble(self, trouble: str, fleet: ObservedFleet, clock: MockClock) -> None:
        rng = self._rng
        if trouble == "silence":
            self._silence(fleet)
        elif trouble == "store":
            await self._harm_store(fleet)
        elif trouble == "cut":
            await self._cut(fleet)
        elif trouble == "end":
            await self._end(fleet)
        elif trouble == "readers":
            await self._end_readers(fleet)
        elif trouble == "halt":
            with fleet.disrupted():
                for_s = rng.uniform(0.5, 4.0)
                self._note(f"all halted for {for_s:.2f}")
                clock.jump(for_s)
        else:
            self._note("history forgotten")
            fleet.expire_records()

    def _silence(self, fleet: ObservedFleet) -> None:
        share = self._rng.choice((1.0, 1.0, 0.3, 0.7))
        kind = self._rng.choice(("all", "all", "store", "links"))
        self._note(f"silence of open connections: {kind}, share {share}")
        fleet.silence_open(share, store=kind != "links", links=kind != "store")

    async def _harm_store(self, fleet: ObservedFleet) -> None:
        rng = self._rng
        names = sorted(fleet.stores)
        if rng.random() < 0.4:
            names = rng.sample(names, rng.randint(1, len(names)))
        fault = rng.choice(list(STORE_FAULTS))
        value = rng.choice(STORE_FAULTS[fault])
        for_s = rng.uniform(0.3, _MAX_TROUBLE_S)
        who = "all" if len(names) == len(fleet.stores) else ", ".join(names)
        self._note(f"store: {fault} {value} for {for_s:.2f} s at {who}")
        with fleet.disrupted():
            self._set_store(fleet, names, fault, value)
            await trio.sleep(for_s)
            self._set_store(fleet, names, fault, type(value)())
            if rng.random() < 0.25:
                self._silence(fleet)
        self._note(f"store: no longer {fault}")

    def _set_store(
        self, fleet: ObservedFleet, names: list[str], fault: str, value: float | bool
    ) -> None:
        for name in names:
            setattr(fleet.stores[name].faults, fault, value)

    def _draw_running(self, fleet: ObservedFleet) -> list[Incarnation]:
        """Draws some daemons, or all; often those that others rely on."""
        rng = self._rng
        running = fleet.list_running()
        count = rng.choice((1, 1, 2, 3, max(1, len(running) // 3), len(running)))
        if rng.random() < 0.6:
            return sorted(running, key=lambda each: each.reader_rank)[:count]
        return rng.sample(running, min(count, len(running)))

    async def _cut(self, fleet: ObservedFleet) -> None:
        rng = self._rng
        names = [each.name for each in self._draw_running(fleet)]
        ways = rng.choice(("both", "both", "out", "in"))
        for_s = rng.uniform(0.3, _MAX_TROUBLE_S)
        self._note(f"cut off, {ways}, for {for_s:.2f} s: {', '.join(names)}")
        with fleet.disrupted(names):
            for name in names:
                for other in fleet.stores:
                    if ways != "in":
                        fleet.links.silence(name, other, for_s)
                    if ways != "out":
                        fleet.links.silence(other, name, for_s)
            if ways != "in":
                self._set_store(fleet, names, "drops_requests", True)
            if ways != "out":
                self._set_store(fleet, names, "drops_answers", True)
            await trio.sleep(for_s)
            self._set_store(fleet, names, "drops_requests", False)
            self._set_store(fleet, names, "drops_answers", False)
        self._note(f"no longer cut off: {', '.join(names)}")

    async def _end(self, fleet: ObservedFleet) -> None:
        rng = self._rng
        kills = rng.random() < 0.6
        row_s = rng.choice((0.0, 0.0, 0.2, 0.7))
        async with trio.open_nursery() as nursery:
            for index, each in enumerate(self._draw_running(fleet)):
                nursery.start_soon(self._end_one, fleet, each, kills, index * row_s)

    async def _end_readers(self, fleet: ObservedFleet) -> None:
        """Ends those that would notice for all others that connections to the store are silent."""
        self._note("silence of open connections to the store")
        fleet.silence_open(links=False)
        away_s = self._rng.uniform(0.3, 3.0)
        kills = self._rng.random() < 0.6
        await trio.sleep(away_s)
        async with trio.open_nursery() as nursery:
            for each in fleet.list_running():
                if each.reader_rank == 0:
                    nursery.start_soon(self._end_one, fleet, each, kills, 0.0)

    async def _end_one(
        self, fleet: ObservedFleet, each: Incarnation, kills: bool, at_s: float
    ) -> None:
        # Drawn first, as the order in which daemons end depends on addresses of objects.
        away_s = self._rng.uniform(0.0, 2.0)
        await trio.sleep(at_s)
        if each not in fleet.list_running():
            return
        self._note(f"{each.name} is {'killed' if kills else 'told to stop'}")
        if kills:
            await fleet.kill(each)
        else:
            await fleet.stop(each, GRACE_S)
        await trio.sleep(away_s)
        self._note(f"{each.name} starts again")
        await fleet.start(each.name, earlier=each.node)
