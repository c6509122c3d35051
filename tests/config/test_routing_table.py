"""The routing table matches the longest path prefix and is immutable."""

from __future__ import annotations

import unittest

from fulmarstile_config import RoutingTable, compile_document
from fulmarstile_config.assembly import assemble_document
from fulmarstile_config.section import parse_section
from fulmarstile_testing.builders.config import POOLS, SERVICES

ROUTES = """
routes:
- {name: root, path: /, pool: planning, methods: [GET]}
- {name: any, path: /machines, pool: planning}
- {name: post, path: /machines, pool: reservations, methods: [POST]}
- {name: one, path: /machines/7/photos, pool: reservations, priority: low}
"""


def compile_routes(routes: str = ROUTES, version: int = 1) -> RoutingTable:
    bodies = {"services": SERVICES, "pools": POOLS, "routes": routes}
    sections = {name: parse_section(name, body) for name, body in bodies.items()}
    document = assemble_document(sections)
    return RoutingTable().replace_customer(compile_document("laundry", document, version))


class RoutingTableTest(unittest.TestCase):
    def test_longest_prefix_on_segment_boundaries_wins(self) -> None:
        table = compile_routes()
        for method, path, expected in (
            ("GET", "/", "root"),
            ("GET", "/machinesx", "root"),
            ("GET", "/machines", "any"),
            ("POST", "/machines/7", "post"),
            ("GET", "/machines/7/photos", "one"),
            ("POST", "/machines/7/photos/new/5?next=/", "one"),
            ("GET", "/machines/7/photosets", "any"),
            ("GET", "/?path=/machines", "root"),
            ("POST", "/machinesx", None),
            ("GET", "machines", "root"),
        ):
            with self.subTest(f"{method} {path}"):
                compiled = table.match("laundry", method, path)
                self.assertEqual(compiled and compiled.route.name, expected)

    def test_unknown_customer_matches_nothing(self) -> None:
        self.assertIsNone(compile_routes().match("dala-zher", "GET", "/"))

    def test_replacing_one_customer_leaves_the_former_table_unchanged(self) -> None:
        table = compile_routes()
        later = compile_routes("routes: []\n", version=2).documents["laundry"]
        replaced = table.replace_customer(later)
        self.assertEqual((table.versions, replaced.versions), ({"laundry": 1}, {"laundry": 2}))
        self.assertIsNone(replaced.match("laundry", "GET", "/machines"))
        self.assertIsNotNone(table.match("laundry", "GET", "/machines"))

    def test_path_with_many_segments_needs_no_more_look_ups_than_the_longest_route(self) -> None:
        document = compile_routes().documents["laundry"]
        lookups = CountingDict(document.routes_by_path)
        object.__setattr__(document, "routes_by_path", lookups)
        document.match("GET", "/a" * 100_000)
        self.assertLessEqual(lookups.count, len("/machines/7/photos"))


class CountingDict(dict):
    """Counts its look-ups."""

    count = 0

    def get(self, key: object, default: object = None) -> object:
        self.count += 1
        return super().get(key, default)
