"""Queue of the claims and outcomes of one shard that are to be appended to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims._backoff import Backoff
from fulmarstile_calls.claims.batch import ClaimBatch, encode_batch
from fulmarstile_mesh.effects import AppendLog
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_wire.records import ClaimRecord, OutcomeRecord

RECORD_OVERHEAD_BYTES: Final = 160
"""Estimated encoded size of a claim or of an outcome without its body, in bytes."""


class AppendQueue:
    """Batches records while an append is in flight, and limits the rate of appends.

    Args:
        settings: Settings.
        stream: Name of the stream.
    """

    def __init__(self, settings: ClaimSettings, stream: str) -> None:
        self._settings = settings
        self._stream = stream
        self._backoff = Backoff(settings.min_backoff_s, settings.max_backoff_s)
        self._claims: dict[str, ClaimRecord] = {}
        self._outcomes: dict[str, OutcomeRecord] = {}
        self._in_flight: ClaimBatch | None = None
        self._maybe_appended: set[str] = set()
        self._needs_opening = False
        self._outcomes_due_at = float("-inf")
        self._next_append_at = float("-inf")
        self._started_at = 0.0
        self._append_count = 0

    @property
    def append_count(self) -> int:
        """Number of appends started."""
        return self._append_count

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return self._in_flight is None and not (self._claims or self._outcomes)

    @property
    def due_at(self) -> float | None:
        """Monotonic time of the next append, in seconds; None if none can be planned."""
        if self._in_flight is not None:
            return None
        not_before = max(self._next_append_at, self._backoff.blocked_until)
        if self._claims or self._needs_opening:
            return not_before
        return max(not_before, self._outcomes_due_at) if self._outcomes else None

    def add_claim(self, claim: ClaimRecord) -> None:
        """Adds a claim, unless it is already queued or in flight."""
        in_flight = self._in_flight
        if in_flight is not None and claim in in_flight.claims:
            return
        self._claims[claim.claim_id] = claim

    def add_outcome(self, outcome: OutcomeRecord, now: float) -> None:
        """Adds an outcome, which may be delayed to share an append with a claim."""
        if not self._outcomes:
            self._outcomes_due_at = now + self._settings.outcome_delay_s
        self._outcomes[outcome.claim_id] = outcome

    def request_opening(self) -> None:
        """Requests an empty append, which becomes the first record of an empty stream."""
        self._needs_opening = True

    def discard(self, claim_id: str) -> None:
        """Removes a claim that need not be appended any more."""
        self._claims.pop(claim_id, None)
        self._maybe_appended.discard(claim_id)

    def is_unavailable(self, now: float) -> bool:
        """Returns whether the last append failed or the one in flight has stalled."""
        if self._backoff.is_blocked(now):
            return True
        return self._in_flight is not None and now - self._started_at > self._settings.stall_s

    def append(self, now: float) -> list[AppendLog]:
        """Returns the next append if one is due."""
        due_at = self.due_at
        if due_at is None or now < due_at:
            return []
        self._in_flight = self._take_batch()
        self._started_at = now
        self._next_append_at = now + self._settings.append_interval_s
        self._append_count += 1
        return [AppendLog(self._stream, encode_batch(self._in_flight))]

    def on_done(self) -> None:
        """Records that the append in flight succeeded."""
        self._in_flight = None
        self._backoff.on_success()

    def on_failure(self, verdict: Verdict, now: float) -> tuple[ClaimRecord, ...]:
        """Records that the append in flight failed, and requeues what must not be lost.

        Returns:
            Claims that this queue certainly has not appended; they are dropped.
        """
        batch = self._in_flight or ClaimBatch()
        self._in_flight = None
        self._backoff.on_failure(now)
        for outcome in batch.outcomes:
            self._outcomes.setdefault(outcome.claim_id, outcome)
        if verdict is not Verdict.NOT_RUN:
            self._maybe_appended.update(claim.claim_id for claim in batch.claims)
        dropped: list[ClaimRecord] = []
        for claim in batch.claims:
            if claim.claim_id in self._maybe_appended:
                self._claims.setdefault(claim.claim_id, claim)
            else:
                dropped.append(claim)
        return tuple(dropped)

    def _take_batch(self) -> ClaimBatch:
        if self._needs_opening:
            self._needs_opening = False
            return ClaimBatch()
        records_left = self._settings.max_batch_records
        bytes_left = self._settings.max_batch_bytes
        outcomes: list[OutcomeRecord] = []
        for outcome in list(self._outcomes.values()):
            size = RECORD_OVERHEAD_BYTES + len(outcome.body)
            if records_left == 0 or size > bytes_left:
                break
            records_left -= 1
            bytes_left -= size
            outcomes.append(self._outcomes.pop(outcome.claim_id))
        claims: list[ClaimRecord] = []
        for claim in list(self._claims.values()):
            if records_left == 0 or bytes_left < RECORD_OVERHEAD_BYTES:
                break
            records_left -= 1
            bytes_left -= RECORD_OVERHEAD_BYTES
            claims.append(self._claims.pop(claim.claim_id))
        return ClaimBatch(tuple(outcomes), tuple(claims))
