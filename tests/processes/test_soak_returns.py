"""A short soak: real daemons of customers with quotas are killed at once and come back."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_adapter_testing.soak_returns import ReturnSettings, run_soak


class ReturnSoakTest(unittest.TestCase):
    def test_customers_below_their_quota_are_served_15_s_after_all_daemons_were_killed(
        self,
    ) -> None:
        report = trio.run(run_soak, ReturnSettings(seed=1))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.statuses["baker 200"], 0)


if __name__ == "__main__":
    unittest.main()
