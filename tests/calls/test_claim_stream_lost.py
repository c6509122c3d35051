"""A batcher never mistakes a stream that the log has lost and refilled for the old one."""

from __future__ import annotations

import random
import unittest

from fulmarstile_calls.claims import ClaimBatcher, ClaimSettings
from fulmarstile_calls.claims.batch import ClaimBatch, encode_batch
from fulmarstile_mesh.effects import ReadLog, Send
from fulmarstile_platform.log import LogPage, LogRecord
from fulmarstile_testing.builders.calls import EPOCH_MS, make_key
from fulmarstile_wire.messages import ClaimRequest
from fulmarstile_wire.records import ClaimRecord

KEY = make_key(random.Random(1), EPOCH_MS + 500)
CLAIM = ClaimRecord("laundry", KEY, "daemon-1/1/0", b"")


def make_stream(started_ms: int, length: int, *claims: ClaimRecord) -> list[LogRecord]:
    """Returns the records of a stream whose last record contains claims."""
    batches = [ClaimBatch()] * (length - 1) + [ClaimBatch((), claims)]
    return [
        LogRecord(offset, encode_batch(batch), EPOCH_MS + started_ms + offset)
        for offset, batch in enumerate(batches)
    ]


class LostStreamTest(unittest.TestCase):
    """The old stream has 3 records when it is lost; the new one has more when it is read."""

    def setUp(self):
        self.batcher = ClaimBatcher(ClaimSettings(), 0, "daemon-0", "daemon-0:7000")
        self.replies = []

    def _read(self, effects, stream: list[LogRecord], end_offset: int) -> None:
        """Answers reads from a stream until the batcher waits for a new record."""
        for effect in effects:
            if isinstance(effect, Send):
                self.replies.append(effect.message)
            elif isinstance(effect, ReadLog) and (effect.wait_s == 0 or effect.offset < end_offset):
                page = LogPage(tuple(stream[effect.offset :]), 0, end_offset)
                self._read(self.batcher.on_log_page(page, 1.0), stream, end_offset)

    def _claim_in_old_stream(self) -> None:
        old = make_stream(0, 3)
        self._read(self.batcher.start(0.0), old, 3)
        self.assertEqual(self.batcher.table.next_offset, 3)
        request = ClaimRequest("daemon-1", "daemon-1:7000", 0, CLAIM)
        self._read(self.batcher.on_claim_request(request, 1.0), old, 3)

    def test_claim_in_the_same_stream_wins(self):
        self._claim_in_old_stream()
        self._read(self.batcher.on_append_done(3, 1.0), make_stream(0, 4, CLAIM), 4)
        self._read(self.batcher.on_log_page(LogPage((), 0, 4), 1.0), make_stream(0, 4, CLAIM), 4)
        self.assertEqual([reply.winner_id for reply in self.replies], [CLAIM.claim_id])

    def test_claim_on_a_key_older_than_the_refilled_stream_does_not_win(self):
        self._claim_in_old_stream()
        refilled = make_stream(1_000, 6, CLAIM)
        self._read(self.batcher.on_append_done(5, 1.0), refilled, 6)
        page = LogPage(tuple(refilled[3:]), 0, 6)
        self._read(self.batcher.on_log_page(page, 1.0), refilled, 6)
        self.assertEqual([reply.winner_id for reply in self.replies], [""])
        self.assertEqual(self.batcher.reset_count, 1)
