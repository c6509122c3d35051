"""Only listed tests may fail without failing the suite."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from fulmarstile_testing import known_red


def build_sample() -> unittest.TestCase:
    # Made here, so that the loader does not find it.
    class Sample(unittest.TestCase):
        @known_red.pass_over_known_red
        def runTest(self) -> None:  # noqa: N802
            self.fail("broken")

    return Sample()


class KnownRedTest(unittest.TestCase):
    def run_sample(self, listed: str) -> unittest.TestResult:
        with TemporaryDirectory() as directory:
            path = Path(directory) / "KNOWN-RED.txt"
            path.write_text(listed)
            result = unittest.TestResult()
            with patch.object(known_red, "KNOWN_RED", path), patch("builtins.print"):
                build_sample().run(result)
            return result

    def test_a_failure_that_is_not_listed_fails(self) -> None:
        self.assertEqual(len(self.run_sample("test: other.Test").failures), 1)

    def test_a_listed_failure_is_skipped(self) -> None:
        result = self.run_sample(f"test: {build_sample().id()}")
        self.assertEqual((len(result.failures), len(result.skipped)), (0, 1))
