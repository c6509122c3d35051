"""The daemon's command reports errors in one line and by its exit code."""

from __future__ import annotations

import contextlib
import io
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


def run_main(settings: str | None) -> tuple[int, str]:
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    errors = io.StringIO()
    with flagsaver.flagsaver(settings=settings), contextlib.redirect_stderr(errors):
        code = daemon_main.main(["fulmarstiled"])
    return code, errors.getvalue()


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

    def test_help_lists_the_flag_and_the_exit_codes(self) -> None:
        output = io.StringIO()
        with patch("sys.argv", ["fulmarstiled", "--help"]), contextlib.redirect_stdout(output):
            daemon_main.run()
        self.assertIn("--settings=FILE", output.getvalue())
        for code in ExitCode:
            self.assertIn(f"  {code.value}  ", output.getvalue())
