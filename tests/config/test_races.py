"""One of several conflicting publications wins, and resending or replaying one changes nothing."""

from __future__ import annotations

import unittest

from fulmarstile_config import FoldLimits, RefusalCode, encode_record
from fulmarstile_testing.builders.config import LIMITS, ROUTES, StreamBuilder, make_fold

FASTER = LIMITS.replace("500", "900")
SLOWER = LIMITS.replace("500", "100")


class RaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder().publish_document()
        self.fold = self.stream.fold

    def test_stale_base_version_is_refused_naming_the_winner(self) -> None:
        first = self.stream.make_publication("web", {"limits": FASTER}, publication_id="first")
        second = self.stream.make_publication("owner", {"limits": SLOWER}, publication_id="second")
        self.assertTrue(self.stream.send(first).accepted)
        refusal = self.stream.send(second).refusal
        self.assertEqual(refusal.code, RefusalCode.CONFLICT)
        for part in ("'web'", "version 4", "'first'"):
            self.assertIn(part, refusal.reason)
        self.assertEqual(self.fold.document.limits[0].calls_per_s, 900)

    def test_change_of_a_removed_section_is_refused_naming_who_removed_it(self) -> None:
        self.stream.publish("web", {"routes.old": "routes: []\n"})
        late = self.stream.make_publication("web", {"routes.old": ROUTES})
        self.stream.publish("owner", {"routes.old": ""}, publication_id="cleaning")
        refusal = self.stream.send(late).refusal
        self.assertEqual(refusal.code, RefusalCode.CONFLICT)
        self.assertIn("team 'owner' removed it at version 5", refusal.reason)
        self.assertIn("'cleaning'", refusal.reason)

    def test_publication_that_loses_a_race_for_one_section_changes_none(self) -> None:
        both = self.stream.make_publication(
            "owner", {"limits": FASTER, "routes": ROUTES.replace("critical", "high")}
        )
        self.stream.publish("web", {"limits": SLOWER})
        self.assertEqual(self.stream.send(both).refusal.code, RefusalCode.CONFLICT)
        self.assertEqual(self.fold.document.routes[1].priority, "critical")

    def test_resent_publication_keeps_its_first_verdict(self) -> None:
        publication = self.stream.make_publication("web", {"limits": FASTER})
        first = self.stream.send(publication)
        self.stream.publish("web", {"limits": SLOWER})
        self.assertEqual(self.stream.send(publication), first)
        self.assertEqual(self.fold.version, 5)
        self.assertEqual(self.fold.document.limits[0].calls_per_s, 100)

    def test_forged_record_cannot_claim_the_identifier_of_a_publication(self) -> None:
        publication = self.stream.make_publication("web", {"limits": FASTER})
        forged = self.stream.make_publication(
            "web",
            {"limits": SLOWER},
            publication_id=publication.publication_id,
            key="platform",
        )
        self.assertEqual(self.stream.send(forged).refusal.code, RefusalCode.BAD_SIGNATURE)
        self.assertTrue(self.stream.send(publication).accepted)

    def test_teams_may_choose_the_same_identifier(self) -> None:
        self.stream.publish("platform", {"pools.more": "pools: []\n"}, publication_id="release-1")
        verdict = self.stream.publish("web", {"limits": FASTER}, publication_id="release-1")
        self.assertEqual((verdict.team, verdict.accepted), ("web", True))


class ReplayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = FoldLimits(recent_publications=8)
        self.stream = StreamBuilder(self.limits).publish_document()

    def evict_verdicts(self) -> None:
        """Publishes until no earlier verdict is kept."""
        for number in range(self.limits.recent_publications):
            body = LIMITS.replace("500", str(1000 + number))
            self.assertTrue(self.stream.publish("web", {"limits": body}).accepted)

    def test_refused_publication_is_not_accepted_once_it_would_be_valid(self) -> None:
        routes = ROUTES.replace("pool: planning", "pool: laundry-ops")
        refused = self.stream.make_publication("web", {"routes": routes})
        self.assertEqual(self.stream.send(refused).refusal.code, RefusalCode.DANGLING_REFERENCE)
        pool = "pools:\n- name: laundry-ops\n  service: planning\n"
        self.assertTrue(self.stream.publish("platform", {"pools.ops": pool}).accepted)
        self.assertFalse(self.stream.send(refused).accepted)
        self.evict_verdicts()
        self.assertEqual(self.stream.send(refused).refusal.code, RefusalCode.REPLAYED)
        self.assertEqual(self.stream.fold.document.routes[0].pool, "planning")

    def test_creation_of_a_section_is_not_accepted_again_after_its_removal(self) -> None:
        creation = self.stream.make_publication("web", {"routes.old": "routes: []\n"})
        self.assertTrue(self.stream.send(creation).accepted)
        self.assertTrue(self.stream.publish("web", {"routes.old": ""}).accepted)
        self.assertTrue(self.stream.send(creation).accepted, "the first verdict is kept")
        self.assertNotIn("routes.old", self.stream.fold.sections)
        self.evict_verdicts()
        self.assertEqual(self.stream.send(creation).refusal.code, RefusalCode.REPLAYED)
        self.assertNotIn("routes.old", self.stream.fold.sections)

    def test_publication_made_for_a_later_state_is_refused(self) -> None:
        publication = self.stream.make_publication("web", {"limits": FASTER}, base_sequence=99)
        self.assertEqual(self.stream.send(publication).refusal.code, RefusalCode.REPLAYED)

    def test_publication_of_another_customer_is_refused_under_the_same_owner_key(self) -> None:
        other = make_fold(self.limits, customer="dala-zher")
        publication = self.stream.make_publication("owner", {"services": "services: []\n"})
        self.stream.append(encode_record(publication))
        self.stream.replay(other)
        self.assertEqual(other.version, 0)
        codes = {verdict.refusal.code for verdict in other.history}
        self.assertEqual(codes, {RefusalCode.WRONG_CUSTOMER})
