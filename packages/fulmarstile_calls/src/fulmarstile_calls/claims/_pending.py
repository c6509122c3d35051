"""State of one claim at the requester."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_wire.records import ClaimRecord


class PendingClaim:
    """A claim that waits for its reply, holds its key or was given up."""

    __slots__ = (
        "deadline",
        "give_up_at",
        "last_asked",
        "rank",
        "record",
        "refusals",
        "resend_at",
        "shard",
    )

    def __init__(self, record: ClaimRecord, shard: int, deadline: float, give_up_at: float) -> None:
        self.record = record
        self.shard = shard
        self.deadline = deadline
        self.give_up_at = give_up_at
        self.last_asked = ""
        """Daemon that was asked last."""
        self.rank = 0
        """Number of daemons that have been asked."""
        self.resend_at = 0.0
        self.refusals = 0

    @property
    def may_be_appended(self) -> bool:
        """Whether a batcher that was asked has not refused the claim."""
        return self.refusals < self.rank
