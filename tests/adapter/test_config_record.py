"""A configuration record is decoded completely or rejected."""

from __future__ import annotations

import unittest

from fulmarstile_adapter.config_record import decode_config
from fulmarstile_adapter_testing.config_records import COLUMNS, ROW, change_row, make_config
from fulmarstile_services.document import (
    DocumentError,
    Repeatability,
    RequestLimits,
    WeightedDestination,
)


class ConfigRecordTest(unittest.TestCase):
    def test_every_field_is_decoded_into_the_document(self) -> None:
        document = decode_config(make_config())
        (route,) = document.routes
        self.assertEqual(document.version, 0x1F)
        self.assertEqual((route.host, route.prefix), ("shop.example", "/a/"))
        self.assertEqual(route.destinations, (WeightedDestination("shop", 1.0),))
        self.assertIs(route.repeatability, Repeatability.IDEMPOTENT)
        self.assertEqual((route.timeout_s, route.target_latency_s), (1.5, 0.4))
        self.assertEqual((route.max_attempts, route.priority), (3, 2))
        self.assertEqual(document.services["shop"].connection_limit, 110)
        self.assertEqual(document.limits.head_bytes, 16384)
        self.assertEqual(document.limits.idle_timeout_s, 15)

    def test_a_weighted_split_replaces_the_single_service(self) -> None:
        split = [{"Service": "shop", "Weight": 90}, {"Service": "stock", "Weight": 10}]
        row = change_row(Service=None, WeightedSplit=split)
        (route,) = decode_config(make_config(row)).routes
        self.assertEqual(
            route.destinations, (WeightedDestination("shop", 90), WeightedDestination("stock", 10))
        )

    def test_route_types_other_than_idempotent_run_at_most_once(self) -> None:
        for route_type in ("non_idempotent", "upload", "keyed", "unheard-of"):
            (route,) = decode_config(make_config(change_row(RouteType=route_type))).routes
            self.assertIs(route.repeatability, Repeatability.AT_MOST_ONCE)

    def test_whole_numbers_may_be_written_with_a_fraction_of_zero(self) -> None:
        services = {"Columns": ["Name", "MaxConnections"], "Rows": [["shop", 110.0]]}
        limits = {"MaxHeaderBytes": 16384.0, "MaxBodyBytes": 1e6, "HeaderTimeoutS": 3}
        row = change_row(MaxAttempts=3.0, Priority=2.0, TimeoutS=2)
        document = decode_config(make_config(row, Services=services, Limits=limits))
        (route,) = document.routes
        self.assertEqual((route.max_attempts, route.priority, route.timeout_s), (3, 2, 2.0))
        self.assertEqual(document.services["shop"].connection_limit, 110)
        self.assertEqual(document.limits.head_bytes, 16384)
        self.assertEqual(document.limits.body_bytes, 1_000_000)
        for value in (
            route.max_attempts,
            route.priority,
            document.services["shop"].connection_limit,
            document.limits.head_bytes,
            document.limits.body_bytes,
        ):
            self.assertIsInstance(value, int)

    def test_omitted_limits_take_their_defaults_whether_missing_or_null(self) -> None:
        nulls = dict.fromkeys(("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutS", "IdleTimeoutS"))
        for limits in (None, {}, nulls):
            with self.subTest(limits):
                document = decode_config(make_config(Limits=limits))
                self.assertEqual(document.limits, RequestLimits())

    def test_columns_may_have_any_order_and_unknown_ones_are_ignored(self) -> None:
        columns = ["Later", *reversed(COLUMNS)]
        row = [{"any": [1]}, *reversed(ROW)]
        routes = {"Columns": columns, "Rows": [row]}
        self.assertEqual(
            decode_config(make_config(Routes=routes)).routes, decode_config(make_config()).routes
        )

    def test_a_malformed_record_is_rejected(self) -> None:
        for raw in (
            b"",
            b"\xff",
            b"[]",
            make_config(Version="latest"),
            make_config(Version=None),
            make_config(change_row(TimeoutS="soon")),
            make_config(change_row(MaxAttempts=2.5)),
            make_config(change_row(MaxAttempts=1e300)),
            make_config(change_row(MaxAttempts="2")),
            make_config(change_row(Priority=True)),
            make_config(Limits={"MaxBodyBytes": 1.5}),
            make_config(change_row(TimeoutS=None)),
            make_config(change_row(Service=None)),
            make_config(ROW[:-1]),
            make_config()[:-20],
            make_config()[:-1] + b',"Other":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):
            with self.subTest(raw[:40]), self.assertRaises(DocumentError):
                decode_config(raw)

    def test_numbers_that_daemons_cannot_exchange_are_rejected(self) -> None:
        for name in ("TimeoutS", "TargetLatencyS"):
            for value in (1e17, 1e308):
                with self.subTest(name, value=value), self.assertRaises(DocumentError):
                    decode_config(make_config(change_row(**{name: value})))
        for name in ("RatePerS", "Burst"):
            for value in (1e17, 1e308):
                table = {"Columns": ["Name", "ApiKeys", name], "Rows": [["a", ["k"], value]]}
                with self.subTest(name, value=value), self.assertRaises(DocumentError):
                    decode_config(make_config(Tenants=table))
