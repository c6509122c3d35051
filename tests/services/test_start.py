"""The daemon starts without modules that it doesn't need; each start is time without service."""

from __future__ import annotations

import subprocess
import sys
import unittest

SLOW_MODULES = ("asyncio", "loguru", "pynng", "cryptography", "numpy")


class StartTest(unittest.TestCase):
    def test_the_daemon_process_imports_no_slow_modules(self) -> None:
        program = (
            "import sys, fulmarstile_adapter.__main__\n"
            f"print([name for name in {SLOW_MODULES!r} if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")
