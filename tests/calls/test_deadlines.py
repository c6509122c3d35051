"""Remaining time of calls, as sent by callers."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarstile_calls.deadline import (
    MAX_REMAINING_MS,
    check_deadline,
    compute_deadline,
    format_remaining_ms,
    parse_remaining_ms,
)
from fulmarstile_wire.verdict import Verdict


class DeadlineTest(unittest.TestCase):
    """Deadlines only ever get shorter from hop to hop."""

    def test_malformed_values_are_ignored(self):
        for value in ("", "-5", "1.5", "1e3", "٣", "+1", "9" * 11, "soon"):
            with self.subTest(value=value):
                self.assertIsNone(parse_remaining_ms(value))

    def test_values_are_bounded(self):
        self.assertEqual(parse_remaining_ms(" 250 "), 250)
        self.assertEqual(parse_remaining_ms("9999999999"), MAX_REMAINING_MS)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        value=st.text(max_size=12) | st.integers(-10, 10**9).map(str),
        timeout_ms=st.integers(1, 60_000),
        elapsed_s=st.floats(0, 100),
    )
    def test_next_hop_never_gets_more_time_than_is_left(self, value, timeout_ms, elapsed_s):
        deadline_s = compute_deadline(50.0, timeout_ms, parse_remaining_ms(value))
        remaining_ms = int(format_remaining_ms(deadline_s, 50.0 + elapsed_s))
        self.assertGreaterEqual(remaining_ms, 0)
        self.assertLessEqual(remaining_ms, max(0.0, timeout_ms - elapsed_s * 1000) + 1e-3)

    def test_call_past_its_deadline_is_refused_as_not_run(self):
        self.assertIsNone(check_deadline(10.0, 9.9))
        self.assertIs(check_deadline(10.0, 10.0).verdict, Verdict.NOT_RUN)
