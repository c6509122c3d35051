"""Appends the claims of one shard to the log in batches, and reports which of them won."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.claims._append_queue import AppendQueue
from fulmarstile_calls.claims._replies import LOG_UNAVAILABLE, OVERLOADED, ReplyFactory
from fulmarstile_calls.claims._tail import StreamTail
from fulmarstile_calls.claims.claim_table import ClaimTable
from fulmarstile_calls.claims.sharding import stream_of
from fulmarstile_mesh.effects import Send

if TYPE_CHECKING:
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_mesh.effects import Effect
    from fulmarstile_platform.log import LogPage
    from fulmarstile_wire.messages import ClaimReply, ClaimRequest, OutcomeReport
    from fulmarstile_wire.records import ClaimRecord, OutcomeRecord
    from fulmarstile_wire.verdict import Verdict


class _Waiting:
    """A claim or outcome whose sender waits for a reply."""

    __slots__ = ("received_at", "record", "reply_to")

    def __init__(
        self, record: ClaimRecord | OutcomeRecord, reply_to: str, received_at: float
    ) -> None:
        self.record = record
        self.reply_to = reply_to
        self.received_at = received_at


class ClaimBatcher:
    """Batches the claims on idempotency keys of one shard.

    Replies come from the claim table, which contains only what was read back from the log. So
    it is safe if two batchers of a shard are active at once, or if one resumes after a pause.

    Args:
        settings: Settings.
        shard: Number of the shard.
        daemon_id: Name of this daemon.
        address: `host:port` at which this daemon receives messages.
    """

    def __init__(self, settings: ClaimSettings, shard: int, daemon_id: str, address: str) -> None:
        self._settings = settings
        self._shard = shard
        self._stream = stream_of(shard)
        self._replies = ReplyFactory(daemon_id, address)
        self._table = ClaimTable(settings)
        self._tail = StreamTail(settings, self._stream, self._table)
        self._queue = AppendQueue(settings, self._stream)
        self._waiting: dict[str, _Waiting] = {}
        self._last_used_at = float("-inf")

    @property
    def shard(self) -> int:
        """Number of the shard."""
        return self._shard

    @property
    def stream(self) -> str:
        """Name of the shard's stream in the log."""
        return self._stream

    @property
    def table(self) -> ClaimTable:
        """Claims on the shard's keys, as far as the log has been read."""
        return self._table

    @property
    def is_caught_up(self) -> bool:
        """Whether the table has been folded to the end of the stream."""
        return self._tail.is_caught_up

    @property
    def waiting_count(self) -> int:
        """Number of claims and outcomes whose senders wait for a reply."""
        return len(self._waiting)

    @property
    def last_used_at(self) -> float:
        """Monotonic time of the last request, in seconds."""
        return self._last_used_at

    @property
    def due_at(self) -> float | None:
        """Monotonic time at which `on_tick` will start an append, in seconds; or None."""
        return self._queue.due_at if self._tail.is_caught_up else None

    @property
    def append_count(self) -> int:
        """Number of appends started."""
        return self._queue.append_count

    @property
    def reset_count(self) -> int:
        """Number of times the log has lost the stream."""
        return self._tail.reset_count

    def start(self, now: float) -> list[Effect]:
        """Starts to read the stream; safe to call at any time."""
        return [*self._tail.read(now, may_wait=True)]

    def on_claim_request(self, request: ClaimRequest, now: float) -> list[Effect]:
        """Answers a claim from the table, or queues it for the log.

        Args:
            request: The request.
            now: Monotonic time in seconds.

        Returns:
            Effects.
        """
        self._last_used_at = now
        claim = request.claim
        reply = self._answer_from_table(claim) or self._refuse_if_unavailable(claim, now)
        if reply is not None:
            return [Send(request.reply_to, reply)]
        self._add_waiting(claim, request.reply_to, now)
        self._queue.add_claim(claim)
        return self._append_and_read(now)

    def on_outcome_report(self, report: OutcomeReport, now: float) -> list[Effect]:
        """Queues the outcome of a claim for the log, unless the table already contains it."""
        self._last_used_at = now
        outcome = report.outcome
        if self._is_settled(outcome):
            return [Send(report.reply_to, self._report(outcome))]
        if len(outcome.body) > self._settings.max_body_bytes:
            return []
        if len(self._waiting) >= 2 * self._settings.max_pending:
            return []
        self._add_waiting(outcome, report.reply_to, now)
        self._queue.add_outcome(outcome, now)
        return self._append_and_read(now)

    def on_append_done(self, offset: int, now: float) -> list[Effect]:
        """Records that the append in flight succeeded; replies follow once it is read back."""
        self._queue.on_done()
        self._tail.request_check()
        return self._append_and_read(now)

    def on_append_failure(self, verdict: Verdict, now: float) -> list[Effect]:
        """Refuses the claims that certainly were not appended, and keeps the others.

        Args:
            verdict: Whether the append may have taken effect.
            now: Monotonic time in seconds.

        Returns:
            Effects.
        """
        effects: list[Effect] = []
        for claim in self._queue.on_failure(verdict, now):
            waiting = self._waiting.pop(claim.claim_id, None)
            if waiting is not None:
                reply = self._replies.refuse(claim.claim_id, LOG_UNAVAILABLE)
                effects.append(Send(waiting.reply_to, reply))
        self._tail.request_check()
        effects.extend(self._append_and_read(now))
        return effects

    def on_log_page(self, page: LogPage, now: float) -> list[Effect]:
        """Folds a page of the stream and replies to the claims found in it."""
        effects: list[Effect] = []
        for claim_id in self._tail.on_page(page):
            self._queue.discard(claim_id)
            waiting = self._waiting.pop(claim_id, None)
            if waiting is not None:
                effects.append(Send(waiting.reply_to, self._report(waiting.record)))
        if self._tail.is_caught_up and self._table.next_offset == 0:
            self._queue.request_opening()
        effects.extend(self._append_and_read(now))
        return effects

    def on_log_failure(self, now: float) -> list[Effect]:
        """Records that a read of the stream failed."""
        self._tail.on_failure(now)
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Appends what is due, resumes reading after a failure, and drops old requests."""
        self._drop_old(now)
        return self._append_and_read(now)

    def _add_waiting(self, record: ClaimRecord | OutcomeRecord, reply_to: str, now: float) -> None:
        self._waiting.pop(record.claim_id, None)
        self._waiting[record.claim_id] = _Waiting(record, reply_to, now)

    def _drop_old(self, now: float) -> None:
        horizon = now - self._settings.outcome_lifetime_s
        while self._waiting:
            claim_id = next(iter(self._waiting))
            if self._waiting[claim_id].received_at >= horizon:
                return
            del self._waiting[claim_id]
            self._queue.discard(claim_id)

    def _append_and_read(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        if self._tail.is_caught_up:
            effects.extend(self._queue.append(now))
        effects.extend(self._tail.read(now, self._queue.is_idle))
        return effects

    def _answer_from_table(self, claim: ClaimRecord) -> ClaimReply | None:
        state = self._table.find(claim.customer, claim.key, claim.claim_id)
        if state is None or not (state.winner_id or state.is_dead):
            return None
        return self._replies.report(claim.claim_id, state)

    def _refuse_if_unavailable(self, claim: ClaimRecord, now: float) -> ClaimReply | None:
        if claim.claim_id in self._waiting:
            return None
        if self._queue.is_unavailable(now):
            return self._replies.refuse(claim.claim_id, LOG_UNAVAILABLE)
        is_full = self._table.key_count >= self._settings.max_table_keys
        if is_full or len(self._waiting) >= self._settings.max_pending:
            return self._replies.refuse(claim.claim_id, OVERLOADED)
        return None

    def _is_settled(self, outcome: OutcomeRecord) -> bool:
        state = self._table.find(outcome.customer, outcome.key, outcome.claim_id)
        if state is None:
            return False
        if outcome.releases_key:
            return state.is_dead
        if state.winner_id != outcome.claim_id:
            return state.is_dead
        return state.outcome is not None and (state.outcome.status != 0 or outcome.status == 0)

    def _report(self, record: ClaimRecord | OutcomeRecord) -> ClaimReply:
        state = self._table.find(record.customer, record.key, record.claim_id)
        return self._replies.report(record.claim_id, state)
