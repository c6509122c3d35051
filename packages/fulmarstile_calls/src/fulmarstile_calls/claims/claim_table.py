"""Holders of idempotency keys, folded from one claim stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_calls.claims.batch import decode_batch
from fulmarstile_calls.claims.keys import parse_key_time

if TYPE_CHECKING:
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_platform.log import LogRecord
    from fulmarstile_wire.records import ClaimRecord, OutcomeRecord

MAX_DEAD_CLAIMS: Final = 32
"""Most claims on one key that may fail; the key cannot be claimed after that."""

_EXPIRY_BUCKET_MS: Final = 10_000


@dataclass(frozen=True, slots=True)
class ClaimState:
    """State of one claim according to the log."""

    winner_id: str
    """Identifier of the claim that holds the key; empty if none does."""
    fingerprint: bytes
    """Fingerprint of the winning claim."""
    outcome: OutcomeRecord | None
    """Outcome of the winning claim, if it is known."""
    is_dead: bool
    """Whether the claim in question has lost or was released, so that it can never win."""


class _Entry:
    __slots__ = ("dead", "fingerprint", "holder", "outcome")

    def __init__(self) -> None:
        self.holder = ""
        self.fingerprint = b""
        self.outcome: OutcomeRecord | None = None
        self.dead: tuple[str, ...] = ()


class ClaimTable:
    """Table of idempotency keys, built by a deterministic fold of one claim stream.

    The first claim on a key in log order holds it. A claim whose key has expired by the
    log's clock, or is older than the stream itself, has no effect. So a table may drop
    expired keys, and the loss of the stream cannot make a claimed key free again.

    Args:
        settings: Settings.
    """

    def __init__(self, settings: ClaimSettings) -> None:
        self._window_ms = settings.window_ms
        self._max_ahead_ms = settings.max_ahead_ms
        self._max_body_bytes = settings.max_table_body_bytes
        self._body_bytes = 0
        self._entries: dict[tuple[str, str], _Entry] = {}
        self._expiry_buckets: dict[int, list[tuple[str, str]]] = {}
        self._next_offset = 0
        self._clock_ms = 0
        self._stream_opened_at_ms = 0
        self._malformed = 0
        self._last_record: LogRecord | None = None

    @property
    def last_record(self) -> LogRecord | None:
        """The record that was folded last."""
        return self._last_record

    @property
    def next_offset(self) -> int:
        """Offset of the first log record that is not folded yet."""
        return self._next_offset

    @property
    def key_count(self) -> int:
        """Number of keys remembered."""
        return len(self._entries)

    @property
    def body_bytes(self) -> int:
        """Bytes of stored answers."""
        return self._body_bytes

    @property
    def malformed_count(self) -> int:
        """Number of log records that were not a batch of claims."""
        return self._malformed

    def fold(self, record: LogRecord) -> tuple[str, ...]:
        """Folds the record at `next_offset`; never raises on its content.

        Args:
            record: Record as read from the log.

        Returns:
            Identifiers of the claims in the record, including those of its outcomes.
        """
        self._next_offset = record.offset + 1
        self._last_record = record
        self._advance_clock(record.appended_at_ms)
        if record.offset == 0:
            self._stream_opened_at_ms = max(self._stream_opened_at_ms, record.appended_at_ms)
        batch = decode_batch(record.payload)
        if batch is None:
            self._malformed += 1
            return ()
        for outcome in batch.outcomes:
            self._fold_outcome(outcome)
        for claim in batch.claims:
            self._fold_claim(claim)
        claim_ids = [outcome.claim_id for outcome in batch.outcomes]
        claim_ids.extend(claim.claim_id for claim in batch.claims)
        return tuple(claim_ids)

    def skip_to(self, offset: int) -> None:
        """Skips the records before `offset`, which the log has dropped as expired."""
        self._next_offset = max(self._next_offset, offset)

    def restart(self) -> None:
        """Folds from offset 0 again after the log has lost the stream; keys stay held."""
        self._next_offset = 0

    def find(self, customer: str, key: str, claim_id: str) -> ClaimState | None:
        """Returns the state of a claim, or None if the table has no entry for its key."""
        entry = self._entries.get((customer, key))
        if entry is None:
            return None
        is_dead = claim_id in entry.dead
        return ClaimState(entry.holder, entry.fingerprint, entry.outcome, is_dead)

    def _advance_clock(self, appended_at_ms: int) -> None:
        if appended_at_ms <= self._clock_ms:
            return
        self._clock_ms = appended_at_ms
        horizon = (appended_at_ms - self._window_ms) // _EXPIRY_BUCKET_MS
        for bucket in [bucket for bucket in self._expiry_buckets if bucket < horizon]:
            for entry_key in self._expiry_buckets.pop(bucket):
                entry = self._entries.pop(entry_key)
                if entry.outcome is not None:
                    self._body_bytes -= len(entry.outcome.body)

    def _get_or_add_entry(self, customer: str, key: str) -> _Entry | None:
        entry = self._entries.get((customer, key))
        created_ms = parse_key_time(key)
        if created_ms is None or not self._is_current(created_ms):
            return None
        if entry is not None:
            return entry
        entry = self._entries[customer, key] = _Entry()
        self._expiry_buckets.setdefault(created_ms // _EXPIRY_BUCKET_MS, []).append((customer, key))
        return entry

    def _is_current(self, created_ms: int) -> bool:
        if created_ms < self._stream_opened_at_ms:
            return False
        age_ms = self._clock_ms - created_ms
        return -self._max_ahead_ms <= age_ms <= self._window_ms

    def _fold_claim(self, claim: ClaimRecord) -> None:
        entry = self._get_or_add_entry(claim.customer, claim.key)
        if entry is None or entry.holder == claim.claim_id:
            return
        if claim.claim_id in entry.dead:
            return
        if entry.holder:
            self._mark_dead(entry, claim.claim_id)
            return
        if len(entry.dead) >= MAX_DEAD_CLAIMS:
            return
        entry.holder = claim.claim_id
        entry.fingerprint = claim.fingerprint

    def _fold_outcome(self, outcome: OutcomeRecord) -> None:
        if outcome.releases_key:
            self._fold_release(outcome)
            return
        entry = self._entries.get((outcome.customer, outcome.key))
        if entry is None or entry.holder != outcome.claim_id:
            return
        if entry.outcome is None or entry.outcome.status == 0:
            entry.outcome = self._limit_body(outcome)

    def _limit_body(self, outcome: OutcomeRecord) -> OutcomeRecord:
        size = len(outcome.body)
        if self._body_bytes + size > self._max_body_bytes:
            return msgspec.structs.replace(outcome, body=b"", body_omitted=True)
        self._body_bytes += size
        return outcome

    def _fold_release(self, outcome: OutcomeRecord) -> None:
        entry = self._get_or_add_entry(outcome.customer, outcome.key)
        if entry is None or entry.outcome is not None:
            return
        if outcome.claim_id not in entry.dead:
            self._mark_dead(entry, outcome.claim_id)
        if entry.holder == outcome.claim_id:
            entry.holder = ""
            entry.fingerprint = b""

    def _mark_dead(self, entry: _Entry, claim_id: str) -> None:
        if len(entry.dead) < MAX_DEAD_CLAIMS:
            entry.dead = (*entry.dead, claim_id)
