"""Claims idempotency keys for the calls that arrive from callers at one daemon."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims._directory import BatcherDirectory
from fulmarstile_calls.claims._outcomes import OutcomeOutbox
from fulmarstile_calls.claims._pending import PendingClaim
from fulmarstile_calls.claims._refusals import (
    explain_loss,
    explain_refusal,
    refuse_after_deadline,
    refuse_unavailable,
)
from fulmarstile_calls.claims._replies import DEAD, EXPIRED
from fulmarstile_calls.claims.keys import check_key
from fulmarstile_calls.claims.results import ClaimFailed, ClaimStart, ClaimWon
from fulmarstile_calls.claims.sharding import shard_of
from fulmarstile_mesh.effects import Send
from fulmarstile_wire.messages import ClaimRequest, OutcomeReport
from fulmarstile_wire.records import ClaimRecord, OutcomeRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_mesh.effects import Effect
    from fulmarstile_wire.messages import ClaimReply
    from fulmarstile_wire.records import MemberRecord

_CONFIRMING_REFUSALS: Final = frozenset({"", DEAD, EXPIRED})


class ClaimRequester:
    """Claims keys and reports the outcomes of the requests whose claims won.

    A request may be run only between its `ClaimWon` and the call of `finish`, `release` or
    `finish_unknown`, and only while `may_run` returns True.

    Args:
        settings: Settings.
        daemon_id: Name of this daemon.
        address: `host:port` at which this daemon receives messages.
        incarnation: Number that no earlier process with the same `daemon_id` has used.
    """

    def __init__(
        self, settings: ClaimSettings, daemon_id: str, address: str, incarnation: int
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._address = address
        self._id_prefix = f"{daemon_id}/{incarnation}/"
        self._next_id = 0
        self._directory = BatcherDirectory(daemon_id, address, settings.avoid_s)
        self._pending: dict[str, PendingClaim] = {}
        self._held: dict[str, PendingClaim] = {}
        self._abandoned: OrderedDict[str, PendingClaim] = OrderedDict()
        self._outbox = OutcomeOutbox(settings)

    @property
    def pending_count(self) -> int:
        """Number of claims that wait for their reply."""
        return len(self._pending)

    @property
    def held_count(self) -> int:
        """Number of claims whose request may be running."""
        return len(self._held)

    @property
    def unconfirmed_count(self) -> int:
        """Number of outcomes that no batcher has confirmed yet."""
        return len(self._outbox)

    def replace_members(self, members: Iterable[MemberRecord], now: float) -> None:
        """Replaces the daemons that can batch claims; this daemon is always one of them."""
        self._directory.replace_members(members)

    def claim(
        self,
        customer: str,
        key: str,
        fingerprint: bytes,
        now: float,
        *,
        wall_clock_ms: int,
        deadline_s: float,
    ) -> ClaimStart:
        """Claims a key for one call.

        Args:
            customer: Customer of the call.
            key: Normalized idempotency key; empty if the call has none.
            fingerprint: Hash of method, path and body, 16 bytes.
            now: Monotonic time in seconds.
            wall_clock_ms: Wall-clock time, in milliseconds since the epoch.
            deadline_s: Monotonic time by which the call must have ended, in seconds.

        Returns:
            The claim's identifier and its first effects.
        """
        claim_id = f"{self._id_prefix}{self._next_id}"
        self._next_id += 1
        refusal = check_key(key, wall_clock_ms, self._settings)
        if refusal is None and len(self._pending) >= self._settings.max_pending:
            refusal = refuse_unavailable("too many claims are pending")
        if refusal is not None:
            return ClaimStart(claim_id, [ClaimFailed(claim_id, refusal)])
        record = ClaimRecord(customer, key, claim_id, fingerprint)
        shard = shard_of(customer, key, self._settings.shards)
        give_up_at = min(deadline_s, now + self._settings.give_up_after_s)
        claim = self._pending[claim_id] = PendingClaim(record, shard, deadline_s, give_up_at)
        return ClaimStart(claim_id, [self._send(claim, now)])

    def on_claim_reply(self, reply: ClaimReply, now: float) -> list[Effect]:
        """Handles the reply to a claim, or the confirmation of an outcome.

        Args:
            reply: The reply.
            now: Monotonic time in seconds.

        Returns:
            Effects, among them the claim's result.
        """
        claim_id = reply.claim_id
        self._directory.on_answer(reply.sender)
        claim = self._pending.get(claim_id)
        if claim is not None:
            return self._settle(claim, reply, now)
        if reply.winner_id == claim_id and reply.outcome is None:
            return self._release_late_win(claim_id, now)
        if reply.refusal in _CONFIRMING_REFUSALS:
            self._outbox.confirm(claim_id)
        return []

    def may_run(self, claim_id: str, now: float) -> bool:
        """Returns whether the request of a claim may be sent to an upstream now."""
        claim = self._held.get(claim_id)
        return claim is not None and now < claim.deadline

    def finish(
        self, claim_id: str, status: int, content_type: str, body: bytes | None, now: float
    ) -> list[Effect]:
        """Reports the complete answer that an upstream gave to the request of a claim.

        Args:
            claim_id: The claim.
            status: HTTP status of the answer.
            content_type: Content type of the answer.
            body: Body of the answer; one that is too large is not stored. None if the complete
                answer was forwarded without being kept.
            now: Monotonic time in seconds.

        Returns:
            Effects.
        """
        if body is None or len(body) > self._settings.max_body_bytes:
            return self._report(claim_id, now, False, status, content_type, omitted=True)
        return self._report(claim_id, now, False, status, content_type, body)

    def finish_unknown(self, claim_id: str, now: float) -> list[Effect]:
        """Reports that the request may have run but got no complete answer."""
        return self._report(claim_id, now, False)

    def release(self, claim_id: str, now: float) -> list[Effect]:
        """Reports that the request certainly was not run and never will be by this claim."""
        return self._report(claim_id, now, True)

    def abandon(self, claim_id: str, now: float) -> list[Effect]:
        """Gives up a claim whose caller has disconnected before its result."""
        claim = self._pending.get(claim_id)
        if claim is None:
            return []
        return self._give_up(claim, now)

    def on_tick(self, now: float) -> list[Effect]:
        """Resends claims and outcomes, and gives up claims that have timed out."""
        effects: list[Effect] = []
        for claim in list(self._pending.values()):
            if now >= claim.give_up_at:
                refusal = refuse_unavailable("the claim got no answer in time")
                effects.extend(self._give_up(claim, now))
                effects.append(ClaimFailed(claim.record.claim_id, refusal))
            elif now >= claim.resend_at:
                self._directory.on_timeout(claim.last_asked, now)
                effects.append(self._send(claim, now))
        effects.extend(self._send_outcomes(now))
        return effects

    def _settle(self, claim: PendingClaim, reply: ClaimReply, now: float) -> list[Effect]:
        claim_id = claim.record.claim_id
        if reply.winner_id == claim_id:
            return self._win(claim, now)
        claim.refusals += 1
        effects = self._give_up(claim, now)
        if reply.winner_id:
            effects.append(explain_loss(claim_id, claim.record.fingerprint, reply))
            return effects
        effects.append(ClaimFailed(claim_id, explain_refusal(reply.refusal)))
        return effects

    def _win(self, claim: PendingClaim, now: float) -> list[Effect]:
        claim_id = claim.record.claim_id
        if now >= claim.deadline:
            effects = self._give_up(claim, now)
            effects.append(ClaimFailed(claim_id, refuse_after_deadline()))
            return effects
        del self._pending[claim_id]
        self._held[claim_id] = claim
        return [ClaimWon(claim_id)]

    def _give_up(self, claim: PendingClaim, now: float) -> list[Effect]:
        """Ensures that a claim's request never runs, and frees its key if it may still win."""
        claim_id = claim.record.claim_id
        del self._pending[claim_id]
        self._abandoned[claim_id] = claim
        if len(self._abandoned) > self._settings.max_tracked:
            self._abandoned.popitem(last=False)
        if not claim.may_be_appended:
            return []
        return self._send_release(claim, now)

    def _release_late_win(self, claim_id: str, now: float) -> list[Effect]:
        """Frees the key of a claim that won after it was given up."""
        claim = self._abandoned.get(claim_id)
        if claim is None:
            return []
        return self._send_release(claim, now)

    def _send_release(self, claim: PendingClaim, now: float) -> list[Effect]:
        record = claim.record
        outcome = OutcomeRecord(record.customer, record.key, record.claim_id, releases_key=True)
        self._outbox.add(claim.shard, outcome, now)
        return self._send_outcomes(now)

    def _report(
        self,
        claim_id: str,
        now: float,
        releases_key: bool,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
        omitted: bool = False,
    ) -> list[Effect]:
        claim = self._held.pop(claim_id, None)
        if claim is None:
            return []
        record = claim.record
        outcome = OutcomeRecord(
            record.customer, record.key, claim_id, releases_key, status, content_type, body, omitted
        )
        self._outbox.add(claim.shard, outcome, now)
        return self._send_outcomes(now)

    def _send(self, claim: PendingClaim, now: float) -> Send:
        claim.last_asked, address = self._directory.find(claim.shard, claim.rank, now)
        claim.rank += 1
        claim.resend_at = now + self._settings.resend_after_s
        request = ClaimRequest(self._daemon_id, self._address, claim.shard, claim.record)
        return Send(address, request)

    def _send_outcomes(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for shard, rank, outcome in self._outbox.take_due(now):
            report = OutcomeReport(self._daemon_id, self._address, shard, outcome)
            _, address = self._directory.find(shard, rank, now)
            effects.append(Send(address, report))
        return effects
