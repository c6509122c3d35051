"""An exception while the daemon handles an event loses that event but does not stop the daemon."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

import trio
from loguru import logger

from fulmarstile_daemon.daemon import Daemon
from fulmarstile_daemon.settings import parse_settings
from fulmarstile_platform.log import LogPage
from fulmarstile_testing.builders.daemon_core import build_core
from fulmarstile_testing.builders.settings import build_settings_text

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
