"""Evidence that is late, repeated, out of order or from a restarted daemon is counted once."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from fulmarstile_services.rollouts.counter import EvidenceCounter
from fulmarstile_services.rollouts.evidence import ALL_ROUTES, EvidenceTable
from fulmarstile_services.rollouts.histogram import BUCKET_COUNT, find_bucket, upper_bound_s

if TYPE_CHECKING:
    from fulmarstile_wire.rollouts import UpstreamEvidence


def build_counter(name: str = "d-1", incarnation: int = 1, version: str = "v2") -> EvidenceCounter:
    return EvidenceCounter(name, incarnation, f"u-{name}", 5, version)


def export_history(counter: EvidenceCounter, reports: int = 20) -> list[UpstreamEvidence]:
    history = []
    for number in range(1, reports + 1):
        counter.on_completed("read", 0.01)
        counter.on_failed("write", 0.02)
        history.append(counter.export(number / 4, number % 3, 0))
    return history


def describe(table: EvidenceTable) -> tuple[object, ...]:
    total = table.target[ALL_ROUTES].total
    return total.completed, total.failed, table.count_requests(is_target=True)


class EvidenceTableTest(unittest.TestCase):
    def test_repeated_and_reordered_reports_are_counted_once(self) -> None:
        history = export_history(build_counter())
        for seed in range(20):
            shuffled = history * 2
            random.Random(seed).shuffle(shuffled)
            table = EvidenceTable("v2", 12.0)
            for evidence in shuffled:
                table.merge(evidence, 6.0)
            with self.subTest(seed=seed):
                self.assertEqual(describe(table), (40.0, 20.0, 42))

    def test_a_request_without_a_route_is_counted_once(self) -> None:
        table = EvidenceTable("v2", 12.0)
        counter = build_counter()
        counter.on_failed(ALL_ROUTES, 0.01)
        table.merge(counter.export(1.0, 0, 0), 1.0)
        self.assertEqual(table.target[ALL_ROUTES].total.failed, 1.0)

    def test_the_counts_of_a_restarted_daemon_are_added(self) -> None:
        table = EvidenceTable("v2", 12.0)
        old = export_history(build_counter(incarnation=1))
        new = export_history(build_counter(incarnation=2), reports=3)
        for evidence in (*new, *old):
            table.merge(evidence, 6.0)
        self.assertEqual(table.target[ALL_ROUTES].total.completed, 46.0)

    def test_a_late_report_is_attributed_to_the_seconds_it_was_counted_in(self) -> None:
        table = EvidenceTable("v2", 12.0)
        counter = build_counter()
        table.merge(counter.export(1.0, 0, 0), 1.0)
        counter.on_failed("read", 0.01)
        table.merge(counter.export(1.25, 0, 0), 9.0)
        bins = table.target["read"].bins
        self.assertEqual([number for number in bins if bins[number].failed], [5])

    def test_a_report_from_before_the_promotion_does_not_prove_that_requests_have_ended(
        self,
    ) -> None:
        table = EvidenceTable("v2", 12.0)
        counter = build_counter(version="v1")
        table.merge(counter.export(10.0, 0, 0), 11.3)
        self.assertEqual(table.list_unfinished(["d-1"], 11.2), ["d-1"])
        table.merge(counter.export(11.25, 1, 0), 11.3)
        self.assertEqual(table.list_unfinished(["d-1"], 11.2), ["d-1"])
        table.merge(counter.export(11.5, 0, 0), 11.5)
        self.assertEqual(table.list_unfinished(["d-1"], 11.2), [])


class HistogramTest(unittest.TestCase):
    def test_every_service_time_lies_within_the_bounds_of_its_bucket(self) -> None:
        for service_s in (0.0, 0.0005, 0.0006, 0.01, 0.5, 59.0):
            bucket = find_bucket(service_s)
            self.assertLessEqual(service_s, upper_bound_s(bucket) * 1.000001)
            if bucket:
                self.assertGreater(service_s, upper_bound_s(bucket - 1))
        self.assertEqual(find_bucket(1e9), BUCKET_COUNT - 1)
