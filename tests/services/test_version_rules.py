"""Which versions may serve apart from a running roll-out."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from fulmarstile_services.rollouts.version_rules import HOLD_S, SeenVersions, VersionRules
from fulmarstile_testing.builders.services import make_member
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from fulmarstile_wire.services import Member

STARTED_MS = 100_000
OLD_MS = 50_000
NOW = 10.0


def make_versioned(version: str, born_ms: int = OLD_MS) -> Member:
    return make_member(f"{version}-{born_ms}", upstream_version=version, upstream_born_ms=born_ms)


class VersionRulesTest(unittest.TestCase):
    def test_a_version_rolled_back_serves_again_only_after_a_new_order(self) -> None:
        rules = VersionRules().on_final("v2", RolloutPhase.ROLLED_BACK)
        self.assertFalse(rules.allows("v2"))
        self.assertTrue(rules.allows("v1"))
        later = rules.on_order("v3").on_final("v3", RolloutPhase.ROLLED_BACK)
        self.assertFalse(later.allows("v2"))
        self.assertTrue(later.on_order("v2").allows("v2"))

    def test_after_a_completion_only_the_target_serves(self) -> None:
        rules = VersionRules().on_final("v2", RolloutPhase.COMPLETED)
        allowed = [version for version in ("v1", "v2", "v3", "") if rules.allows(version)]
        self.assertEqual(allowed, ["v2"])

    def test_a_failed_order_for_the_version_in_force_does_not_stop_the_service(self) -> None:
        rules = VersionRules().on_final("v2", RolloutPhase.COMPLETED)
        self.assertTrue(rules.on_order("v2").on_final("v2", RolloutPhase.ROLLED_BACK).allows("v2"))


class SeenVersionsTest(unittest.TestCase):
    def test_a_version_that_comes_later_is_held_for_a_while(self) -> None:
        seen = SeenVersions(STARTED_MS)
        seen.observe([make_versioned("v1")], NOW, orders_known=True)
        newer = [make_versioned("v1"), make_versioned("v2", STARTED_MS + 60_000)]
        self.assertEqual(seen.observe(newer, NOW + 60, orders_known=True), ["v2"])
        self.assertFalse(seen.is_held("v1", NOW + 60, orders_known=True))
        self.assertTrue(seen.is_held("v2", NOW + 60 + HOLD_S - 0.1, orders_known=True))
        self.assertFalse(seen.is_held("v2", NOW + 60 + HOLD_S, orders_known=True))
        self.assertEqual(seen.next_release(NOW + 60, orders_known=True), NOW + 60 + HOLD_S)

    def test_versions_that_served_before_the_daemon_started_are_not_held(self) -> None:
        seen = SeenVersions(STARTED_MS)
        members = [make_versioned("v1"), make_versioned("v0", OLD_MS + 1)]
        self.assertEqual(seen.observe(members, NOW, orders_known=True), [])

    def test_a_version_that_started_with_the_daemon_is_held(self) -> None:
        seen = SeenVersions(STARTED_MS)
        members = [make_versioned("v2", STARTED_MS - 1_000), make_versioned("v1")]
        self.assertEqual(seen.observe(members, NOW, orders_known=True), ["v2"])

    def test_only_the_oldest_version_serves_while_the_orders_are_unknown(self) -> None:
        seen = SeenVersions(STARTED_MS)
        members = [make_versioned("v2", OLD_MS + 1), make_versioned("v1")]
        self.assertEqual(seen.observe(members, NOW, orders_known=False), ["v2"])
        self.assertFalse(seen.is_held("v1", NOW, orders_known=False))
        self.assertTrue(seen.is_held("v2", NOW + 60, orders_known=False))
