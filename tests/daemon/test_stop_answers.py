"""A stopping daemon sends a final answer to every call in flight instead of a reset."""

from __future__ import annotations

import signal
import tempfile
import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.calls import CallSettings
from fulmarstile_daemon.calls._hop import HopHeaders
from fulmarstile_daemon.runner import run_daemon
from fulmarstile_daemon.settings import load_settings
from fulmarstile_platform.http import HttpError
from fulmarstile_testing.builders.call_proxies import (
    CUSTOMER,
    HEDGED_ROUTE,
    SERVICE,
    FakeContext,
    RawAnswer,
    RawCaller,
    ServedDaemon,
    make_endpoint,
    make_request,
    make_table,
    serve_daemon,
    serve_two_daemons,
)
from fulmarstile_testing.builders.settings import build_settings_text
from fulmarstile_testing.free_ports import find_free_ports
from fulmarstile_testing.upstream_announcing import announce
from fulmarstile_testing.upstream_stand_in import StandInSettings, UpstreamStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MESH_KEY = bytes(32)
LONG_RUNNING = "/write?delay_ms=60000"


@dataclass
class RunningDaemon:
    """A complete daemon with an upstream that has one slot."""

    calls_address: str
    upstream: UpstreamStandIn
    stopped: trio.Event
    callers: list[RawCaller] = field(default_factory=list)

    async def send(self, request: bytes) -> RawCaller:
        host, _, port = self.calls_address.rpartition(":")
        caller = RawCaller(await trio.open_tcp_stream(host, int(port)))
        self.callers.append(caller)
        await caller.send(request)
        return caller

    async def occupy_slot(self) -> RawCaller:
        caller = await self.send(make_forwarded_request(LONG_RUNNING))
        while not self.upstream.counts.running:
            await trio.sleep(0.01)
        return caller


@asynccontextmanager
async def run_complete_daemon(drain_limit_s: int) -> AsyncIterator[RunningDaemon]:
    peers, calls, admin = (f"127.0.0.1:{port}" for port in find_free_ports(3))
    text = build_settings_text(
        daemon__drain_limit_s=str(drain_limit_s),
        peers__address=peers,
        calls__address=calls,
        admin__address=admin,
    )
    upstream = UpstreamStandIn(StandInSettings(SERVICE, slots=1))
    daemon = RunningDaemon(calls, upstream, trio.Event())
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "a.ini"
        path.write_text(text)
        settings = load_settings(path)

    async def run() -> None:
        await run_daemon(settings)
        daemon.stopped.set()

    async with trio.open_nursery() as nursery:
        await nursery.start(upstream.serve)
        nursery.start_soon(run)
        await announce_when_ready(upstream, admin)
        try:
            yield daemon
        finally:
            for caller in daemon.callers:
                caller.stream.socket.close()
            nursery.cancel_scope.cancel()


async def announce_when_ready(upstream: UpstreamStandIn, admin: str) -> None:
    while True:
        try:
            return await announce(upstream, admin, "ready", 60.0)
        except HttpError:
            await trio.sleep(0.05)


def make_forwarded_request(target: str, method: str = "GET", body: bytes = b"") -> bytes:
    hop = HopHeaders("daemon-9", MESH_KEY)
    headers = {
        "Fulmarstile-Hop": hop._hop_value.decode(),
        "Fulmarstile-Customer": CUSTOMER,
        "Fulmarstile-Service": SERVICE,
    }
    return make_request(target, method, body, headers)


async def call_until_refused(daemon: RunningDaemon, answers: list[RawAnswer]) -> None:
    """Sends calls, each on a new connection, until connections are refused."""
    while True:
        try:
            caller = await daemon.send(make_forwarded_request("/write?delay_ms=2"))
        except OSError:
            return
        async with caller.stream:
            answers.append(await caller.receive())


async def connect_slow_reader(daemon: ServedDaemon) -> RawCaller:
    """Opens a connection with a small receive buffer, which stays open after the daemon's end."""
    host, _, port = daemon.proxy.address.rpartition(":")
    sock = trio.socket.socket()
    sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 4096)
    await sock.connect((host, int(port)))
    return RawCaller(trio.SocketStream(sock))


class StopAnswersTest(unittest.TestCase):
    def check_not_run(self, answer: RawAnswer) -> None:
        received = (answer.status, answer.verdict, answer.reason)
        self.assertEqual(received, (503, "NOT_RUN", "draining"))
        self.assertEqual(answer.headers["retry-after"], "1")
        self.assertTrue(answer.complete)

    def check_may_have_run(self, answer: RawAnswer) -> None:
        received = (answer.status, answer.verdict, answer.reason)
        self.assertEqual(received, (504, "MAY_HAVE_RUN", "timeout"))
        self.assertTrue(answer.complete)

    def test_a_running_call_is_not_reset_at_the_drain_limit(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=1) as daemon:
                running = await daemon.occupy_slot()
                signal.raise_signal(signal.SIGTERM)
                self.check_may_have_run(await running.receive())
                await daemon.stopped.wait()

        trio.run(run)

    def test_a_waiting_call_is_not_reset_when_the_drain_limit_ends_the_announcement(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=0) as daemon:
                await daemon.occupy_slot()
                waiting = await daemon.send(make_forwarded_request("/write"))
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                self.check_not_run(await waiting.receive())
                await daemon.stopped.wait()

        trio.run(run)

    def test_a_call_with_an_incomplete_body_is_not_reset_at_the_drain_limit(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=1) as daemon:
                whole = make_forwarded_request("/write", "POST", b"0123456789")
                caller = await daemon.send(whole[:-5])
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                self.check_not_run(await caller.receive("POST"))
                await daemon.stopped.wait()
                self.assertEqual(daemon.upstream.counts.total, 0)

        trio.run(run)

    def test_a_forwarded_call_that_only_waited_is_not_reported_as_may_have_run(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY)
            async with (
                run_complete_daemon(drain_limit_s=0) as daemon,
                serve_daemon(settings=settings) as entry,
            ):
                remote = make_endpoint("planning-1", daemon.calls_address, is_local=False)
                entry.proxy.replace_endpoints((remote,))
                await daemon.occupy_slot()
                caller = await entry.connect()
                await caller.send(make_request("/write"))
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                self.check_not_run(await caller.receive())

        trio.run(run)

    def test_a_forwarded_call_is_not_reset_when_its_entry_daemon_stops(self) -> None:
        async def run() -> None:
            async with serve_two_daemons() as (entry, serving):
                caller = await entry.connect()
                await caller.send(make_request(LONG_RUNNING))
                while not serving.upstream.counts.running:
                    await trio.sleep(0.01)
                entry.proxy.begin_draining()
                await entry.proxy.terminate_calls()
                self.check_may_have_run(await caller.receive())

        trio.run(run)

    def test_a_hedged_call_is_not_reported_as_not_run_after_it_was_sent(self) -> None:
        async def run() -> None:
            context = FakeContext(routing_table=make_table((HEDGED_ROUTE,)))
            async with serve_daemon(context=context) as daemon:
                caller = await daemon.connect()
                await caller.send(make_request(LONG_RUNNING))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                daemon.proxy.begin_draining()
                await daemon.proxy.terminate_calls()
                self.check_may_have_run(await caller.receive())

        trio.run(run)

    def test_an_answer_that_has_begun_is_not_followed_by_a_refusal(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                caller = await daemon.connect()
                await caller.send(make_request("/slots?size=8000000"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                await trio.sleep(0.2)
                daemon.proxy.begin_draining()
                await daemon.proxy.terminate_calls()
                self.assertEqual(daemon.proxy.dump().calls_in_flight, 1)
                answer = await caller.receive()
                self.assertEqual((answer.status, len(answer.body)), (200, 8_000_000))
                self.assertTrue(answer.complete)

        trio.run(run)

    def test_calls_are_not_reset_by_a_second_signal(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=60) as daemon:
                running = await daemon.occupy_slot()
                waiting = await daemon.send(make_forwarded_request("/write"))
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                with trio.fail_after(5.0):
                    self.check_may_have_run(await running.receive())
                    self.check_not_run(await waiting.receive())
                    await daemon.stopped.wait()

        trio.run(run)

    def test_a_request_with_an_incomplete_head_is_not_cut_off_by_a_stop(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=60) as daemon:
                request = make_forwarded_request("/write")
                caller = await daemon.send(request[:30])
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                await trio.sleep(2.5)
                await caller.send(request[30:])
                self.check_not_run(await caller.receive())
                await daemon.stopped.wait()

        trio.run(run)

    def test_an_incomplete_head_is_not_left_unanswered_at_the_drain_limit(self) -> None:
        async def run() -> None:
            async with run_complete_daemon(drain_limit_s=1) as daemon:
                caller = await daemon.send(make_forwarded_request("/write")[:30])
                await trio.sleep(0.1)
                signal.raise_signal(signal.SIGTERM)
                self.check_not_run(await caller.receive())
                await daemon.stopped.wait()

        trio.run(run)

    def test_an_answer_in_transit_to_a_slow_caller_is_not_lost_by_a_stop(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, drain_announce_s=0.0)
            async with serve_daemon(settings=settings) as daemon:
                caller = await connect_slow_reader(daemon)
                await caller.send(make_request("/slots?size=60000&delay_ms=100"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                daemon.proxy.begin_draining()
                with trio.fail_after(5.0):
                    await daemon.proxy.wait_drained()
            async with caller.stream:
                answer = await caller.receive()
            self.assertEqual((answer.status, len(answer.body)), (200, 60_000))
            self.assertTrue(answer.complete)

        trio.run(run)

    def test_a_complete_answer_is_not_lost_when_its_connection_is_closed(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, drain_announce_s=0.0)
            async with serve_daemon(settings=settings) as daemon:
                caller = await connect_slow_reader(daemon)
                await caller.send(make_request("/slots?size=60000&delay_ms=100"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                daemon.proxy.begin_draining()
                while daemon.proxy.dump().calls_in_flight:
                    await trio.sleep(0.01)
            async with caller.stream:
                answer = await caller.receive()
            self.assertEqual((answer.status, len(answer.body)), (200, 60_000))
            self.assertTrue(answer.complete)

        trio.run(run)

    def test_a_partly_written_answer_does_not_look_complete(self) -> None:
        async def run() -> None:
            async with serve_daemon() as daemon:
                caller = await connect_slow_reader(daemon)
                await caller.send(make_request("/slots?size=60000") * 200)
                answers = -1
                while daemon.proxy.counters.answers > answers:
                    answers = daemon.proxy.counters.answers
                    await trio.sleep(0.3)
                self.assertLess(answers, 200)
            async with caller.stream:
                with self.assertRaises(trio.BrokenResourceError):
                    while await caller.stream.receive_some():
                        pass

        trio.run(run)

    def test_a_stop_is_not_delayed_by_callers_that_keep_being_refused(self) -> None:
        async def run() -> None:
            settings = CallSettings(MESH_KEY, drain_announce_s=0.0)
            async with serve_daemon(settings=settings) as daemon, trio.open_nursery() as nursery:
                nursery.start_soon(daemon.call, make_request("/write?delay_ms=300"))
                while not daemon.upstream.counts.running:
                    await trio.sleep(0.01)
                daemon.proxy.begin_draining()
                nursery.start_soon(self.call_repeatedly, daemon)
                with trio.fail_after(1.5):
                    await daemon.proxy.wait_drained()
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_call_that_arrives_at_the_last_moment_is_not_reset(self) -> None:
        async def run() -> None:
            answers: list[RawAnswer] = []
            async with (
                run_complete_daemon(drain_limit_s=5) as daemon,
                trio.open_nursery() as nursery,
            ):
                for _ in range(10):
                    nursery.start_soon(call_until_refused, daemon, answers)
                signal.raise_signal(signal.SIGTERM)
            self.assertEqual({answer.status for answer in answers}, {200, 503})
            for answer in answers:
                self.assertIn((answer.status, answer.verdict), ((200, ""), (503, "NOT_RUN")))
                self.assertTrue(answer.complete)

        trio.run(run)

    async def call_repeatedly(self, daemon: ServedDaemon) -> None:
        while True:
            caller = await daemon.connect()
            await caller.send(make_request("/write"))
            self.check_not_run(await caller.receive())


if __name__ == "__main__":
    unittest.main()
