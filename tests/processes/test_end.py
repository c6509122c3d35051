"""The process of a daemon that has ended is gone at once, also if it is short of processor time."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

RUN = """
import atexit, runpy
atexit.register(print, "the interpreter was torn down")
runpy.run_module("fulmarstile_adapter", run_name="__main__")
"""


class ProcessEndTest(unittest.TestCase):
    def test_the_interpreter_is_not_torn_down_but_errors_are_written(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", RUN],
            env={**os.environ, "FULMARSTILE_NODE_FILE": "/nonexistent"},
            capture_output=True,
            timeout=60.0,
            check=False,
        )
        self.assertEqual(ended.returncode, os.EX_CONFIG)
        self.assertEqual(ended.stdout, b"")
        self.assertIn(b"/nonexistent", ended.stderr)


if __name__ == "__main__":
    unittest.main()
