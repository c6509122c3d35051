"""An exception while the daemon handles an event loses that event but does not stop the daemon."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import AsyncMock, Mock

import trio
from loguru import logger

from fulmarstile_calls.upstream_lease import UpstreamAnnouncement
from fulmarstile_daemon.daemon import Daemon
from fulmarstile_daemon.log_worker import LogWorker
from fulmarstile_daemon.settings import parse_settings
from fulmarstile_mesh import AppendLog, Disconnect, ReadLog, Send
from fulmarstile_platform.log import LogPage
from fulmarstile_testing.builders.daemon_core import build_core
from fulmarstile_testing.builders.settings import build_settings_text
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

EMPTY_PAGE = LogPage((), 0, 0)


class CoreFaultTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("fulmarstile_daemon")
        self.addCleanup(logger.enable, "fulmarstile_daemon")

    def test_an_exception_is_counted_and_the_next_event_is_handled(self) -> None:
        async def run() -> None:
            core = build_core({"laundry": bytes(32)})
            settings = parse_settings(build_settings_text(), "a.ini")
            async with trio.open_nursery() as nursery:
                daemon = Daemon(settings, core, Mock(), Mock(), nursery)
                original = core.on_log_page
                core.on_log_page = Mock(side_effect=KeyError("a fault"), __name__="on_log_page")
                daemon.on_log_page("config.laundry", EMPTY_PAGE)
                self.assertEqual(core.counters.faults, 1)
                core.on_log_page = Mock(side_effect=original, __name__="on_log_page")
                daemon.on_log_page("config.laundry", EMPTY_PAGE)
                self.assertEqual((core.counters.faults, core.on_log_page.call_count), (1, 1))

        trio.run(run)

    def check_counted(self, name: str, act: Callable[[Daemon], object]) -> None:
        """Checks that an exception of a function of the core is counted and goes no further."""

        async def run() -> None:
            core = build_core({"laundry": bytes(32)})
            settings = parse_settings(build_settings_text(), "a.ini")
            async with trio.open_nursery() as nursery:
                daemon = Daemon(settings, core, Mock(), Mock(), nursery)
                setattr(core, name, Mock(side_effect=KeyError("a fault"), __name__=name))
                act(daemon)
                self.assertEqual(core.counters.faults, 1)

        trio.run(run)

    def test_an_exception_while_a_crash_is_reported_is_counted(self) -> None:
        self.check_counted("report_crash", lambda daemon: daemon._report_crash((b"print",)))

    def test_an_exception_while_an_upstream_is_announced_is_counted(self) -> None:
        announcement = UpstreamAnnouncement("planning", "10.0.0.1:80", 4, 8, 5.0)
        self.check_counted(
            "announce_upstream", lambda daemon: daemon.announce_upstream(announcement)
        )

    def check_task(self, name: str, find_function: Callable[..., object]) -> None:
        """Checks that a task goes on after an exception of a function that it calls."""

        async def run() -> None:
            settings = parse_settings(build_settings_text(), "a.ini")
            async with trio.open_nursery() as nursery:
                core = build_core({"laundry": bytes(32)})
                peers = Mock(receive=trio.sleep_forever)
                daemon = Daemon(settings, core, peers, Mock(read=fail_read), nursery)
                failed = make_failing_once(find_function(daemon))
                owner, _, attribute = name.rpartition(".")
                setattr(getattr(daemon, owner), attribute, failed)
                daemon.start()
                with trio.fail_after(5.0):
                    while failed.calls < 2:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        with self.assertLogs(level="ERROR"):
            trio.run(run)

    def test_an_exception_while_a_message_is_received_does_not_end_the_daemon(self) -> None:
        self.check_task("links.receive", lambda daemon: daemon.links.receive)

    def test_an_exception_between_two_ticks_does_not_end_the_daemon(self) -> None:
        self.check_task("lease.on_tick", lambda daemon: daemon.lease.on_tick)

    def test_an_exception_while_an_effect_is_executed_costs_that_effect_alone(self) -> None:
        async def run() -> None:
            core = build_core({"laundry": bytes(32)})
            settings = parse_settings(build_settings_text(), "a.ini")
            effects = [Send("10.0.0.2:7400", Mock()), Disconnect("10.0.0.2:7400")]
            core.on_tick = Mock(return_value=effects, __name__="on_tick")
            links = Mock()
            links.send.side_effect = KeyError("a fault")
            async with trio.open_nursery() as nursery:
                daemon = Daemon(settings, core, links, Mock(), nursery)
                daemon._dispatch(core.on_tick)
                self.assertEqual(core.counters.faults, 1)
                links.disconnect.assert_called_once_with("10.0.0.2:7400")

        trio.run(run)

    def test_an_exception_while_the_log_is_used_counts_as_its_failure(self) -> None:
        listener = Mock()

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                worker = LogWorker(Mock(read=fail_read, append=fail_read), nursery, listener)
                worker.read(ReadLog("config.laundry", 0, 0.0))
                worker.append(AppendLog("config.laundry", b"record"))

        with self.assertLogs(level="ERROR"):
            trio.run(run)
        listener.on_log_failure.assert_called_once_with("config.laundry")
        listener.on_append_failure.assert_called_once_with("config.laundry", Verdict.MAY_HAVE_RUN)

    def test_an_exception_while_a_page_is_handled_does_not_end_the_daemon(self) -> None:
        listener = Mock()
        listener.on_log_page.side_effect = KeyError("a fault")

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                worker = LogWorker(Mock(read=AsyncMock(return_value=EMPTY_PAGE)), nursery, listener)
                worker.read(ReadLog("config.laundry", 0, 0.0))

        with self.assertLogs(level="ERROR"):
            trio.run(run)


async def fail_read(*_: object, **__: object) -> None:
    """Fails as a log client with a fault does."""
    raise KeyError("a fault")


def make_failing_once(function: Callable[..., object]) -> Mock:
    """Makes a function that fails at its first call, and counts the calls."""

    def call(*arguments: object) -> object:
        call.calls += 1
        if call.calls == 1:
            raise KeyError("a fault")
        return function(*arguments)

    call.calls = 0
    return call
