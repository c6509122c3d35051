"""The real daemon serves every type of route on the stand-in of the users' platform."""

from __future__ import annotations

import subprocess
import sys
import unittest

TIMEOUT_S = 120
STATUSES = ("200", "200", "200", "200", "404")


class UsersPlatformTest(unittest.TestCase):
    def test_every_route_is_served_before_and_after_configuration_changes(self) -> None:
        command = [sys.executable, "-m", "fulmarstile_adapter_testing.demo"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S)
        self.assertEqual(result.returncode, 0, result.stderr)
        calls = [line.split()[-1] for line in result.stdout.splitlines() if "/" in line]
        self.assertEqual(tuple(calls), STATUSES * 3)
