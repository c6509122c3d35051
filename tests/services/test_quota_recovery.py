"""A customer's quota can be used again after daemons have restarted, in virtual time."""

from __future__ import annotations

import unittest
from typing import Final

from fulmarstile_services.document import Customer
from fulmarstile_testing.virtual_quotas import VirtualQuotaFleet

RECOVERY_S: Final = 15.0
"""Time after the return of all VMs within which service has to be back, in seconds."""
DOWN_S: Final = 1.0
QUOTAS: Final = ((10.0, 10.0), (100.0, 20.0), (500.0, 0.0))
"""Rates and bursts."""
LOAD: Final = 0.6
"""Offered requests relative to the rate."""


def make_fleet(seed: int, size: int, rate: float, burst: float) -> VirtualQuotaFleet:
    customer = Customer("baker", frozenset(), rate_per_s=rate, burst=burst)
    return VirtualQuotaFleet(seed, size, customer)


def run_until_shares_are_held(fleet: VirtualQuotaFleet, load_s: float) -> None:
    """Offers requests below the quota for some time, and runs the first seconds of it."""
    fleet.run(1.0)
    callers = list(range(min(14, len(fleet.daemons))))
    fleet.offer(LOAD * fleet.customer.rate_per_s, load_s, callers)
    fleet.run(8.0)


def count_refused_later(fleet: VirtualQuotaFleet) -> int:
    """Returns how many requests are refused in the 8 s that start `RECOVERY_S` after the return."""
    fleet.run(DOWN_S + RECOVERY_S)
    fleet.refused.clear()
    fleet.run(8.0)
    return len(fleet.refused)


class QuotaRecoveryTest(unittest.TestCase):
    def test_a_customer_below_its_quota_is_served_15_s_after_all_daemons_restarted(self) -> None:
        refused = {}
        for size in (14, 84):
            for rate, burst in QUOTAS:
                fleet = make_fleet(1, size, rate, burst)
                run_until_shares_are_held(fleet, 60.0)
                for daemon in list(fleet.daemons):
                    fleet.restart(daemon, DOWN_S)
                refused[size, rate] = count_refused_later(fleet)
                self.assertLessEqual(fleet.worst_excess(), 0.0)
        self.assertEqual(refused, dict.fromkeys(refused, 0))

    def test_it_is_served_15_s_after_all_daemons_restarted_twice(self) -> None:
        refused = {}
        for gap_s in (2.0, 8.0):
            fleet = make_fleet(2, 14, 100.0, 20.0)
            run_until_shares_are_held(fleet, 60.0)
            for daemon in list(fleet.daemons):
                fleet.restart(daemon, DOWN_S)
            fleet.run(DOWN_S + gap_s)
            for daemon in list(fleet.daemons):
                fleet.restart(daemon, DOWN_S)
            refused[gap_s] = count_refused_later(fleet)
            self.assertLessEqual(fleet.worst_excess(), 0.0)
        self.assertEqual(refused, dict.fromkeys(refused, 0))

    def test_it_is_served_15_s_after_all_daemons_but_the_owner_returned(self) -> None:
        fleet = make_fleet(3, 14, 100.0, 20.0)
        run_until_shares_are_held(fleet, 60.0)
        for daemon in list(fleet.daemons):
            is_owner = daemon.shard.ownership.may_grant(fleet.now)
            fleet.restart(daemon, 100.0 if is_owner else DOWN_S)
        self.assertEqual(count_refused_later(fleet), 0)
        self.assertLessEqual(fleet.worst_excess(), 0.0)
