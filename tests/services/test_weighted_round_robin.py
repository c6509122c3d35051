"""Requests are spread over the destinations of a route by weight."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from fulmarstile_services.document import WeightedDestination
from fulmarstile_services.weighted_round_robin import WeightedRoundRobin
from fulmarstile_testing.builders.services import make_route

DESTINATIONS = (WeightedDestination("shop", 7.0), WeightedDestination("stock", 3.0))


class WeightedRoundRobinTest(unittest.TestCase):
    def test_every_run_of_requests_is_spread_by_weight(self) -> None:
        for seed in range(50):
            rotation = WeightedRoundRobin(random.Random(seed))
            chosen = [rotation.choose(make_route(destinations=DESTINATIONS)) for _ in range(60)]
            for start in range(40):
                counts = Counter(chosen[start : start + 20])
                self.assertAlmostEqual(counts["shop"] / 20, 0.7, delta=0.1)

    def test_daemons_do_not_start_with_the_same_service(self) -> None:
        route = make_route(destinations=DESTINATIONS)
        first = Counter(
            WeightedRoundRobin(random.Random(seed)).choose(route) for seed in range(200)
        )
        self.assertGreater(first["stock"], 20)

    def test_new_weights_take_effect_with_the_next_request(self) -> None:
        rotation = WeightedRoundRobin(random.Random(1))
        rotation.choose(make_route(destinations=DESTINATIONS))
        changed = (WeightedDestination("shop", 0.0), WeightedDestination("stock", 1.0))
        chosen = {rotation.choose(make_route(destinations=changed)) for _ in range(20)}
        self.assertEqual(chosen, {"stock"})

    def test_a_destination_with_weight_zero_gets_nothing(self) -> None:
        rotation = WeightedRoundRobin(random.Random(1))
        destinations = (WeightedDestination("shop", 1.0), WeightedDestination("stock", 0.0))
        chosen = {rotation.choose(make_route(destinations=destinations)) for _ in range(20)}
        self.assertEqual(chosen, {"shop"})
