"""Plots are drawn from the benches' JSON and name the commit."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec

from fulmarstile_testing.plots import (
    CALLS_REPORT,
    CONFIG_REPORT,
    CallsReport,
    ConfigRow,
    PathRow,
    plot_reports,
)


class PlotsTest(unittest.TestCase):
    """Files written for the reports that exist."""

    def test_each_report_gives_plots_that_name_the_commit_and_repeat_exactly(self):
        rows = [ConfigRow("push", size, 1.0, 2.0 * size, 900.0, 300.0) for size in (8, 16)]
        report = CallsReport((PathRow("local path", 0.5, 1.1),))
        with tempfile.TemporaryDirectory() as name:
            source, target = Path(name), Path(name) / "plots"
            self.assertEqual(plot_reports(source, target, "abc123"), [])
            (source / CONFIG_REPORT).write_bytes(msgspec.json.encode(rows))
            (source / CALLS_REPORT).write_bytes(msgspec.json.encode(report))
            paths = plot_reports(source, target, "abc123")
            first = [path.read_bytes() for path in paths]
            again = [path.read_bytes() for path in plot_reports(source, target, "abc123")]
        self.assertEqual(len(paths), 3)
        self.assertEqual(first, again)
        for content in first:
            self.assertIn(b"commit abc123", content)
        self.assertIn(b"local path", first[2])
