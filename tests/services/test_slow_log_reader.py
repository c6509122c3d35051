"""Standard output whose reader is slow or gone neither stops the daemon nor cuts log lines."""

from __future__ import annotations

import json
import os
import select
import tempfile
import threading
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING
from unittest import mock

import trio
from loguru import logger

from fulmarstile_daemon.logging_setup import configure_logging
from fulmarstile_daemon.services.event_log import EventLog
from fulmarstile_daemon.services.events import LibraryMessage

if TYPE_CHECKING:
    from collections.abc import Callable

LINES = 1_500
TEXT = "x" * 200
"""Together with `LINES`, more than a pipe holds."""
FLUSH_TIMEOUT_S = 2.0


def make_log(lines: int) -> EventLog:
    log = EventLog("d-1")
    with mock.patch.object(LibraryMessage, "lines_per_s", None):
        for _ in range(lines):
            log.write(LibraryMessage(level="INFO", text=TEXT))
    return log


class SlowLogReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reading, writing = os.pipe()
        self.stdout = os.fdopen(writing, "w")
        self.enterContext(mock.patch("sys.stdout", self.stdout))
        self.received: list[bytes] = []

    def read_all(self) -> None:
        while data := os.read(self.reading, 1 << 16):
            self.received.append(data)
        os.close(self.reading)

    def finish_reading(self) -> list[bytes]:
        """Returns the lines that were not read before the last flush."""
        self.stdout.close()
        self.read_all()
        return b"".join(self.received).splitlines(keepends=True)

    def test_a_full_pipe_does_not_hold_up_the_daemon(self) -> None:
        log = make_log(LINES)
        flush = threading.Thread(target=log.flush, daemon=True)
        flush.start()
        flush.join(FLUSH_TIMEOUT_S)
        is_blocked = flush.is_alive()
        reader = threading.Thread(target=self.read_all)
        reader.start()
        flush.join()
        self.stdout.close()
        reader.join()
        self.assertFalse(is_blocked)

    def test_lines_that_do_not_fit_into_the_pipe_are_written_later_and_whole(self) -> None:
        log = make_log(LINES)
        os.set_blocking(self.reading, False)
        os.set_blocking(self.stdout.fileno(), False)
        for _ in range(100):
            log.flush()
            with suppress(BlockingIOError):
                self.received.append(os.read(self.reading, 5_000))
        os.set_blocking(self.reading, True)
        lines = self.finish_reading()
        self.assertEqual([json.loads(line)["text"] for line in lines], [TEXT] * LINES)
        self.assertEqual(log.dropped_lines, 0)

    def test_the_last_lines_are_written_once_there_is_room_and_not_only_with_the_next_one(
        self,
    ) -> None:
        log = make_log(1)
        os.set_blocking(self.reading, False)
        os.set_blocking(self.stdout.fileno(), False)
        with suppress(BlockingIOError):
            while True:
                os.write(self.stdout.fileno(), bytes(select.PIPE_BUF))
        log.flush()

        async def read_last_line() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(log.flush_forever)
                with trio.fail_after(FLUSH_TIMEOUT_S):
                    while not b"".join(self.received).endswith(b"\n"):
                        with suppress(BlockingIOError):
                            self.received.append(os.read(self.reading, 1 << 16))
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(read_last_line)
        self.finish_reading()
        self.assertEqual(json.loads(b"".join(self.received).lstrip(b"\0"))["text"], TEXT)

    def test_the_descriptor_stays_blocking_for_others_that_share_it(self) -> None:
        make_log(1).flush()
        self.assertTrue(os.get_blocking(self.stdout.fileno()))
        self.assertEqual(len(self.finish_reading()), 1)

    def test_lines_are_dropped_and_counted_if_the_reader_is_gone(self) -> None:
        log = make_log(LINES)
        os.close(self.reading)
        log.flush()
        self.assertEqual(log.dropped_lines, LINES)
        self.stdout.close()

    def test_a_daemon_without_standard_output_drops_its_lines(self) -> None:
        log = make_log(LINES)
        with mock.patch("sys.stdout", None):
            log.flush()
        self.assertEqual(log.dropped_lines, LINES)
        self.finish_reading()


class StallingLogFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.file = self.enterContext(tempfile.NamedTemporaryFile("r"))
        stdout = self.enterContext(open(self.file.name, "w"))
        self.enterContext(mock.patch("sys.stdout", stdout))
        self.stalls, self.goes_on = threading.Event(), threading.Event()
        self.timed_out = False
        self.enterContext(mock.patch("fulmarstile_daemon.log_output.os.write", self.write))

    def write(self, descriptor: int, data: bytes, write: Callable = os.write) -> int:
        self.stalls.set()
        self.timed_out |= not self.goes_on.wait(FLUSH_TIMEOUT_S)
        return write(descriptor, data)

    async def read_lines(self) -> list[str]:
        with trio.fail_after(FLUSH_TIMEOUT_S):
            while not (lines := self.file.readlines()):
                await trio.sleep(0.01)
        return lines

    def test_a_file_whose_writes_stall_does_not_hold_up_the_event_loop(self) -> None:
        log = make_log(1)

        async def run() -> list[str]:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(log.flush_forever)
                while not self.stalls.is_set():
                    await trio.sleep(0.01)
                self.goes_on.set()
                lines = await self.read_lines()
                nursery.cancel_scope.cancel()
            return lines

        self.assertEqual(json.loads(trio.run(run)[0])["text"], TEXT)
        self.assertFalse(self.timed_out)

    def test_a_file_whose_writes_stall_does_not_hold_up_the_end_of_the_process(self) -> None:
        log = make_log(1)
        log.flush()
        self.assertTrue(self.stalls.wait(FLUSH_TIMEOUT_S))
        self.goes_on.set()
        self.assertEqual(len(trio.run(self.read_lines)), 1)
        self.assertFalse(self.timed_out)

    def test_a_file_whose_writes_stall_does_not_hold_up_the_other_daemon(self) -> None:
        stderr = self.enterContext(open(self.file.name, "w"))
        self.enterContext(mock.patch("sys.stderr", stderr))
        self.addCleanup(logger.remove)
        configure_logging("json", "INFO")
        logger.info("first")
        logger.info("second")
        self.assertTrue(self.stalls.wait(FLUSH_TIMEOUT_S))
        self.goes_on.set()
        self.assertIn("first", trio.run(self.read_lines)[0])
        self.assertFalse(self.timed_out)


if __name__ == "__main__":
    unittest.main()
