"""Outbox of outcomes, which are resent until a batcher confirms them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_wire.records import OutcomeRecord


class _Unconfirmed:
    __slots__ = ("drop_at", "outcome", "rank", "send_at", "shard")

    def __init__(self, shard: int, outcome: OutcomeRecord, drop_at: float) -> None:
        self.shard = shard
        self.outcome = outcome
        self.rank = 0
        self.send_at = float("-inf")
        self.drop_at = drop_at


class OutcomeOutbox:
    """Outcomes that no batcher has confirmed yet.

    Args:
        settings: Settings.
    """

    def __init__(self, settings: ClaimSettings) -> None:
        self._settings = settings
        self._unconfirmed: dict[str, _Unconfirmed] = {}

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def add(self, shard: int, outcome: OutcomeRecord, now: float) -> None:
        """Adds an outcome; drops the oldest one if there are too many."""
        drop_at = now + self._settings.outcome_lifetime_s
        self._unconfirmed[outcome.claim_id] = _Unconfirmed(shard, outcome, drop_at)
        if len(self._unconfirmed) > self._settings.max_tracked:
            del self._unconfirmed[next(iter(self._unconfirmed))]

    def confirm(self, claim_id: str) -> bool:
        """Removes a confirmed outcome; returns whether it was unconfirmed."""
        return self._unconfirmed.pop(claim_id, None) is not None

    def take_due(self, now: float) -> list[tuple[int, int, OutcomeRecord]]:
        """Returns the shard, batcher rank and outcome of each outcome that must be sent now."""
        due: list[tuple[int, int, OutcomeRecord]] = []
        for claim_id in list(self._unconfirmed):
            item = self._unconfirmed[claim_id]
            if now >= item.drop_at:
                del self._unconfirmed[claim_id]
            elif now >= item.send_at:
                due.append((item.shard, item.rank, item.outcome))
                item.rank += 1
                item.send_at = now + self._settings.outcome_resend_s
        return due
