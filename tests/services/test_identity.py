"""Customers are found by their keys, and contradictory ones are refused without naming a key."""

from __future__ import annotations

import math
import unittest

from fulmarstile_services.document import DocumentError
from fulmarstile_services.identity import CustomerIndex
from fulmarstile_testing.builders.services import make_customer


class CustomerIndexTest(unittest.TestCase):
    def test_a_key_finds_its_customer_and_nothing_else_does(self) -> None:
        baker, miller = make_customer("baker", "key-1", "key-2"), make_customer("miller", "key-3")
        index = CustomerIndex([baker, miller])
        self.assertIs(index.find(b"key-2"), baker)
        self.assertIs(index.find(b"key-3"), miller)
        for other in (b"", b"key", b"key-1 ", b"KEY-1", *baker.key_digests):
            self.assertIsNone(index.find(other))

    def test_contradictory_customers_are_refused_and_no_key_is_quoted(self) -> None:
        cases = {
            "baker and miller have a key in common": (
                make_customer("baker", "secret"),
                make_customer("miller", "secret"),
            ),
            "baker is listed twice": (make_customer("baker", "secret"), make_customer("baker")),
            "has no name": (make_customer(" ", "secret"),),
            "a header cannot hold": (make_customer("a\r\nx: y", "secret"),),
            "the rate of customer baker is -1": (
                make_customer("baker", "secret", rate_per_s=-1.0),
            ),
            "the burst of customer baker is inf": (make_customer("baker", burst=math.inf),),
        }
        for message, customers in cases.items():
            with self.subTest(message), self.assertRaisesRegex(DocumentError, message) as caught:
                CustomerIndex(customers)
            self.assertNotIn("secret", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
