"""Replies of a batcher and their refusal reasons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_wire.messages import ClaimReply

if TYPE_CHECKING:
    from fulmarstile_calls.claims.claim_table import ClaimState

LOG_UNAVAILABLE: Final = "log-unavailable"
"""The log cannot be reached; this batcher has not appended the claim."""

OVERLOADED: Final = "overloaded"
"""Too many claims wait at this batcher; it has not appended the claim."""

EXPIRED: Final = "expired"
"""The claim has no effect, because its key has expired or is older than the stream."""

DEAD: Final = "dead"
"""The claim has lost or was released; it can never win."""


class ReplyFactory:
    """Makes the replies of one daemon.

    Args:
        daemon_id: Name of the daemon.
        address: `host:port` at which the daemon receives messages.
    """

    def __init__(self, daemon_id: str, address: str) -> None:
        self._daemon_id = daemon_id
        self._address = address

    def refuse(self, claim_id: str, refusal: str) -> ClaimReply:
        """Returns the reply to a claim that certainly does not hold its key."""
        return ClaimReply(self._daemon_id, self._address, claim_id, "", refusal=refusal)

    def report(self, claim_id: str, state: ClaimState | None) -> ClaimReply:
        """Returns the reply to a claim with its state in the claim table."""
        if state is None or not (state.winner_id or state.is_dead):
            return self.refuse(claim_id, EXPIRED)
        if not state.winner_id:
            return self.refuse(claim_id, DEAD)
        return ClaimReply(
            self._daemon_id,
            self._address,
            claim_id,
            state.winner_id,
            state.fingerprint,
            state.outcome,
        )
