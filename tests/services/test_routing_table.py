"""The route of a request is the one with the longest prefix of its path."""

from __future__ import annotations

import unittest

from fulmarstile_services.document import DocumentError, WeightedDestination
from fulmarstile_services.routing_table import RoutingTable
from fulmarstile_testing.builders.services import make_document, make_route


class RoutingTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RoutingTable(
            make_document(make_route(prefix="/a/"), make_route(prefix="/a/b/"))
        )

    def test_the_longest_prefix_wins(self) -> None:
        route = self.table.find("shop.example", "/a/b/c")
        self.assertEqual(route and route.prefix, "/a/b/")

    def test_a_prefix_matches_whole_segments_only(self) -> None:
        route = self.table.find("shop.example", "/a/bc")
        self.assertEqual(route and route.prefix, "/a/")
        self.assertIsNone(self.table.find("shop.example", "/a"))
        self.assertIsNone(self.table.find("shop.example", "/ab/"))

    def test_port_and_case_of_the_host_are_ignored(self) -> None:
        self.assertIsNotNone(self.table.find("SHOP.example:8080", "/a/"))

    def test_an_empty_port_and_the_dot_of_a_complete_name_are_ignored(self) -> None:
        for host in ("shop.example:", "shop.example.", "shop.example.:80", "SHOP.example.:"):
            self.assertIsNotNone(self.table.find(host, "/a/"), host)

    def test_a_route_may_name_its_host_in_any_of_these_forms(self) -> None:
        for host in ("Shop.Example", "shop.example.", "shop.example:80"):
            table = RoutingTable(make_document(make_route(host=host)))
            self.assertIsNotNone(table.find("shop.example", "/a/"), host)

    def test_addresses_in_place_of_names_are_told_from_ports(self) -> None:
        table = RoutingTable(make_document(make_route(host="[::1]"), make_route(host="127.0.0.1")))
        for host in ("[::1]", "[::1]:80", "127.0.0.1", "127.0.0.1:80"):
            self.assertIsNotNone(table.find(host, "/a/"), host)

    def test_another_host_has_no_route(self) -> None:
        self.assertIsNone(self.table.find("other.example", "/a/"))

    def test_a_path_without_a_slash_has_no_route(self) -> None:
        self.assertIsNone(self.table.find("shop.example", "*"))

    def test_routes_with_a_short_target_latency_get_a_higher_effective_priority(self) -> None:
        long = make_route(prefix="/long/", target_latency_s=0.5)
        short = make_route(prefix="/short/", target_latency_s=0.1)
        table = RoutingTable(make_document(long, short))
        self.assertEqual((table.effective_priority(long), table.effective_priority(short)), (1, 0))

    def test_two_routes_with_the_same_prefix_are_an_error(self) -> None:
        with self.assertRaisesRegex(DocumentError, "two routes"):
            RoutingTable(make_document(make_route(), make_route()))

    def test_a_route_to_an_unknown_service_is_an_error(self) -> None:
        with self.assertRaisesRegex(DocumentError, "unknown service lost"):
            RoutingTable(
                make_document(make_route(destinations=(WeightedDestination("lost", 1.0),)))
            )
