"""A daemon starts without what it does not need, since each start is time without service."""

from __future__ import annotations

import subprocess
import sys
import unittest

COSTLY = ("asyncio", "loguru", "pynng", "cryptography", "numpy")


class StartTest(unittest.TestCase):
    def test_the_daemon_of_the_users_platform_loads_no_costly_module(self) -> None:
        program = (
            "import sys, fulmarstile_adapter.__main__\n"
            f"print([name for name in {COSTLY!r} if name in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")
