"""A request that crashes upstreams is quarantined; others in flight at the crash are not."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack, asynccontextmanager

import trio
from loguru import logger

from fulmarstile_mesh._quarantine_table import QuarantineTable
from fulmarstile_testing.builders.call_proxies import (
    SERVICE,
    FakeContext,
    ServedDaemon,
    make_request,
    serve_daemon,
)
from fulmarstile_testing.upstream_stand_in import StandInSettings, UpstreamStandIn
from fulmarstile_wire.records import QuarantineRecord

LIFETIME_MS = 600_000
DAEMONS = 4
POISON = make_request("/write?delay_ms=100000", "POST", b"poison")
POPULAR = make_request("/slots?delay_ms=100")


def setUpModule() -> None:  # noqa: N802
    logger.disable("fulmarstile_daemon.calls")


def tearDownModule() -> None:  # noqa: N802
    logger.enable("fulmarstile_daemon.calls")


class FleetContext(FakeContext):
    """State of a daemon that shares the crash reports of a fleet."""

    def __init__(self, daemon_id: str, table: QuarantineTable) -> None:
        super().__init__(daemon_id)
        self._table = table

    def is_quarantined(self, fingerprint: bytes) -> bool:
        return fingerprint in self._table.fingerprints

    def on_upstream_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        super().on_upstream_crash(fingerprints)
        for fingerprint in fingerprints:
            record = QuarantineRecord(fingerprint, self.daemon_id, len(self.crashes), LIFETIME_MS)
            self._table.merge(record, trio.current_time())


@asynccontextmanager
async def serve_fleet(count: int = DAEMONS):
    table = QuarantineTable(LIFETIME_MS / 1000, 100)
    async with AsyncExitStack() as stack:
        daemons = []
        for number in range(count):
            context = FleetContext(f"daemon-{number}", table)
            daemons.append(await stack.enter_async_context(serve_daemon(context=context)))
        yield daemons


async def crash(daemon: ServedDaemon) -> None:
    """Crashes the upstream of a daemon, and restarts it once the daemon has detected the crash."""
    known_crashes = len(daemon.context.crashes)
    daemon.upstream.stop_listening()
    daemon.upstream.break_connections()
    while len(daemon.context.crashes) == known_crashes:
        await trio.sleep(0.005)
    daemon.upstream = UpstreamStandIn(StandInSettings(SERVICE, "restarted"))
    daemon.proxy.set_upstream(await daemon.nursery.start(daemon.upstream.serve), 10, 12)


async def start_call(daemon: ServedDaemon, request: bytes):
    """Sends a request and waits until the upstream runs it."""
    running = daemon.upstream.counts.running
    caller = await daemon.connect()
    await caller.send(request)
    while daemon.upstream.counts.running == running:
        await trio.sleep(0.005)
    return caller


class QuarantineTest(unittest.TestCase):
    def test_a_request_is_refused_everywhere_after_it_has_crashed_two_upstreams(self) -> None:
        async def run() -> None:
            async with serve_fleet() as daemons:
                for daemon in daemons[:2]:
                    caller = await start_call(daemon, POISON)
                    await crash(daemon)
                    self.assertEqual((await caller.receive("POST")).verdict, "MAY_HAVE_RUN")
                for daemon in daemons:
                    answer = await daemon.call(POISON)
                    self.assertEqual((answer.status, answer.verdict), (422, "NOT_RUN"))
                    self.assertEqual(answer.reason, "quarantined")
                    self.assertEqual((await daemon.call(POPULAR)).status, 200)
                    self.assertEqual(daemon.upstream.counts.total, 1)

        trio.run(run)

    def test_a_popular_read_is_not_quarantined_for_unrelated_crashes(self) -> None:
        async def run() -> None:
            async with serve_fleet() as daemons:
                for number, daemon in enumerate((daemons[0], daemons[0], *daemons[1:])):
                    self.assertEqual((await daemon.call(POPULAR)).status, 200)
                    other = make_request("/write?delay_ms=100000", "POST", b"%d" % number)
                    await start_call(daemon, other)
                    await start_call(daemon, POPULAR)
                    await crash(daemon)
                for daemon in daemons:
                    self.assertEqual((await daemon.call(POPULAR)).status, 200)

        trio.run(run)

    def test_many_lost_connections_count_as_one_crash(self) -> None:
        async def run() -> None:
            async with serve_fleet(2) as daemons:
                callers = [await start_call(daemons[0], POISON) for _ in range(8)]
                await crash(daemons[0])
                for caller in callers:
                    self.assertEqual((await caller.receive("POST")).verdict, "MAY_HAVE_RUN")
                await trio.sleep(0.15)
                self.assertEqual(len(daemons[0].context.crashes), 1)
                caller = await start_call(daemons[1], POISON)
                await caller.close()

        trio.run(run)

    def test_lost_connections_of_a_listening_upstream_do_not_count_as_a_crash(self) -> None:
        async def run() -> None:
            async with serve_fleet(1) as (daemon,):
                caller = await start_call(daemon, POISON)
                daemon.upstream.break_connections()
                self.assertEqual((await caller.receive("POST")).verdict, "MAY_HAVE_RUN")
                await trio.sleep(0.15)
                self.assertEqual(daemon.context.crashes, [])

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
