"""Customers are decoded whole or not at all, and leave the daemon without their keys."""

from __future__ import annotations

import gc
import json
import tracemalloc
import unittest
from typing import Any

from fulmarstile_adapter.config_record import decode_config
from fulmarstile_adapter.names import HEADER_NAMES
from fulmarstile_adapter.redaction import redact_config
from fulmarstile_services.document import DocumentError
from fulmarstile_services.identity import digest_key
from fulmarstile_services.routing_table import RoutingTable

COLUMNS = ["Name", "ApiKeys", "Priority", "RatePerS", "Burst"]
BAKER = ["baker", ["secret-1", "secret-2"], 0, 12.5, 30]
MILLER = ["miller", ["secret-3"], None, None, None]
CUSTOMERS = 10_000
KEYS_EACH = 4
MAX_BYTES = 30_000_000
"""Memory for the customers of one document, in bytes."""


def make_config(*rows: list[Any], columns: list[str] = COLUMNS, **changes: Any) -> bytes:
    routes = {
        "Columns": ["Hostname", "PathPrefix", "RouteType", "TimeoutS", "Service", "AuthExempt"],
        "Rows": [
            ["shop.example", "/", "idempotent", 1.5, "shop", None],
            ["shop.example", "/open/", "idempotent", 1.5, "shop", True],
        ],
    }
    fields: dict[str, Any] = {
        "Version": "0000001f",
        "Routes": routes,
        "Services": {"Columns": ["Name"], "Rows": [["shop"]]},
        "Tenants": {"Columns": columns, "Rows": rows},
        "Unheard": {"Of": [1, None, "text"]},
    }
    return json.dumps(fields | changes).encode()


class CustomerTableTest(unittest.TestCase):
    def test_every_field_is_decoded(self) -> None:
        document = decode_config(make_config(BAKER, MILLER))
        baker, miller = document.customers or ()
        self.assertEqual((baker.name, baker.priority, baker.rate_per_s), ("baker", 0, 12.5))
        self.assertEqual(baker.burst, 30)
        self.assertEqual(baker.key_digests, {digest_key(b"secret-1"), digest_key(b"secret-2")})
        self.assertEqual((miller.priority, miller.rate_per_s, miller.burst), (None, 0.0, 0.0))
        self.assertEqual([route.needs_key for route in document.routes], [True, False])

    def test_a_document_without_the_table_names_no_customers_and_an_empty_one_excludes_all(
        self,
    ) -> None:
        self.assertIsNone(decode_config(make_config(Tenants=None)).customers)
        self.assertEqual(decode_config(make_config()).customers, ())

    def test_a_malformed_table_rejects_the_document_and_quotes_no_key(self) -> None:
        cases = {
            "a key in common": (BAKER, ["miller", ["secret-1"], None, None, None]),
            "no name": ([None, ["secret-1"], None, None, None],),
            "has no name": (["", ["secret-1"], None, None, None],),
            "listed twice": (BAKER, ["baker", ["secret-4"], None, None, None]),
            "the rate of customer baker": (["baker", ["secret-1"], None, -1, None],),
            "the burst of customer baker": (["baker", ["secret-1"], None, None, -0.5],),
            "is empty": (["baker", [""], None, None, None],),
            "cannot be decoded": (["baker", "secret-1", None, None, None],),
            "Expected `str`": (["baker", [17], None, None, None],),
            "Expected `float`": (["baker", ["secret-1"], None, "many", None],),
            "Expected `int": (["baker", ["secret-1"], "high", None, None],),
            "argument 2": (["baker", ["secret-1"]],),
        }
        for message, rows in cases.items():
            with self.subTest(message), self.assertRaisesRegex(DocumentError, message) as caught:
                decode_config(make_config(*rows))
            self.assertNotIn("secret", str(caught.exception))
        for table in ([], {"Columns": COLUMNS}, {"Rows": [BAKER]}, "secret"):
            with self.subTest(table), self.assertRaises(DocumentError) as caught:
                decode_config(make_config(Tenants=table))
            self.assertNotIn("secret", str(caught.exception))

    def test_10000_customers_with_4_keys_each_take_less_than_30_mb(self) -> None:
        rows = [
            [f"customer-{number}", [f"key-{number}-{each:032x}" for each in range(KEYS_EACH)]]
            for number in range(CUSTOMERS)
        ]
        raw = make_config(*rows, columns=["Name", "ApiKeys"])
        gc.collect()
        tracemalloc.start()
        try:
            table = RoutingTable(decode_config(raw))
            redacted = redact_config(raw)
            gc.collect()
            used = tracemalloc.get_traced_memory()[0] + len(raw)
        finally:
            tracemalloc.stop()
        self.assertLess(used, MAX_BYTES)
        self.assertGreater(len(redacted), 0)
        found = table.customers.find(f"key-9999-{3:032x}".encode())
        self.assertEqual(found.name, "customer-9999")


class RedactionTest(unittest.TestCase):
    def test_a_redacted_document_has_the_same_meaning_and_no_key(self) -> None:
        for rows in ((), (BAKER, MILLER), (["baker", None, None, None, None],)):
            raw = make_config(*rows)
            redacted = redact_config(raw)
            self.assertEqual(decode_config(redacted), decode_config(raw))
            self.assertNotIn(b"secret", redacted)
            self.assertEqual(redact_config(redacted), redacted)

    def test_a_document_without_keys_is_unchanged(self) -> None:
        for raw in (make_config(Tenants=None), make_config(["baker"], columns=["Name"])):
            self.assertEqual(redact_config(raw), raw)

    def test_a_bad_digest_rejects_the_document(self) -> None:
        for digest in ("zz", "abcd", digest_key(b"key").hex()[:-1]):
            with self.subTest(digest), self.assertRaises(DocumentError):
                decode_config(make_config(["baker", [digest]], columns=["Name", "KeyDigests"]))

    def test_the_headers_are_those_of_the_platform(self) -> None:
        names = (HEADER_NAMES.api_key, HEADER_NAMES.customer)
        self.assertEqual(names, (b"x-credential", b"x-tenant-name"))


if __name__ == "__main__":
    unittest.main()
