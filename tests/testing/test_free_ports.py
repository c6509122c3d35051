"""Ports for processes that are started later, chosen by several runs at the same time."""

from __future__ import annotations

import unittest

from fulmarstile_testing.free_ports import PortBlocks

FLEET_PORTS = 257
"""Ports of a fleet of 64 daemons."""


class FreePortsTest(unittest.TestCase):
    def test_runs_at_the_same_time_choose_different_ports(self) -> None:
        runs = [PortBlocks() for _ in range(12)]
        self.addCleanup(lambda: [run.close() for run in runs])
        ports = [port for run in runs for port in run.find(17)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_a_large_fleet_gets_as_many_ports_as_it_asks_for(self) -> None:
        run = PortBlocks()
        self.addCleanup(run.close)
        self.assertEqual(len(set(run.find(FLEET_PORTS))), FLEET_PORTS)

    def test_ports_given_out_lately_are_given_out_last(self) -> None:
        run = PortBlocks()
        self.addCleanup(run.close)
        first = set(run.find(10))
        self.assertFalse(first & set(run.find(10)))


if __name__ == "__main__":
    unittest.main()
