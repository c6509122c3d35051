"""The overlay stays connected with a bounded degree."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_mesh.overlay import choose_peers, rank_candidates
from fulmarstile_testing.builders.mesh import build_record

if TYPE_CHECKING:
    from fulmarstile_wire.records import MemberRecord

ZONE_RINGS = 2
GLOBAL_RINGS = 1
MAX_DEGREE = 8


def build_links(records: list[MemberRecord]) -> dict[str, set[str]]:
    return {
        record.daemon_id: {
            peer.daemon_id for peer in choose_peers(record, records, ZONE_RINGS, GLOBAL_RINGS)
        }
        for record in records
    }


def count_reached(links: dict[str, set[str]], dead: str = "") -> int:
    alive = sorted(set(links) - {dead})
    reached = {alive[0]}
    frontier = [alive[0]]
    while frontier:
        for peer in sorted(links[frontier.pop()] - reached - {dead}):
            reached.add(peer)
            frontier.append(peer)
    return len(reached)


class OverlayTest(unittest.TestCase):
    @settings(max_examples=40, derandomize=True, deadline=None)
    @given(st.sets(st.integers(0, 5000), min_size=2, max_size=150))
    def test_links_are_mutual_bounded_and_connect_all_members(self, numbers: set[int]) -> None:
        records = [build_record(number) for number in sorted(numbers)]
        links = build_links(records)
        self.assertEqual(count_reached(links), len(records))
        for daemon_id, peers in links.items():
            self.assertNotIn(daemon_id, peers)
            self.assertLessEqual(len(peers), MAX_DEGREE)
            for peer in peers:
                self.assertIn(daemon_id, links[peer])

    def test_any_single_death_leaves_the_others_connected(self) -> None:
        records = [build_record(number) for number in range(90)]
        links = build_links(records)
        for record in records:
            self.assertEqual(count_reached(links, dead=record.daemon_id), len(records) - 1)

    def test_a_new_member_changes_the_links_of_few_members(self) -> None:
        records = [build_record(number) for number in range(90)]
        before = build_links(records)
        after = build_links([*records, build_record(90)])
        changed = [daemon_id for daemon_id in before if before[daemon_id] != after[daemon_id]]
        self.assertLessEqual(len(changed), MAX_DEGREE)

    def test_different_purposes_are_spread_over_the_members(self) -> None:
        records = [build_record(number) for number in range(30)]
        chosen = {rank_candidates(records, f"duty {n}")[0].daemon_id for n in range(100)}
        self.assertGreater(len(chosen), len(records) // 2)
