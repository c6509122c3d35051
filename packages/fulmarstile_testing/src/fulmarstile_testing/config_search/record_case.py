"""One seeded case with records out of order in the operator's topic."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_testing.config_search.case import (
    GRACE_S,
    LARGE_APPLY_S,
    LARGE_SIZE,
    MAX_TRAVEL_S,
    MAX_TROUBLES,
    SETTLE_S,
    STORE_FAULTS,
    TROUBLES,
    Case,
)
from fulmarstile_testing.config_search.contact_observer import ContactObserver
from fulmarstile_testing.config_search.record_writer import RecordWriter
from fulmarstile_testing.fakes.service_platform import DOCUMENT_TOPIC
from fulmarstile_testing.observed_fleet import CONFIG_APPLY_S, run_fleet

if TYPE_CHECKING:
    from trio.testing import MockClock

    from fulmarstile_testing.observed_fleet import Incarnation, ObservedFleet

_SINGLE_RATIO: Final = 0.12
"""Share of the cases with one daemon."""
_SLOW_RATIO: Final = 0.3
"""Share of the cases with slow links and large documents."""
_SLOW_LINK_KBPS: Final = ((5_000,), (10_000,), (5_000, 10_000), (5_000, 10_000, 70_000))
_DOCUMENT_BYTES: Final = (100_000, 200_000)
_WRITES_S: Final = 10.0
_PLAY_S: Final = 10.0
"""Time in which troubles begin, in seconds."""
_REST_S: Final = 9.0
"""Time after the last record and trouble, in seconds."""
_SLOW_REST_S: Final = 18.0
"""The same where 16 large documents are read back over half of a slow link."""
_AT_WRITE_RATIO: Final = 0.6
_MAX_WAIT_S: Final = 5.0
_MAX_AWAY_S: Final = 2.0
_MAX_OUTAGE_S: Final = 4.0
_MAX_HELD_S: Final = 5.0
_READ_BACK_S: Final = 2.0
"""Time after a start in which skipped records are read back, in seconds."""
_ROW_S: Final = (0.0, 0.1, 0.4, 0.8)
"""Times between starts of daemons one after another, in seconds."""
_RECORD_TROUBLES: Final = (
    *("all start", "all start", "start without store", "start without store", "row"),
    *("expire", "expire", "expire unseen", "lost readers", "lost readers", "held", "held", "join"),
)


class RecordCase(Case):
    """Plays one seed.

    Args:
        seed: Seed of all that is drawn.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._writer_rng = rng = random.Random(f"records {seed}")
        self._document_bytes = 0
        self._joined = 0
        if rng.random() < _SINGLE_RATIO:
            self._size = 1
        if rng.random() < _SLOW_RATIO:
            self._link_kbps = rng.choice(_SLOW_LINK_KBPS)
            self._document_bytes = rng.randint(*_DOCUMENT_BYTES)
        self.result.options = (
            f"{self._size} daemons, {self._zones} zones, links {self._link_kbps} kbit/s, documents "
            f"of {self._document_bytes} bytes, latencies {self._latencies_s}, late loops: "
            f"{self._has_late_loops}"
        )

    async def _play(self, clock: MockClock) -> None:
        apply_s = LARGE_APPLY_S if self._size > LARGE_SIZE else CONFIG_APPLY_S
        async with run_fleet(
            self._rng,
            self._size,
            self._zones,
            self._link_kbps,
            self._latencies_s,
            self._document_bytes,
            limits_links=self._document_bytes > 0,
        ) as fleet:
            self._writer = RecordWriter(fleet, self._writer_rng, self._note)
            observer = ContactObserver(fleet, apply_s)
            async with trio.open_nursery() as background:
                background.start_soon(observer.run)
                if self._has_late_loops:
                    background.start_soon(self._stall_loop, clock)
                await trio.sleep(SETTLE_S)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._writer.run, _WRITES_S)
                    for _ in range(self._rng.randint(0, MAX_TROUBLES)):
                        nursery.start_soon(self._disrupt, fleet, clock)
                await trio.sleep(_SLOW_REST_S if self._document_bytes else _REST_S)
                background.cancel_scope.cancel()
            late = self.result.late
            late.extend(f"FALSE {line}" for line in observer.list_false())
            late.extend(f"STUCK {line}" for line in observer.list_uncertain())
            late.extend(fleet.list_late(apply_s))
            if fleet.lost:
                self._note(f"lost for good: {sorted(fleet.lost)}")

    async def _disrupt(self, fleet: ObservedFleet, clock: MockClock) -> None:
        rng = self._rng
        at_write = rng.random() < _AT_WRITE_RATIO
        trouble = rng.choice(TROUBLES if rng.random() < 0.35 else _RECORD_TROUBLES)
        await trio.sleep(rng.uniform(0.0, _PLAY_S))
        if at_write:
            with trio.move_on_after(_MAX_WAIT_S):
                await self._writer.wrote.wait()
            await trio.sleep(rng.choice((0.0, rng.uniform(0.0, MAX_TRAVEL_S), rng.random())))
        await self._run_trouble(trouble, fleet, clock)

    async def _run_trouble(self, trouble: str, fleet: ObservedFleet, clock: MockClock) -> None:
        if trouble == "all start":
            await self._start_all(fleet)
        elif trouble == "start without store":
            with fleet.disrupted():
                names = self._draw_names(fleet)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._break_store, fleet, names)
                    await trio.sleep(self._rng.choice((0.0, self._rng.random())))
                    await self._start_all(fleet)
        elif trouble == "row":
            await self._start_in_a_row(fleet)
        elif trouble == "expire":
            self._expire(fleet)
        elif trouble == "expire unseen":
            await self._expire_unseen(fleet)
        elif trouble == "lost readers":
            await self._lose_readers(fleet)
        elif trouble == "held":
            await self._hold(fleet)
        elif trouble == "join":
            await self._replace_one(fleet)
        else:
            await super()._run_trouble(trouble, fleet, clock)

    def _draw_names(self, fleet: ObservedFleet) -> list[str]:
        """Draws some daemons, or all."""
        names = sorted(fleet.stores)
        return names if self._rng.random() < 0.6 else self._rng.sample(names, -(-len(names) // 2))

    async def _start_all(self, fleet: ObservedFleet) -> None:
        away_s = self._rng.choice((0.0, self._rng.uniform(0.0, _MAX_AWAY_S)))
        self._note(f"all are killed, and start again after {away_s:.2f} s")
        ended = await fleet.kill_all()
        await trio.sleep(away_s)
        await fleet.start_together(ended)

    async def _start_in_a_row(self, fleet: ObservedFleet) -> None:
        row_s = self._rng.choice(_ROW_S)
        self._note(f"all are killed, and start again every {row_s} s")
        ended = await fleet.kill_all()
        async with trio.open_nursery() as nursery:
            for each in ended:
                nursery.start_soon(fleet.start, each.name, "", each.node)
                await trio.sleep(row_s)

    async def _break_store(self, fleet: ObservedFleet, names: list[str]) -> None:
        rng = self._rng
        fault = rng.choice(list(STORE_FAULTS))
        value = rng.choice(STORE_FAULTS[fault])
        for_s = rng.uniform(0.5, _MAX_OUTAGE_S)
        self._note(f"store: {fault} {value} for {for_s:.2f} s at {len(names)}")
        self._set_store(fleet, names, fault, value)
        await trio.sleep(for_s)
        self._set_store(fleet, names, fault, type(value)())
        self._note(f"store: no longer {fault}")

    def _expire(self, fleet: ObservedFleet) -> None:
        end = len(fleet.mesh.store.list_records(DOCUMENT_TOPIC))
        before = self._rng.choice((end, end - 1, self._rng.randint(max(0, end - 8), end)))
        had = sorted(each.node.daemon._documents.version for each in fleet.list_running())
        fleet.expire_records(before)
        readable = fleet.mesh.newest_readable_version()
        self._note(f"records before {before} of {end} expired; readable {readable}, had {had}")

    async def _expire_unseen(self, fleet: ObservedFleet) -> None:
        names = self._draw_names(fleet)
        with fleet.disrupted():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._break_store, fleet, names)
                with trio.move_on_after(_MAX_OUTAGE_S):
                    await self._writer.wrote.wait()
                await trio.sleep(self._rng.random())
                self._expire(fleet)

    async def _lose_readers(self, fleet: ObservedFleet) -> None:
        """Ends the readers that all others rely on before or while they read back."""
        kills = self._rng.random() < 0.7
        away_s = self._rng.uniform(0.1, _READ_BACK_S)
        if self._rng.random() < 0.7:
            await self._start_all(fleet)
        else:
            with fleet.disrupted():
                await self._break_store(fleet, sorted(fleet.stores))
        await trio.sleep(self._rng.uniform(0.0, _READ_BACK_S))
        async with trio.open_nursery() as nursery:
            for each in fleet.list_running():
                if each.reader_rank == 0:
                    nursery.start_soon(self._restart, fleet, each, kills, away_s)

    async def _restart(
        self, fleet: ObservedFleet, each: Incarnation, kills: bool, away_s: float
    ) -> None:
        self._note(f"{each.name} is {'killed' if kills else 'told to stop'}")
        if kills:
            await fleet.kill(each)
        else:
            await fleet.stop(each, GRACE_S)
        await trio.sleep(away_s)
        self._note(f"{each.name} starts again")
        await fleet.start(each.name, earlier=each.node)

    async def _hold(self, fleet: ObservedFleet) -> None:
        """Lets some daemons, or all, not read back."""
        rng = self._rng
        names = self._draw_names(fleet)
        for_s = rng.uniform(0.5, _MAX_HELD_S)
        end = len(fleet.mesh.store.list_records(DOCUMENT_TOPIC))
        self._note(f"records before {end - 1} can't be read for {for_s:.2f} s at {len(names)}")
        with fleet.disrupted(() if len(names) == len(fleet.stores) else names):
            for name in names:
                fleet.stores[name].faults.held_before[DOCUMENT_TOPIC] = end - 1
            async with trio.open_nursery() as nursery:
                if rng.random() < 0.7:
                    nursery.start_soon(self._start_all, fleet)
                await trio.sleep(for_s)
                for name in names:
                    fleet.stores[name].faults.held_before.clear()

    async def _replace_one(self, fleet: ObservedFleet) -> None:
        """Ends a daemon for good, and starts one of another name in its zone."""
        rng = self._rng
        leaver = rng.choice(fleet.list_running() or [None])
        if leaver is None:
            return
        self._joined += 1
        name = f"joined-{self._joined}"
        self._note(f"{leaver.name} is killed for good, {name} joins")
        await fleet.kill(leaver)
        fleet.mesh.link_kbps = rng.choice(self._link_kbps)
        await fleet.start(name, leaver.node.platform.settings.availability_zone)
