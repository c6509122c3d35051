"""The daemon's command reports errors in one line and by its exit code."""

from __future__ import annotations

import contextlib
import io
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from absl import flags
from absl.testing import flagsaver

from fulmarstile_daemon import main as daemon_main
from fulmarstile_daemon.main import ExitCode
from fulmarstile_daemon.peers import open_peer_links
from fulmarstile_testing.builders.settings import build_settings_text
from fulmarstile_testing.free_ports import find_free_ports

PROGRAM = "from fulmarstile_daemon.main import run; run()"


def run_main(settings: str | None) -> tuple[int, str]:
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    errors = io.StringIO()
    with flagsaver.flagsaver(settings=settings), contextlib.redirect_stderr(errors):
        code = daemon_main.main(["fulmarstiled"])
    return code, errors.getvalue()


def start_daemon(directory: str) -> subprocess.Popen[str]:
    """Starts a daemon in a process of its own, which logs to a pipe."""
    peers, calls, admin = (f"127.0.0.1:{port}" for port in find_free_ports(3))
    path = Path(directory) / "a.ini"
    path.write_text(
        build_settings_text(peers__address=peers, calls__address=calls, admin__address=admin)
    )
    command = [sys.executable, "-c", PROGRAM, f"--settings={path}"]
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True)


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

    def test_help_lists_the_flag_and_the_exit_codes(self) -> None:
        output = io.StringIO()
        with patch("sys.argv", ["fulmarstiled", "--help"]), contextlib.redirect_stdout(output):
            daemon_main.run()
        self.assertIn("--settings=FILE", output.getvalue())
        for code in ExitCode:
            self.assertIn(f"  {code.value}  ", output.getvalue())
