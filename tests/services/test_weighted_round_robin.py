"""The requests of a split route keep to the weights."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from fulmarstile_services.document import WeightedDestination
from fulmarstile_services.weighted_round_robin import WeightedRoundRobin
from fulmarstile_testing.builders.services import make_route

PARTS = (WeightedDestination("shop", 7.0), WeightedDestination("stock", 3.0))


class ServiceRotationTest(unittest.TestCase):
    def test_every_span_of_requests_keeps_the_shares(self) -> None:
        for seed in range(50):
            split = WeightedRoundRobin(random.Random(seed))
            chosen = [split.choose(make_route(destinations=PARTS)) for _ in range(60)]
            for start in range(40):
                counts = Counter(chosen[start : start + 20])
                self.assertAlmostEqual(counts["shop"] / 20, 0.7, delta=0.1)

    def test_daemons_do_not_start_with_the_same_service(self) -> None:
        route = make_route(destinations=PARTS)
        first = Counter(
            WeightedRoundRobin(random.Random(seed)).choose(route) for seed in range(200)
        )
        self.assertGreater(first["stock"], 20)

    def test_new_weights_take_effect_with_the_next_request(self) -> None:
        split = WeightedRoundRobin(random.Random(1))
        split.choose(make_route(destinations=PARTS))
        turned = (WeightedDestination("shop", 0.0), WeightedDestination("stock", 1.0))
        chosen = {split.choose(make_route(destinations=turned)) for _ in range(20)}
        self.assertEqual(chosen, {"stock"})

    def test_a_part_without_weight_gets_nothing(self) -> None:
        split = WeightedRoundRobin(random.Random(1))
        destinations = (WeightedDestination("shop", 1.0), WeightedDestination("stock", 0.0))
        chosen = {split.choose(make_route(destinations=destinations)) for _ in range(20)}
        self.assertEqual(chosen, {"shop"})
