"""A customer's quota holds in every window and can be used, in virtual time."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from fulmarstile_services.document import Customer
from fulmarstile_testing.known_red import pass_over_known_red
from fulmarstile_testing.virtual_quotas import VirtualQuotaFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.virtual_quotas import VirtualDaemon

QUOTAS = ((10.0, 10.0), (10.0, 0.0), (100.0, 20.0), (500.0, 0.0), (300.0, 300.0))
"""Rates and bursts."""
LOADS = (0.8, 3.0, 7.0)
"""Offered requests relative to the rate."""


def make_fleet(seed: int, size: int, rate: float, burst: float) -> VirtualQuotaFleet:
    customer = Customer("baker", frozenset(), rate_per_s=rate, burst=burst)
    return VirtualQuotaFleet(seed, size, customer)


class Faults:
    """Draws faults for a fleet.

    Args:
        fleet: The fleet.
    """

    def __init__(self, fleet: VirtualQuotaFleet) -> None:
        self._fleet = fleet
        self._random = fleet.random
        self._kinds: tuple[Callable[[], None], ...] = (
            lambda: self._each(self._freeze),
            lambda: self._each(self._restart),
            self._restart_all,
            self._cut,
            self._disturb_network,
            lambda: self._stop_store(0.0),
            lambda: self._stop_store(0.5),
            lambda: self._at_owners(self._freeze),
            lambda: self._at_owners(self._restart),
            self._heal,
            self._heal,
        )

    def inject(self) -> None:
        """Injects one fault, or ends those of network and store."""
        self._random.choice(self._kinds)()

    def _each(self, act: Callable[[VirtualDaemon], None]) -> None:
        daemons = self._fleet.daemons
        count = max(1, int(len(daemons) * self._random.choice((0.05, 0.3, 0.9))))
        for daemon in self._random.sample(daemons, count):
            act(daemon)

    def _at_owners(self, act: Callable[[VirtualDaemon], None]) -> None:
        for daemon in self._fleet.daemons:
            if daemon.shard.ownership.may_grant(self._fleet.now):
                act(daemon)

    def _freeze(self, daemon: VirtualDaemon) -> None:
        daemon.wakes_at = self._fleet.now + self._random.choice((0.3, 1.0, 2.4, 4.0, 8.0))

    def _restart(self, daemon: VirtualDaemon) -> None:
        if not daemon.is_down:
            self._fleet.restart(daemon, self._random.uniform(0.1, 3.0))

    def _restart_all(self) -> None:
        for daemon in list(self._fleet.daemons):
            self._restart(daemon)

    def _cut(self) -> None:
        for daemon in self._fleet.daemons:
            daemon.half = self._random.randrange(2)

    def _disturb_network(self) -> None:
        self._fleet.loss = self._random.choice((0.0, 0.1, 0.5))
        self._fleet.late = self._random.choice((0.0, 0.1, 0.6))

    def _stop_store(self, available_ratio: float) -> None:
        for daemon in self._fleet.daemons:
            daemon.has_store = self._random.random() < available_ratio

    def _heal(self) -> None:
        self._fleet.loss = self._fleet.late = 0.0
        for daemon in self._fleet.daemons:
            daemon.half, daemon.has_store = 0, True


class QuotaBoundTest(unittest.TestCase):
    def test_no_fault_lets_a_window_exceed_the_bound(self) -> None:
        for size, seeds, seconds in ((14, 30, 30.0), (84, 5, 20.0), (720, 1, 8.0)):
            for seed in range(seeds):
                with self.subTest(size=size, seed=seed):
                    self._check(size, seed, seconds)

    def _check(self, size: int, seed: int, seconds: float) -> None:
        rate, burst = QUOTAS[seed % len(QUOTAS)]
        fleet = make_fleet(seed, size, rate, burst)
        draw = fleet.random
        if seed % 2:
            for daemon in fleet.daemons:
                daemon.known = draw.sample(daemon.known, size // 2)
        callers = range(size) if draw.random() < 0.5 else draw.sample(range(size), 4)
        fleet.run(1.0)
        fleet.offer(LOADS[seed % len(LOADS)] * rate, seconds, list(callers))
        faults, end = Faults(fleet), fleet.now + seconds
        while fleet.now < end:
            fleet.run(draw.uniform(0.5, 3.0))
            faults.inject()
        self.assertGreater(len(fleet.accepted), 0)
        self.assertLessEqual(fleet.worst_excess(), 0.0)

    def test_two_halves_that_both_ask_for_7_times_the_quota_keep_the_bound(self) -> None:
        for owner_has_store in (False, True):
            with self.subTest(owner_has_store=owner_has_store):
                fleet = make_fleet(5, 14, 500.0, 0.0)
                fleet.run(1.0)
                fleet.offer(3500.0, 32.0, list(range(14)))
                fleet.run(6.0)
                (owner,) = (d for d in fleet.daemons if d.shard.ownership.may_grant(fleet.now))
                others = [daemon for daemon in fleet.daemons if daemon is not owner]
                for daemon in (owner, *others[:6]):
                    daemon.half = 1
                for daemon in fleet.daemons:
                    daemon.has_store = (daemon.half == 1) == owner_has_store
                fleet.run(26.0)
                self.assertLessEqual(fleet.worst_excess(), 0.0)

    def test_a_share_is_not_used_by_a_daemon_that_no_owner_knows(self) -> None:
        fleet = make_fleet(1, 14, 100.0, 20.0)
        for daemon in fleet.daemons:
            daemon.has_store = False
        fleet.offer(500.0, 3.0, list(range(14)))
        fleet.run(3.0)
        self.assertEqual(fleet.accepted, [])


class QuotaUseTest(unittest.TestCase):
    def _use(self, size: int, quota: tuple[float, float], load: float, callers: int) -> float:
        """Returns the accepted requests per second while the callers move every 2 s."""
        fleet = make_fleet(2, size, *quota)
        fleet.run(2.0)
        before = len(fleet.accepted)
        for _ in range(5):
            places = fleet.random.sample(range(size), callers)
            fleet.offer(load * quota[0], 2.0, places)
            fleet.run(2.0)
        self.assertLessEqual(fleet.worst_excess(), 0.0)
        self.refused = len(fleet.refused)
        return (len(fleet.accepted) - before) / 10.0

    def test_a_customer_below_its_quota_is_not_refused_while_its_demand_moves(self) -> None:
        for size in (14, 84, 720):
            for quota, callers in (((10.0, 10.0), 4), ((100.0, 20.0), 14), ((500.0, 50.0), 14)):
                with self.subTest(size=size, quota=quota):
                    self._use(size, quota, 0.9, callers)
                    self.assertEqual(self.refused, 0)

    def test_95_percent_of_the_quota_are_used_by_a_customer_that_asks_for_7_times_as_much(
        self,
    ) -> None:
        for size, quota, callers in (
            (14, (500.0, 0.0), 14),
            (84, (10.0, 0.0), 4),
            (84, (500.0, 0.0), 3),
            (84, (500.0, 0.0), 84),
        ):
            with self.subTest(size=size, quota=quota, callers=callers):
                self.assertGreaterEqual(self._use(size, quota, 7.0, callers), 0.95 * quota[0])

    @pass_over_known_red
    def test_a_customer_below_its_quota_is_not_refused_after_the_owner_was_killed(self) -> None:
        fleet = make_fleet(3, 84, 100.0, 20.0)
        fleet.run(2.0)
        fleet.offer(50.0, 20.0, list(range(14)))
        fleet.run(8.0)
        for daemon in list(fleet.daemons):
            if daemon.shard.ownership.may_grant(fleet.now):
                fleet.restart(daemon, 30.0)
        fleet.run(12.0)
        self.assertEqual(fleet.refused, [])
