"""One shard of the customers at one daemon: its lease, and the ledger while it owns the shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_services.quotas.lease import ShardLease
from fulmarstile_services.quotas.ledger import QuotaLedger
from fulmarstile_services.quotas.ownership import ShardOwnership
from fulmarstile_services.quotas.plan import CANDIDATE_COUNT
from fulmarstile_wire.quotas import QuotaReply

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from fulmarstile_services.quotas.plan import QuotaPlan
    from fulmarstile_wire.quotas import HoldersRecord, OwnerRecord, QuotaRequest


class QuotaShard:
    """Answers other daemons' requests as owner, and finds the owner for this daemon's requests.

    Args:
        name: Name of this daemon.
        incarnation: Start of this daemon.
        number: Number of the shard.
        window_s: Length of the window in which quotas must be kept, in seconds.
    """

    def __init__(self, name: str, incarnation: int, number: int, window_s: float) -> None:
        self._number = number
        self._plans: Mapping[str, QuotaPlan] = {}
        self._ledger: QuotaLedger | None = None
        self._owner = ""
        self._attempts = 0
        self._misses = 0
        self.lease = ShardLease(name, incarnation, number, window_s)
        """This daemon's tokens."""
        self.ownership = ShardOwnership(name, incarnation)
        """Whether this daemon owns the shard."""

    @property
    def ledger(self) -> QuotaLedger | None:
        """Ledger of the last epoch in which this daemon owned the shard; None if it never did."""
        return self._ledger

    def set_plans(self, plans: Mapping[str, QuotaPlan], now: float) -> None:
        """Applies the limits of the shard's customers.

        Args:
            plans: Limits by customer.
            now: Current time, in seconds.
        """
        self._plans = plans
        self.lease.set_rates({name: plan.rate for name, plan in plans.items()}, now)
        if self._ledger is not None:
            self._ledger.set_plans(plans, now)

    def on_request(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Answers a daemon's request, which may be this daemon's own.

        Args:
            request: The request.
            now: Current time, in seconds.
        """
        ownership = self.ownership
        if not ownership.may_grant(now) or request.epoch > ownership.epoch:
            return QuotaReply(False, ownership.owner)
        ledger = self._ledger
        if ledger is None:
            return QuotaReply(False)
        return QuotaReply(True, ownership.owner, ownership.epoch, ledger.on_request(request, now))

    def on_appended(self, record: OwnerRecord, at: int, sent_at: float, now: float) -> bool:
        """Processes a successful append of this daemon's ownership.

        Args:
            record: The record.
            at: Its offset.
            sent_at: Time at which the append was sent, in seconds.
            now: Current time, in seconds.

        Returns:
            Whether this daemon has become the owner.
        """
        ownership = self.ownership
        earlier_epoch = ownership.epoch
        ownership.on_appended(record, at, sent_at, now)
        if ownership.epoch == earlier_epoch:
            return False
        self._ledger = QuotaLedger(ownership.epoch, ownership.earlier_shares, now)
        self._ledger.set_plans(self._plans, now)
        return True

    def restart(self, incarnation: int) -> None:
        """Drops what this daemon holds, because others take it for a process started later.

        Args:
            incarnation: Start of this daemon as written to its record now.
        """
        self.lease.restart(incarnation)
        self.ownership.restart(incarnation)

    def observe_restarts(self, find_incarnation: Callable[[str], int], now: float) -> None:
        """Lets the owner stop waiting for the reports of processes that have ended.

        Args:
            find_incarnation: Returns the incarnation in which a daemon is known to have been
                started; 0 if it is unknown.
            now: Current time, in seconds.
        """
        if self._ledger is not None and self.ownership.may_grant(now):
            self._ledger.observe_restarts(find_incarnation, now)

    def next_holders(self, now: float) -> HoldersRecord | None:
        """Returns the list of share holders that the owner has to append; None for none.

        Args:
            now: Current time, in seconds.
        """
        if self._ledger is None or not self.ownership.may_grant(now):
            return None
        return self._ledger.next_holders(now)

    def on_holders_appended(self, record: HoldersRecord, at: int, now: float) -> None:
        """Processes a successful append of a list of share holders.

        Args:
            record: The record.
            at: Its offset.
            now: Current time, in seconds.
        """
        is_newest = self.ownership.on_holders_appended(record, at, now)
        if is_newest and self._ledger is not None and self._ledger.epoch == record.holders_epoch:
            self._ledger.on_holders_recorded(record)

    def choose_target(self, candidates: Sequence[str]) -> str | None:
        """Returns the daemon to ask; None if there is none.

        Args:
            candidates: Daemons that may own the shard, in the order in which they are asked.
        """
        if self._owner or not candidates:
            return self._owner or None
        return candidates[self._attempts % len(candidates)]

    def on_reply(self, target: str, reply: QuotaReply, now: float) -> None:
        """Processes the reply to this daemon's request.

        Args:
            target: Daemon that replied.
            reply: The reply.
            now: Current time, in seconds.
        """
        if reply.is_owner:
            self.lease.on_reply(reply, now)
            self._owner = target
            self._misses = 0
            return
        named = reply.owner if reply.owner not in ("", target) else ""
        self.on_failure()
        self._owner = named

    def on_failure(self) -> None:
        """Processes that this daemon's request was not answered in time, or not by the owner."""
        self._misses += 1
        self.lease.on_failure(is_final=self._misses % CANDIDATE_COUNT == 0)
        self._owner = ""
        self._attempts += 1
