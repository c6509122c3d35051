"""Requests leave an availability zone only while, and only as far as, that serves callers."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from fulmarstile_services.zone_spillover import ZoneSpillover, marginal_wait
from fulmarstile_testing.virtual_service import ServiceShape
from fulmarstile_testing.virtual_zones import VirtualZones

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.virtual_service import PlacingResult

SHAPE = ServiceShape(27, 5, service_s=0.19, speeds=(0.7, 0.7, 1.6), target_s=0.8, zones=3)
ENTRIES = 60
DURATION_S = 16.0
SETTLED_AT = 6.0
"""Time from which a share counts as settled, in seconds."""
PENALTY_S = 0.17
SERVICE_S = 0.19


def demand_of(*weights: float) -> Callable[[str, float], float]:
    """Returns the relative demand of zones that doesn't change."""
    by_zone = {f"zone-{number}": weight for number, weight in enumerate(weights)}
    return lambda zone, now: by_zone[zone]


class ZoneSpilloverLoadTest(unittest.TestCase):
    def play(
        self, load: float, demand: Callable[[str, float], float], *, spills: bool = True
    ) -> tuple[PlacingResult, VirtualZones]:
        zones = VirtualZones(SHAPE, ENTRIES, 1, demand, spills=spills)
        return zones.run(load, DURATION_S), zones

    def served(self, result: PlacingResult, zone: str) -> float:
        return result.in_target_by_zone[zone] / result.asked_by_zone[zone]

    def mean_share(self, zones: VirtualZones, zone: str) -> float:
        shares = [share for at, home, share in zones.shares if home == zone and at >= SETTLED_AT]
        return sum(shares) / len(shares)

    def test_a_zone_that_is_short_sends_about_what_it_lacks_and_harms_no_other_zone(self) -> None:
        # Demand of the first zone is 1.2, 1.5 and 2 times what its own upstreams can run.
        for load, weights, lacks in (
            (0.8, (1.5, 0.75, 0.75), 1 / 6),
            (0.8, (1.875, 0.5625, 0.5625), 1 / 3),
            (0.8, (2.5, 0.25, 0.25), 1 / 2),
        ):
            with self.subTest(weights=weights):
                result, zones = self.play(load, demand_of(*weights))
                before, _ = self.play(load, demand_of(*weights), spills=False)
                self.assertGreater(self.served(result, "zone-0"), self.served(before, "zone-0"))
                self.assertGreaterEqual(self.served(result, "zone-1"), 0.98)
                self.assertGreater(self.mean_share(zones, "zone-0"), lacks)
                self.assertLess(self.mean_share(zones, "zone-0"), lacks + 0.2)

    def test_two_zones_that_are_short_share_the_room_of_the_third(self) -> None:
        result, zones = self.play(0.85, demand_of(1.4, 1.4, 0.2))
        for zone in ("zone-0", "zone-1", "zone-2"):
            self.assertGreaterEqual(self.served(result, zone), 0.97)
        self.assertLess(
            abs(self.mean_share(zones, "zone-0") - self.mean_share(zones, "zone-1")), 0.1
        )

    def test_no_request_leaves_while_all_zones_are_short(self) -> None:
        _, zones = self.play(1.3, demand_of(1.0, 1.0, 1.0))
        for zone in ("zone-0", "zone-1", "zone-2"):
            self.assertLess(self.mean_share(zones, zone), 0.03)

    def test_nearly_no_request_leaves_while_every_zone_has_room(self) -> None:
        result, _ = self.play(0.7, demand_of(1.0, 1.0, 1.0))
        self.assertLess(result.crossings / result.asked, 0.02)

    def test_the_share_follows_demand_that_moves_between_zones(self) -> None:
        def demand(zone: str, now: float) -> float:
            return 2.0 if zone == f"zone-{int(now / 5.0) % 3}" else 0.5

        result, _ = self.play(0.75, demand)
        before, _ = self.play(0.75, demand, spills=False)
        self.assertGreater(result.in_target / result.asked, before.in_target / before.asked)

    def test_the_shares_of_many_daemons_settle_without_oscillation(self) -> None:
        _, zones = self.play(0.8, demand_of(1.875, 0.5625, 0.5625))
        by_second: dict[int, list[float]] = {}
        for at, home, share in zones.shares:
            if home == "zone-0" and SETTLED_AT <= at < DURATION_S:
                by_second.setdefault(int(at), []).append(share)
        means = [sum(shares) / len(shares) for shares in by_second.values()]
        self.assertLess(max(means) - min(means), 0.25)


class ZoneSpilloverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.spillover = ZoneSpillover("a")

    def adjust(self, local: float, other: float, penalty_s: float, *, until: float) -> None:
        for step in range(int(until / 0.1)):
            now = step * 0.1
            self.spillover.on_load("a", local, SERVICE_S, now)
            self.spillover.on_load("b", other, SERVICE_S, now)
            self.spillover.adjust(("b",), penalty_s, now)

    def test_a_zone_that_is_lost_gets_no_more_requests_at_once(self) -> None:
        self.adjust(2.0, 0.2, PENALTY_S, until=4.0)
        self.assertGreater(self.spillover.shares()["b"], 0.5)
        self.spillover.adjust((), PENALTY_S, 4.0)
        self.assertEqual(self.spillover.shares(), {})
        self.assertEqual(self.spillover.choose(random.Random(1)), "a")

    def test_a_zone_whose_load_is_unknown_loses_its_requests(self) -> None:
        self.adjust(2.0, 0.2, PENALTY_S, until=2.0)
        share = self.spillover.shares()["b"]
        for step in range(60):
            now = 2.0 + step * 0.1
            self.spillover.on_load("a", 2.0, SERVICE_S, now)
            self.spillover.adjust(("b",), PENALTY_S, now)
        self.assertLess(self.spillover.shares().get("b", 0.0), share)

    def test_a_slower_link_keeps_requests_in_the_zone(self) -> None:
        self.adjust(1.2, 0.5, PENALTY_S, until=4.0)
        near = self.spillover.shares().get("b", 0.0)
        self.adjust(1.2, 0.5, 1.0, until=4.0)
        self.assertGreater(near, 0.0)
        self.assertEqual(self.spillover.shares(), {})

    def test_one_more_request_costs_a_busy_zone_more_than_its_own_wait(self) -> None:
        loads = [step / 10 for step in range(1, 40)]
        costs = [marginal_wait(load) for load in loads]
        self.assertEqual(costs, sorted(costs))
        for load, cost in zip(loads, costs, strict=True):
            own_wait = 0.5 * load * load if load < 1.0 else load - 0.5
            self.assertGreater(cost, own_wait)
