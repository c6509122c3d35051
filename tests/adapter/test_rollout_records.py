"""Orders for roll-outs are decoded with their offset, and a malformed one keeps its reason."""

from __future__ import annotations

import json
import unittest
from typing import Any

from fulmarstile_adapter.rollout_records import decode_order, encode_status
from fulmarstile_daemon.services.ports import ReceivedOrder
from fulmarstile_platform.keyed_log import KeyedRecord
from fulmarstile_services.rollouts.model import RolloutOrder
from fulmarstile_wire.rollouts import RolloutPhase

ORDER = {"Service": "shop", "TargetVersion": "v2", "DurationS": 30}


def decode(value: Any, key: str = "rollout/shop") -> ReceivedOrder | None:
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return decode_order(KeyedRecord(key, raw, 7))


class OrderTest(unittest.TestCase):
    def test_an_order_is_identified_by_the_offset_of_its_record(self) -> None:
        self.assertEqual(decode(ORDER), ReceivedOrder(RolloutOrder("shop", "v2", 30.0, 7)))

    def test_other_records_of_the_operator_are_no_orders(self) -> None:
        self.assertIsNone(decode(ORDER, key="config"))
        self.assertIsNone(decode(b"", key="rollout/shop"))

    def test_a_malformed_order_names_its_service_and_reason_and_is_not_dropped(self) -> None:
        for value in (b"{", b"\xff", {**ORDER, "DurationS": "long"}, {"Service": "shop"}):
            with self.subTest(value):
                received = decode(value)
                assert received is not None
                self.assertEqual((received.order.service, received.order.offset), ("shop", 7))
                self.assertIn("cannot be decoded", received.problem)

    def test_the_target_of_a_malformed_order_is_kept_for_its_status(self) -> None:
        received = decode({**ORDER, "DurationS": None})
        assert received is not None
        self.assertEqual(received.order.target_version, "v2")

    def test_an_order_under_the_key_of_another_service_is_malformed(self) -> None:
        received = decode(ORDER, key="rollout/stock")
        assert received is not None
        self.assertIn("for service 'shop'", received.problem)


class StatusTest(unittest.TestCase):
    def test_the_operator_reads_completed_only_once_the_roll_out_is(self) -> None:
        states = {}
        for phase in RolloutPhase:
            record = encode_status("shop", "v2", phase)
            self.assertEqual(record.key, "rollout/shop")
            value = json.loads(record.value)
            self.assertEqual(value.pop("TargetVersion"), "v2")
            states[phase.value] = value["State"]
        expected = {
            "canary": "running",
            "promoted": "running",
            "completed": "completed",
            "rolled-back": "rolled_back",
        }
        self.assertEqual(states, expected)
