"""An exception while the daemon handles an event loses that event but does not stop the daemon."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest.mock import Mock

import trio
from loguru import logger

from fulmarstile_calls.upstream_lease import UpstreamAnnouncement
from fulmarstile_daemon.daemon import Daemon
from fulmarstile_daemon.settings import parse_settings
from fulmarstile_platform.log import LogPage
from fulmarstile_testing.builders.daemon_core import build_core
from fulmarstile_testing.builders.settings import build_settings_text

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
