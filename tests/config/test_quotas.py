"""Quotas limit what a flood of publications costs, per team and per customer."""

from __future__ import annotations

import unittest
from unittest import mock

from fulmarstile_config import FoldLimits, RefusalCode, encode_record
from fulmarstile_config import publication_rules as rules_module
from fulmarstile_testing.builders.config import LIMITS, POOLS, ROUTES, TEAMS, StreamBuilder

LOW_LIMITS = FoldLimits(
    verifications_per_min=20, publications_per_min=5, recent_publications=16, recent_unverified=8
)
MINUTE_MS = 60_000


class QuotaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder(LOW_LIMITS).publish_document()
        self.fold = self.stream.fold
        self.start_minute()

    def start_minute(self) -> None:
        self.stream.append(b"garbage", after_ms=MINUTE_MS)

    def flood(self, team: str, count: int, key: str = "") -> list[RefusalCode | None]:
        codes = []
        for number in range(count):
            body = LIMITS.replace("500", str(1000 + number))
            publication = self.stream.make_publication(team, {"limits": body}, key=key)
            self.stream.append(encode_record(publication), after_ms=1)
            refusal = self.fold.find_verdict(publication.publication_id).refusal
            codes.append(refusal.code if refusal else None)
        return codes

    def test_team_over_its_quota_is_refused_while_another_team_can_publish(self) -> None:
        codes = self.flood("web", 50)
        self.assertEqual(codes, [None] * 5 + [RefusalCode.QUOTA] * 45)
        self.assertTrue(self.stream.publish("platform", {"pools.more": "pools: []\n"}).accepted)

    def test_quota_resets_in_the_next_minute(self) -> None:
        self.flood("web", 50)
        self.start_minute()
        self.assertEqual(self.flood("web", 1), [None])

    def test_forged_flood_costs_a_bounded_number_of_verifications(self) -> None:
        with mock.patch.object(
            rules_module, "is_valid_signature", wraps=rules_module.is_valid_signature
        ) as verify:
            codes = self.flood("web", 500, key="platform")
        self.assertEqual(verify.call_count, LOW_LIMITS.verifications_per_min)
        self.assertEqual(codes[-1], RefusalCode.QUOTA)

    def test_forged_flood_evicts_no_verdict_on_a_verified_publication(self) -> None:
        before = [verdict for verdict in self.fold.history if verdict.accepted]
        self.flood("web", 500, key="platform")
        after = [verdict for verdict in self.fold.history if verdict.accepted]
        self.assertEqual(after, before)
        self.assertEqual(len(self.fold.history), len(before) + LOW_LIMITS.recent_unverified)

    def test_forged_flood_makes_no_publication_stale(self) -> None:
        delayed = self.stream.make_publication("web", {"routes": ROUTES.replace("high", "low")})
        self.flood("web", 500, key="platform")
        self.start_minute()
        self.assertTrue(self.stream.send(delayed).accepted)

    def test_body_bytes_of_a_team_are_limited_per_minute(self) -> None:
        stream = StreamBuilder(FoldLimits(body_bytes_per_min=100_000)).publish_document()
        large = {"limits": LIMITS + "#" * 40_000}
        codes = [stream.publish("web", large).refusal for _ in range(4)]
        self.assertEqual([code and code.code for code in codes[:2]], [None, None])
        self.assertEqual(codes[2].code, RefusalCode.QUOTA)

    def test_body_bytes_of_all_teams_together_are_limited_per_minute(self) -> None:
        limits = FoldLimits(customer_body_bytes_per_min=100_000)
        stream = StreamBuilder(limits).publish_document()
        stream.append(b"garbage", after_ms=MINUTE_MS)
        padding = "#" * 40_000
        self.assertTrue(stream.publish("web", {"limits": LIMITS + padding}).accepted)
        self.assertTrue(stream.publish("platform", {"pools": POOLS + padding}).accepted)
        refusal = stream.publish("owner", {"teams": TEAMS + padding}).refusal
        self.assertEqual(refusal.code, RefusalCode.QUOTA)

    def test_quota_usage_is_restored_from_a_snapshot(self) -> None:
        self.flood("web", 50)
        restored = StreamBuilder(LOW_LIMITS).fold
        self.assertTrue(restored.restore_snapshot(self.fold.encode_snapshot()))
        self.flood("web", 1)
        restored.on_record(self.stream.records[-1])
        self.assertEqual(restored.history, self.fold.history)

    def test_publication_refused_over_quota_may_be_sent_again(self) -> None:
        self.flood("web", 5)
        publication = self.stream.make_publication("web", {"limits": LIMITS})
        self.assertEqual(self.stream.send(publication).refusal.code, RefusalCode.QUOTA)
        self.start_minute()
        self.assertTrue(self.stream.send(publication).accepted)
