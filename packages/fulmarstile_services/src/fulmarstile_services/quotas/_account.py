"""One customer's bucket at the owner of its shard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_services.quotas.plan import STOCK_S
from fulmarstile_wire.quotas import NO_SHARE, QuotaShare

if TYPE_CHECKING:
    from fulmarstile_services.quotas.plan import QuotaPlan


_MIN_PART: Final = 0.125
"""Smallest part of the bucket that one daemon may get in advance."""


class Holding:
    """What one daemon holds of a customer's quota, as far as the owner knows."""

    __slots__ = ("held", "mean_pace", "pace", "share", "unmet")

    def __init__(self) -> None:
        self.held = 0
        """Tokens that it may still use."""
        self.share = NO_SHARE
        """Share that it may use while it hears from no owner."""
        self.pace = 0
        """Demand, in tenths of a request per second."""
        self.mean_pace = 0
        """Mean demand over some seconds, in tenths of a request per second."""
        self.unmet = 0
        """Tokens that it needed and did not get."""


class Account:
    """Bucket of a customer; tokens are in the bucket, outstanding at daemons, or used.

    The bucket and the outstanding tokens together never exceed the capacity, and grow by the
    rate less the shares that may be in use. Requests accepted in a window are therefore bounded
    by the capacity, the bursts of the shares, and the rate times the window.

    Args:
        plan: Limits of the customer.
        level: Tokens in the bucket at first.
        now: Current time, in seconds.
        unreported: Upper bound of the shares of earlier owners; None if it is not known.
        unknown_until: Time until which such shares may be in use, in seconds.
    """

    __slots__ = (
        "_filled_at",
        "_reserved",
        "_unknown_burst",
        "_unknown_rate",
        "_unknown_until",
        "booked_burst",
        "booked_rate",
        "level",
        "mean_pace",
        "outstanding",
        "pace",
        "plan",
        "unmet",
    )

    def __init__(
        self,
        plan: QuotaPlan,
        level: float,
        now: float,
        unreported: QuotaShare | None,
        unknown_until: float,
    ) -> None:
        self.plan = plan
        self.level = level
        """Tokens in the bucket."""
        self.outstanding = 0
        """Tokens that daemons may still use."""
        self.booked_rate = 0
        """Sum of the rates of all known shares, in thousandths of a request per second."""
        self.booked_burst = 0
        """Sum of the bursts of all known shares."""
        self.pace = 0
        """Demand at all daemons, in tenths of a request per second."""
        self.mean_pace = 0
        """Mean demand at all daemons, in tenths of a request per second."""
        self.unmet = 0
        """Tokens that daemons needed and did not get."""
        self._filled_at = now
        self._reserved = 0
        self._unknown_until = unknown_until
        self._unknown_rate = plan.share_rate if now < unknown_until else 0
        self._unknown_burst = plan.share_burst if now < unknown_until else 0
        if unreported is not None:
            self.limit_unknown(unreported, now)

    @property
    def unknown_rate(self) -> int:
        """Deduction for shares of an earlier owner that no daemon has reported, in thousandths."""
        return self._unknown_rate

    @property
    def silent_rate(self) -> int:
        """Deduction for shares of daemons that are not heard from, in thousandths."""
        return self._reserved

    def fill(self, now: float) -> None:
        """Adds the tokens of the time since the last call, in seconds."""
        elapsed_s = now - self._filled_at
        if elapsed_s <= 0.0:
            return
        self._filled_at = now
        rate = self.plan.rate - (self._reserved + self._unknown_rate) / 1000
        if rate > 0.0:
            self.credit(rate * elapsed_s)
        if self._unknown_rate and now >= self._unknown_until:
            self._unknown_rate = self._unknown_burst = 0

    def limit_unknown(self, unreported: QuotaShare, now: float) -> None:
        """Deducts no more than an upper bound of the shares that are unreported."""
        self.fill(now)
        self._unknown_rate = min(self._unknown_rate, unreported.rate)
        self._unknown_burst = min(self._unknown_burst, unreported.burst)

    def credit(self, tokens: float) -> None:
        """Adds tokens to the bucket as far as the capacity allows."""
        room = max(0.0, self.plan.capacity - self.outstanding)
        self.level = min(self.level + tokens, room)

    def replace_plan(self, plan: QuotaPlan, now: float) -> None:
        """Applies other limits; tokens above a lower capacity are dropped."""
        self.fill(now)
        self.plan = plan
        self._unknown_rate = min(self._unknown_rate, plan.share_rate)
        self._unknown_burst = min(self._unknown_burst, plan.share_burst)
        self.credit(0.0)

    def reserve(self, share: QuotaShare) -> None:
        """Deducts a share from the rate, for the time since the last call of `fill` as well."""
        self._reserved += share.rate

    def unreserve(self, share: QuotaShare, now: float) -> None:
        """Adds a share that can no longer be in use to the rate again."""
        self.fill(now)
        self._reserved -= share.rate

    def adopt_share(self, share: QuotaShare) -> QuotaShare:
        """Books a share that an earlier owner assigned; returns it as far as it is valid."""
        adopted = QuotaShare(
            min(share.rate, self._unknown_rate), min(share.burst, self._unknown_burst)
        )
        if not adopted.rate or not adopted.burst:
            # A share without a rate could never be removed from the sums again.
            return NO_SHARE
        self._unknown_rate -= adopted.rate
        self._unknown_burst -= adopted.burst
        self.book(adopted, 1)
        return adopted

    def book(self, share: QuotaShare, sign: int) -> None:
        """Adds a share to the sums of all shares, or removes it.

        Args:
            share: The share.
            sign: 1 to add it, -1 to remove it.
        """
        self.booked_rate += sign * share.rate
        self.booked_burst += sign * share.burst

    def grant(self, wanted: int, urgent: int, pace: int) -> tuple[int, int]:
        """Takes tokens for a daemon out of the bucket.

        Of the bucket, a daemon gets at most twice its part of the demand in advance, so that the
        first daemon that asks doesn't leave nothing for the others.

        Args:
            wanted: Tokens that the daemon wants.
            urgent: Those among them for which requests are waiting.
            pace: The daemon's demand, in tenths of a request per second.

        Returns:
            Number of tokens granted, and of those missing.
        """
        part = min(1.0, max(_MIN_PART, 2 * pace / self.pace if self.pace else 1.0))
        needed = min(wanted, max(urgent, int(pace * STOCK_S / 10)))
        tokens = min(needed, max(min(urgent, int(self.level)), int(self.level * part)))
        missing = needed - tokens
        spare = self.level - tokens - self.plan.capacity / 2
        if spare > 0.0:
            tokens += min(wanted - needed, int(spare * part))
        self.level -= tokens
        self.outstanding += tokens
        return tokens, missing

    def retry_after_s(self) -> float:
        """Returns the time after which the unmet demand could have been served, in seconds."""
        rate = self.plan.rate - (self._reserved + self._unknown_rate) / 1000
        missing = max(1.0, self.unmet) - self.level
        return max(0.001, missing / max(rate, self.plan.rate * 0.05))

    def propose_share(self, holding: Holding) -> QuotaShare:
        """Returns the share that a daemon should hold, in proportion to its demand."""
        plan, held = self.plan, holding.share
        part = holding.mean_pace / self.mean_pace if self.mean_pace else 0.0
        free_rate = plan.share_rate - self.booked_rate - self._unknown_rate + held.rate
        free_burst = plan.share_burst - self.booked_burst - self._unknown_burst + held.burst
        rate = min(int(plan.share_rate * part), free_rate)
        burst = min(max(1, int(plan.share_burst * part)), free_burst)
        if rate <= 0 or burst <= 0:
            return NO_SHARE
        return QuotaShare(rate, burst)
