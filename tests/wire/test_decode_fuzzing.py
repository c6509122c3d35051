"""Frames from hostile or faulty peers are refused with a `WireError`, never another exception."""

from __future__ import annotations

import contextlib
import unittest

import msgspec
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_wire import WireError, decode_message, encode_message
from fulmarstile_wire.messages import Heads, Message, Probe, RecordBatch
from fulmarstile_wire.records import StreamHead, StreamRecord

FUZZING = settings(max_examples=200, deadline=None, derandomize=True)
SAMPLES = tuple(
    encode_message(message)
    for message in (
        Probe("d1", "127.0.0.1:1", 7),
        Heads("d1", "127.0.0.1:1", (StreamHead("a", 0, 3, 2, b"12345678"),)),
        RecordBatch("d1", "127.0.0.1:1", "a", 0, (StreamRecord(0, b"x" * 4000, 1),), 1),
    )
)
values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=20,
)


class DecodeFuzzingTest(unittest.TestCase):
    """`decode_message` returns a message or raises `WireError`."""

    def check(self, frame: bytes) -> None:
        with contextlib.suppress(WireError):
            self.assertIsInstance(decode_message(frame), Message)

    @FUZZING
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes(self, body):
        for header in (b"", b"\x01\x00", b"\x01\x01"):
            self.check(header + body)

    @FUZZING
    @given(values, st.sampled_from(["probe", "heads", "records", "claim", "mdigest"]))
    def test_well_formed_messagepack_of_the_wrong_shape(self, value, tag):
        for content in (value, [tag, value], [tag, "d", "a", value], [tag, "d", "a", [value]]):
            self.check(b"\x01\x00" + msgspec.msgpack.encode(content))

    @FUZZING
    @given(st.sampled_from(SAMPLES), st.integers(0), st.binary(min_size=1, max_size=4))
    def test_damaged_frames(self, frame, place, noise):
        place %= len(frame)
        self.check(frame[:place])
        self.check(frame[:place] + noise + frame[place + len(noise) :])

    def test_deep_nesting_and_decompression_bombs_are_refused(self):
        bomb = zstandard.ZstdCompressor().compress(bytes(64 << 20))
        for frame in (b"\x01\x00" + b"\x91" * 100_000, b"\x01\x01" + bomb):
            with self.assertRaises(WireError):
                decode_message(frame)
