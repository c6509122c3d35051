"""An invalid configuration is refused whole, and the next valid one is taken.

Each form is one that the operator's API rules out. Taking any of them would put into force what the
operator never had acknowledged.
"""

from __future__ import annotations

import unittest

from fulmarstile_adapter.config_record import decode_config
from fulmarstile_adapter_testing.config_records import change_row, make_config, make_split
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


if __name__ == "__main__":
    unittest.main()
