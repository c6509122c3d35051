"""The daemon's command reports errors in one line and by its exit code."""

from __future__ import annotations

import contextlib
import io
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest.mock import patch

from absl import flags
from absl.testing import flagsaver

from fulmarstile_daemon import main as daemon_main
from fulmarstile_daemon.main import ExitCode
from fulmarstile_daemon.peers import open_peer_links
from fulmarstile_daemon.settings import load_settings
from fulmarstile_testing.builders.settings import build_settings_text
from fulmarstile_testing.free_ports import find_free_ports

START_POLLS = 200
POLL_S = 0.1
STOP_TIMEOUT_S = 30.0
PROGRAM = "from fulmarstile_daemon.main import run; run()"


def run_main(settings: str | None) -> tuple[int, str]:
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    errors = io.StringIO()
    with flagsaver.flagsaver(settings=settings), contextlib.redirect_stderr(errors):
        code = daemon_main.main(["fulmarstiled"])
    return code, errors.getvalue()


def start_daemon(directory: str, log: int = subprocess.PIPE) -> subprocess.Popen[str]:
    """Starts a daemon in a process of its own, which logs to a pipe or to a descriptor."""
    peers, calls, admin = (f"127.0.0.1:{port}" for port in find_free_ports(3))
    path = Path(directory) / "a.ini"
    path.write_text(
        build_settings_text(peers__address=peers, calls__address=calls, admin__address=admin)
    )
    command = [sys.executable, "-c", PROGRAM, f"--settings={path}"]
    return subprocess.Popen(command, stderr=log, text=True)


def wait_listening(settings_file: Path) -> None:
    """Waits until a daemon listens for calls, the last of its addresses."""
    host, _, port = load_settings(settings_file).calls.address.rpartition(":")
    with contextlib.closing(socket.socket()) as sock:
        for _ in range(START_POLLS):
            if sock.connect_ex((host, int(port))) == 0:
                return
            time.sleep(POLL_S)
    raise TimeoutError("the daemon does not listen")


class MainTest(unittest.TestCase):
    def test_missing_and_invalid_settings_are_usage_errors(self) -> None:
        self.assertEqual(run_main(None)[0], ExitCode.USAGE)
        code, text = run_main("none.ini")
        self.assertEqual((code, text.count("\n")), (ExitCode.USAGE, 1))
        self.assertIn("none.ini: cannot be read", text)

    def test_an_address_in_use_names_the_section(self) -> None:
        peers, calls, admin = (f"127.0.0.1:{port}" for port in find_free_ports(3))
        text = build_settings_text(peers__address=peers, calls__address=calls, admin__address=admin)
        with tempfile.TemporaryDirectory() as directory, open_peer_links(peers, bytes(32)):
            path = Path(directory) / "a.ini"
            path.write_text(text)
            code, errors = run_main(str(path))
        self.assertEqual(code, ExitCode.LISTEN)
        self.assertIn(f"a.ini: [peers] address: cannot listen at {peers}", errors)

    def test_a_sigterm_right_after_the_start_stops_the_daemon_without_an_error(self) -> None:
        """Its default action would end the process, and with it the first calls."""
        with tempfile.TemporaryDirectory() as directory, start_daemon(directory) as process:
            assert process.stderr is not None
            self.assertIn("started", process.stderr.readline())
            process.send_signal(signal.SIGTERM)
            lines = process.stderr.read().splitlines()
        self.assertEqual(process.returncode, ExitCode.OK)
        self.assertIn("stopped", lines[-1])

    def test_a_log_that_nobody_reads_does_not_hold_up_the_daemon(self) -> None:
        """A blocking write would stop all calls, and the shutdown for as long as it lasts."""
        _, log = self.open_full_pipe()
        with (
            tempfile.TemporaryDirectory() as directory,
            start_daemon(directory, log) as process,
        ):
            try:
                wait_listening(Path(directory) / "a.ini")
                process.send_signal(signal.SIGTERM)
                code = process.wait(STOP_TIMEOUT_S)
            finally:
                process.kill()
        self.assertEqual(code, ExitCode.OK)

    def open_full_pipe(self) -> tuple[int, int]:
        """Opens a pipe that accepts no more; returns the descriptors of both ends."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        os.set_blocking(writing, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writing, bytes(select.PIPE_BUF))
        os.set_blocking(writing, True)
        return reading, writing

    def test_help_lists_the_flag_and_the_exit_codes(self) -> None:
        output = io.StringIO()
        with patch("sys.argv", ["fulmarstiled", "--help"]), contextlib.redirect_stdout(output):
            daemon_main.run()
        self.assertIn("--settings=FILE", output.getvalue())
        for code in ExitCode:
            self.assertIn(f"  {code.value}  ", output.getvalue())
