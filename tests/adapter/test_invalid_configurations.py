"""An invalid configuration is refused whole, and the next valid one is taken.

Each form is one that the operator's API rules out. Taking any of them would put into force what the
operator never had acknowledged.
"""

from __future__ import annotations

import unittest

from fulmarstile_adapter.config_record import decode_config
from fulmarstile_adapter_testing.config_records import COLUMNS, change_row, make_config, make_split
from fulmarstile_services.document import DocumentError
from fulmarstile_services.routing_table import RoutingTable

SHOP = {"Service": "shop", "Weight": 9}


def check_taken(raw: bytes) -> RoutingTable:
    """Takes a record as a daemon does."""
    return RoutingTable(decode_config(raw))


class InvalidConfigurationTest(unittest.TestCase):
    def check_refused(self, *records: bytes) -> None:
        for raw in records:
            with self.subTest(raw), self.assertRaisesRegex(DocumentError, "."):
                check_taken(raw)

    def test_a_record_that_is_cut_short_anywhere_is_refused(self) -> None:
        whole = make_config()
        self.check_refused(*(whole[:end] for end in range(len(whole))))

    def test_a_route_to_an_unknown_service_is_refused(self) -> None:
        self.check_refused(
            make_config(change_row(Service="lost")),
            make_split(SHOP, {"Service": "lost", "Weight": 1}),
            make_split(SHOP, {"Service": "lost", "Weight": 0}),
            make_config(Services={"Columns": ["Name"], "Rows": []}),
        )

    def test_a_route_without_a_host_is_refused(self) -> None:
        self.check_refused(*(make_config(change_row(Hostname=host)) for host in (None, "", " ")))

    def test_a_route_without_a_timeout_is_refused(self) -> None:
        self.check_refused(
            *(make_config(change_row(TimeoutS=timeout_s)) for timeout_s in (None, 0, 0.0, -1, ""))
        )

    def test_a_part_of_a_split_without_a_weight_is_refused(self) -> None:
        self.check_refused(
            make_split(SHOP, {"Service": "stock"}),
            make_split(SHOP, {"Service": "stock", "Weight": None}),
            make_split(SHOP, {"Service": "stock", "Weight": -1}),
            make_split({"Service": "shop", "Weight": 0}, {"Service": "stock", "Weight": 0}),
        )

    def test_a_prefix_that_does_not_begin_and_end_with_a_slash_is_refused(self) -> None:
        self.check_refused(
            *(make_config(change_row(PathPrefix=prefix)) for prefix in (None, "", "a/", "/a", "a"))
        )

    def test_a_version_that_is_longer_than_eight_hexadecimal_digits_or_other_text_is_refused(
        self,
    ) -> None:
        versions = ("", "100000000", "f" * 40, "0x00000c", "0000_00c", "-000000c", " 000000c")
        self.check_refused(*(make_config(Version=version) for version in (*versions, None, 12)))


class AllowedConfigurationTest(unittest.TestCase):
    def test_a_part_of_a_split_may_have_the_weight_0(self) -> None:
        table = check_taken(make_split(SHOP, {"Service": "stock", "Weight": 0}))
        route = table.find("shop.example", "/a/")
        self.assertEqual(route and [part.weight for part in route.destinations], [9, 0])

    def test_hosts_may_be_written_in_upper_case(self) -> None:
        table = check_taken(make_config(change_row(Hostname="SHOP.Example")))
        self.assertIsNotNone(table.find("shop.example", "/a/"))

    def test_a_version_may_have_digits_in_upper_case_and_be_the_largest(self) -> None:
        for version in ("0000000C", "0000000c", "FFFFFFFF"):
            self.assertEqual(check_taken(make_config(Version=version)).version, int(version, 16))

    def test_a_service_may_have_no_route_and_a_configuration_none_at_all(self) -> None:
        services = {"Columns": ["Name"], "Rows": [["shop"], ["idle"]]}
        self.assertIn("idle", check_taken(make_config(Services=services)).document.services)
        empty = {"Columns": ["Hostname"], "Rows": []}
        self.assertEqual(check_taken(make_config(Routes=empty)).document.routes, ())

    def test_routes_may_be_listed_in_any_order(self) -> None:
        rows = [change_row(PathPrefix=prefix) for prefix in ("/a/", "/a/b/", "/")]
        for listed in (rows, rows[::-1]):
            table = check_taken(make_config(Routes={"Columns": COLUMNS, "Rows": listed}))
            found = [table.find("shop.example", path) for path in ("/a/b/c", "/a/c", "/c")]
            self.assertEqual([route and route.prefix for route in found], ["/a/b/", "/a/", "/"])

    def test_unknown_fields_are_ignored_wherever_they_stand(self) -> None:
        later = {"Later": [1, None, {"a": "b"}]}
        services = {"Columns": ["Tls", "Name", "Later"], "Rows": [[False, "shop", later]], **later}
        routes = {"Columns": [*COLUMNS, "Later"], "Rows": [[*change_row(), later]], **later}
        limits = {"MaxBodyBytes": 1000.0, **later}
        raw = make_config(Routes=routes, Services=services, Limits=limits, **later)
        self.assertIsNotNone(check_taken(raw).find("shop.example", "/a/"))
        self.assertEqual(len(check_taken(make_split({**SHOP, **later})).document.routes), 1)


if __name__ == "__main__":
    unittest.main()
