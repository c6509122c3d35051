"""A short soak of rule CONFIG: versions come in quick succession to real daemons."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trio

from fulmarstile_adapter_testing.soak_config import run_soak
from fulmarstile_testing.known_red import pass_over_known_red

SECONDS = 32.0


class ConfigSoakTest(unittest.TestCase):
    @pass_over_known_red
    def test_versions_come_into_force_in_time_after_all_open_connections_went_silent(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = trio.run(run_soak, 1, "silence_all", SECONDS, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.faults["versions"], 0)
        self.assertGreater(report.statuses["200"], 0)


if __name__ == "__main__":
    unittest.main()
