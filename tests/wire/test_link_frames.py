"""Frames between daemons are decoded however their bytes are split; invalid ones are refused."""

from __future__ import annotations

import math
import random
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from fulmarstile_wire.documents import DocumentReply, DocumentRequest, TopicRecord
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.quotas import QuotaDemand, QuotaGrant, QuotaReply, QuotaRequest
from fulmarstile_wire.rollouts import (
    RolloutPhase,
    RolloutReply,
    RolloutReport,
    RolloutState,
    RouteEvidence,
    UpstreamEvidence,
)
from fulmarstile_wire.services import (
    MAX_FRAME_BYTES,
    DroppedMessage,
    FrameDecoder,
    Hello,
    HopAnswer,
    HopCall,
    HopCancel,
    HopOutcome,
    HopRequest,
    PeerAnswer,
    PeerCall,
    SyncAnswer,
    SyncCall,
    SyncReply,
    SyncRequest,
    UnknownMessage,
    UpstreamNotice,
    encode_frame,
    encode_large_call,
)
from fulmarstile_wire.verdict import Verdict

NOTICE = UpstreamNotice("u-1", 5, 6, 8.1, leaves=True)
HOP = HopRequest("shop", "u-1", "stock", 1, 900, 200, True, 400, b"12345678")
UPSTREAM_EVIDENCE = UpstreamEvidence(
    "daemon-1", 5, "u-1", 6, "v2", routes=(RouteEvidence("shop.example/", 9, 1, (0, 8, 2)),)
)
ROLLOUT = RolloutState("shop", 7, "v2", 12_000, 400, RolloutPhase.CANARY, 0.04, ("daemon-1",))
MESSAGES = (
    Hello(1, "daemon-1"),
    HopCall(7, HOP, b"POST", b"/a?b=c", [(b"host", b"x")], b"body"),
    HopAnswer(7, HopOutcome(Verdict.RAN, running=3), 200, [(b"a", b"\xff")], b"\x00\x01"),
    HopAnswer(8, HopOutcome(Verdict.NOT_RUN, "queue-full", retry_after_ms=50)),
    HopCall(11, msgspec.structs.replace(HOP, notice=NOTICE), b"GET", b"/", [], b""),
    HopAnswer(11, HopOutcome(Verdict.RAN, notice=NOTICE), 200, [], b""),
    HopCancel(9),
    SyncCall(10, SyncRequest("daemon-1", b"digest", 5)),
    SyncAnswer(10, SyncReply("daemon-2", b"digest", 6)),
    PeerCall(14, DocumentRequest("daemon-1", 6, b"digest", 12, 600)),
    PeerAnswer(
        14,
        DocumentReply(7, b"delta", True, 13, (TopicRecord("order", b"raw", 12),), True, 40),
    ),
    PeerCall(11, RolloutReport("daemon-1", "shop", 7, UPSTREAM_EVIDENCE)),
    PeerAnswer(11, RolloutReply(ROLLOUT)),
    PeerCall(12, QuotaRequest("daemon-1", 7, 2, 3, 5, 4, (QuotaDemand("baker", 3, 1, 2),))),
    PeerAnswer(12, QuotaReply(True, "daemon-2", 3, (QuotaGrant("baker", 2, 40),))),
)


encode_body = msgspec.msgpack.encode
UNKNOWN = (
    encode_body([90]),
    encode_body([200, 1, "text", {"a": [b"b", None]}]),
    encode_body([90, *range(20)]),
    encode_body([9, 1, ["weather", "baker", 3]]),
    encode_body([10, 1, ["weather"], "more"]),
    encode_body([4, 1, {"sender": 7}]),
)
"""Well-formed messages of kinds, or with content, that no daemon knows so far."""


def make_frame(body: bytes) -> bytes:
    """Puts the length before a message."""
    return len(body).to_bytes(4, "big") + body


class FrameTest(unittest.TestCase):
    def test_messages_are_decoded_however_their_bytes_are_split(self) -> None:
        data = b"".join(map(encode_frame, MESSAGES))
        for seed in range(50):
            rng = random.Random(seed)
            decoder = FrameDecoder()
            received = []
            position = 0
            while position < len(data):
                size = rng.randrange(1, 40)
                received += decoder.feed(data[position : position + size])
                position += size
            self.assertEqual(tuple(received), MESSAGES)

    def test_a_large_call_is_encoded_like_any_other(self) -> None:
        for body in (b"x" * 65_536, bytearray(b"y" * 200_000)):
            call = HopCall(7, HOP, b"POST", b"/a?b=c", [(b"host", b"x")], body)
            head, rest = encode_large_call(call)
            self.assertIs(rest, body)
            self.assertEqual(head + rest, encode_frame(call))
            received = FrameDecoder().feed(head + rest + encode_frame(HopCancel(9)))
            self.assertEqual(received, [call, HopCancel(9)])
            self.assertIsInstance(received[0].body, bytes)

    def test_a_malformed_large_message_is_refused_and_an_unknown_one_reported(self) -> None:
        with self.assertRaises(WireError):
            FrameDecoder().feed(make_frame(encode_body([1, 2, b"x" * 100_000])))
        unknown = FrameDecoder().feed(make_frame(encode_body([100, b"x" * 100_000])))
        self.assertIsInstance(unknown[0], UnknownMessage)

    def test_a_dropped_message_is_reported_by_its_call_and_the_next_ones_are_decoded(self) -> None:
        for call_id in (1, 200, 60_000, 1 << 30, 1 << 40):
            for kind in (HopCall(call_id, HOP, b"GET", b"/", [], b"body"), HopCancel(call_id)):
                data = encode_frame(kind)
                for cut in range(4, len(data)):
                    decoder = FrameDecoder()
                    self.assertEqual(decoder.feed(data[:cut]), [])
                    decoder.drop_pending()
                    self.assertEqual(decoder.pending_bytes, 0)
                    received = decoder.feed(data[cut:-1]) + decoder.feed(data[-1:] + data)
                    self.assertEqual(received, [DroppedMessage(type(kind), call_id), kind])

    def test_a_dropped_message_that_belongs_to_no_call_is_a_wire_error(self) -> None:
        for body in (b"", b"\x91", b"\x92\x0b\x01", b"\x92\x01\xc0", b"\x92\x01\xcf", b"\xc1" * 20):
            with self.subTest(body), self.assertRaises(WireError):
                decoder = FrameDecoder()
                decoder.feed((len(body) + 1).to_bytes(4, "big") + body)
                decoder.drop_pending()
                decoder.feed(b"\xc1")

    def test_a_daemon_without_notices_and_one_with_more_fields_are_understood(self) -> None:
        for message, kind in ((HOP, HopRequest), (HopOutcome(Verdict.RAN), HopOutcome)):
            noticed = msgspec.structs.replace(message, notice=NOTICE)
            fields = msgspec.msgpack.decode(msgspec.msgpack.encode(noticed))
            without_notice = fields[: kind.__struct_fields__.index("notice")]
            older = msgspec.msgpack.encode(without_notice)
            newer = msgspec.msgpack.encode([*fields, 7])
            self.assertEqual(msgspec.msgpack.decode(older, type=kind), message)
            self.assertEqual(msgspec.msgpack.decode(newer, type=kind), noticed)

    def test_a_notice_with_an_impossible_limit_is_a_wire_error(self) -> None:
        for limit in (-1.0, math.nan, math.inf):
            hop = msgspec.structs.replace(HOP, notice=UpstreamNotice("u-1", 5, 6, limit))
            with self.assertRaises(WireError):
                FrameDecoder().feed(encode_frame(HopCall(1, hop, b"GET", b"/", [], b"")))

    def test_a_message_of_an_unknown_kind_costs_that_message_alone(self) -> None:
        known = encode_frame(HopCancel(1))
        for body in UNKNOWN:
            for cut in range(len(body) + 4):
                with self.subTest(body, cut=cut):
                    data = known + make_frame(body) + known
                    cut_at = len(known) + cut
                    decoder = FrameDecoder()
                    received = decoder.feed(data[:cut_at]) + decoder.feed(data[cut_at:])
                    kinds = [type(message) for message in received]
                    self.assertEqual(kinds, [HopCancel, UnknownMessage, HopCancel])

    def test_a_dropped_message_of_an_unknown_kind_costs_that_message_alone(self) -> None:
        frame = make_frame(encode_body([90, 1, b"body"]))
        decoder = FrameDecoder()
        decoder.feed(frame[:6])
        decoder.drop_pending()
        received = decoder.feed(frame[6:] + encode_frame(HopCancel(1)))
        self.assertEqual([type(message) for message in received], [UnknownMessage, HopCancel])

    def test_a_malformed_message_of_an_unknown_kind_is_a_wire_error(self) -> None:
        unknown = encode_body([90, 1, [b"body"]])
        nested = b"\x91" * 100_000 + b"\x01"
        for body in (
            unknown[:-1],
            unknown + b"\x01",
            b"\x93\x5a\x01\xc1",
            b"\x92\x5a" + nested,
            b"\x93\x09\x01\xc1",
            encode_body([1, 1]),
            encode_body([2, 1, ["weather"]]),
            encode_body({"tag": 90}),
            encode_body(["90"]),
            encode_body([]),
        ):
            with self.subTest(body[:20]), self.assertRaises(WireError):
                FrameDecoder().feed(make_frame(body))

    def test_an_oversize_message_is_refused_before_it_is_received(self) -> None:
        with self.assertRaisesRegex(WireError, "too large"):
            FrameDecoder().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big"))

    @given(st.binary(max_size=200))
    def test_bytes_that_are_no_message_are_a_wire_error(self, body: bytes) -> None:
        decoder = FrameDecoder()
        try:
            messages = decoder.feed(len(body).to_bytes(4, "big") + body)
        except WireError:
            return
        self.assertEqual(len(messages), 1)

    @given(st.data())
    def test_mutated_messages_are_a_wire_error_or_messages(self, data: st.DataObject) -> None:
        mutated = bytearray(b"".join(map(encode_frame, MESSAGES)))
        for _ in range(data.draw(st.integers(1, 4))):
            mutated[data.draw(st.integers(0, len(mutated) - 1))] = data.draw(st.integers(0, 255))
        decoder = FrameDecoder(max_bytes=1_000)
        position = 0
        try:
            while position < len(mutated):
                cut = position + data.draw(st.integers(1, len(mutated)))
                decoder.feed(bytes(mutated[position:cut]))
                position = cut
        except WireError:
            pass
        self.assertLessEqual(decoder.pending_bytes, len(mutated))

    def test_a_smaller_size_limit_is_enforced_before_a_message_is_received(self) -> None:
        with self.assertRaisesRegex(WireError, "too large"):
            FrameDecoder(max_bytes=100).feed((101).to_bytes(4, "big"))
