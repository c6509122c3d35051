"""A daemon's tokens of the customers of one shard, leased from its owner."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_services.quotas._tokens import CustomerTokens
from fulmarstile_services.quotas.plan import LEASE_S, QUERY_TIMEOUT_S
from fulmarstile_wire.quotas import NO_SHARE, QuotaRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_wire.quotas import QuotaReply

MIN_INTERVAL_S: Final = 0.2
MAX_INTERVAL_S: Final = 0.3
"""Longest interval between requests while tokens are used, in seconds.

Tokens used since the last request count as outstanding at the owner, whose overage allows about
0.4 s of a customer's rate for them. The owner also needs two requests within less than 0.7 s.
"""
_REQUESTS_PER_S: Final = 2400
"""Requests per second that an owner should receive, if all daemons use its shard."""
_URGENT_GAP_S: Final = 0.02
"""Shortest time between two requests while requests wait for tokens, in seconds."""
_LOW_GAP_S: Final = 0.05
"""Shortest time between two requests while few tokens are left, in seconds."""
_RECHECK_S: Final = 0.05
"""Interval after the first request that found no tokens, doubled with each one that follows."""
_MAX_RECHECKS: Final = 10
_HOT_INTERVAL_S: Final = 0.1
"""Interval between requests while a customer with much demand has used its quota, in seconds.

It keeps most of the owner's allowance for outstanding tokens free, if few daemons use it.
"""
_HOT_PACE: Final = 1000
"""Demand of such a customer at one daemon, in tenths of a request per second."""
_UNKNOWN_RETRY_S: Final = 0.25
"""Retry delay while no owner is heard from and no share is held, in seconds."""
_MIN_RETRY_S: Final = 0.01


def choose_interval_s(daemon_count: int) -> float:
    """Returns the interval between requests while tokens are used, in seconds.

    Args:
        daemon_count: Number of daemons in the fleet.
    """
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, daemon_count / _REQUESTS_PER_S))


class Source(enum.Enum):
    """What allowed a request, or didn't."""

    TOKEN = "token"
    """A token of the owner allowed it."""
    SHARE = "share"
    """The daemon's share allowed it, while no owner is heard from."""
    UNLIMITED = "unlimited"
    """The customer has no quota any more."""
    WAIT = "wait"
    """The owner has to be asked first."""
    EXHAUSTED = "exhausted"
    """The customer has used its quota."""
    SILENT = "silent"
    """No owner is heard from, and the daemon's share is used or it has none."""


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may be sent."""

    source: Source
    retry_after_s: float = 0.0
    """Time until a request may be accepted, in seconds; 0 if it is accepted or waits."""
    is_worth_waiting: bool = True
    """Whether the share will allow a request after this time, if no owner answers before."""


_BY_TOKEN: Final = Decision(Source.TOKEN)
_BY_SHARE: Final = Decision(Source.SHARE)
_UNLIMITED: Final = Decision(Source.UNLIMITED)
_UNKNOWN: Final = Decision(Source.SILENT, _UNKNOWN_RETRY_S, is_worth_waiting=False)
_WAIT: Final = Decision(Source.WAIT)


class ShardLease:
    """Tokens of the customers of one shard at one daemon.

    All tokens are valid until `LEASE_S` after the sending of the last answered request.

    Args:
        sender: Name of this daemon.
        incarnation: Start of this daemon.
        shard: Number of the shard.
        window_s: Length of the window in which quotas must be kept, in seconds.
    """

    def __init__(self, sender: str, incarnation: int, shard: int, window_s: float) -> None:
        self._window_s = window_s
        self._sender = sender
        self._incarnation = incarnation
        self._shard = shard
        self._epoch = 0
        self._number = 0
        self._answered = 0
        self._heard_at = -math.inf
        self._sent_at = -math.inf
        self._full_at = -math.inf
        self._is_silent = False
        self._is_low = False
        self._is_hot = False
        self._rechecks = -1
        self._waiting = 0
        self._customers: dict[str, CustomerTokens] = {}
        self._active: dict[str, CustomerTokens] = {}
        self._asked: QuotaRequest | None = None

    @property
    def is_held(self) -> bool:
        """Whether the last request was answered."""
        return self._epoch > 0 and not self._is_silent

    @property
    def needs_tokens_soon(self) -> bool:
        """Whether few tokens are left, so that the owner should be asked sooner than planned."""
        return self._is_low and not self._is_silent

    @property
    def active_count(self) -> int:
        """Number of customers that use their quota at this daemon."""
        return len(self._active)

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Applies the quotas of the shard's customers.

        Args:
            rates: Requests per second by customer.
            now: Current time, in seconds.
        """
        for name in self._customers.keys() - rates.keys():
            del self._customers[name]
            self._active.pop(name, None)
        for name, rate in rates.items():
            tokens = self._customers.get(name)
            if tokens is None:
                self._customers[name] = CustomerTokens(name, rate, self._window_s, now)
                continue
            if rate < tokens.rate:
                tokens.lower(rate / tokens.rate)
            tokens.rate = rate

    def take(self, customer: str, now: float, *, is_first: bool = True) -> Decision:
        """Takes a token for a request.

        Args:
            customer: Name of a customer with a rate.
            now: Current time, in seconds.
            is_first: Whether the request takes a token for the first time, not after a wait.
        """
        tokens = self._customers.get(customer)
        if tokens is None:
            # A newer document than that of the request gives the customer no quota.
            return _UNLIMITED
        if is_first:
            tokens.count_demand(now)
            self._active[customer] = tokens
        if now >= self._heard_at + LEASE_S:
            return self._take_share(tokens, now, is_first)
        if tokens.unspent > 0:
            tokens.spend(now)
            if tokens.unspent < tokens.low_mark and not tokens.is_exhausted:
                self._is_low = True
            return _BY_TOKEN
        if tokens.is_exhausted:
            return Decision(Source.EXHAUSTED, max(_MIN_RETRY_S, tokens.retry_at - now))
        if is_first and not self._is_silent:
            return _WAIT
        if not self._is_silent and tokens.retry_at > now:
            # The owner answered, but granted too few tokens for the waiting requests.
            return Decision(Source.EXHAUSTED, max(_MIN_RETRY_S, tokens.retry_at - now))
        # The owner doesn't answer, and the share may not be used before the lease ends.
        return Decision(Source.SILENT, max(_MIN_RETRY_S, self._heard_at + LEASE_S - now))

    def has_token(self, customer: str, now: float) -> bool:
        """Returns whether a request that waits for a token can take one."""
        tokens = self._customers.get(customer)
        return tokens is not None and tokens.unspent > 0 and now < self._heard_at + LEASE_S

    def should_wait(self, customer: str, now: float) -> bool:
        """Returns whether a request that has no token should wait for a grant."""
        tokens = self._customers.get(customer)
        if tokens is None or (tokens.is_exhausted and now < self._heard_at + LEASE_S):
            return False
        return not self.has_token(customer, now)

    def restart(self, incarnation: int) -> None:
        """Drops all tokens and shares, because owners take the daemon for a new one.

        Args:
            incarnation: Start of this daemon as written to its record now.
        """
        self._incarnation = incarnation
        self._asked = None
        for tokens in self._active.values():
            tokens.drop_tokens()
            tokens.share = NO_SHARE

    def give_back(self, customer: str, taken_at: float, now: float) -> None:
        """Gives a token back, because its request was not run.

        Args:
            customer: Name of the customer.
            taken_at: Time at which the token was taken, in seconds.
            now: Current time, in seconds.
        """
        tokens = self._customers.get(customer)
        if tokens is not None and now < self._heard_at + LEASE_S:
            tokens.give_back(taken_at, now)

    def add_waiting(self, customer: str, count: int) -> None:
        """Counts requests that begin, or with a negative number end, to wait for a token."""
        self._waiting += count
        tokens = self._customers.get(customer)
        if tokens is not None:
            tokens.waiting = max(0, tokens.waiting + count)

    def add_queued(self, customer: str, count: int) -> None:
        """Counts requests that begin, or with a negative number end, to wait for the share."""
        tokens = self._customers.get(customer)
        if tokens is not None:
            tokens.queued = max(0, tokens.queued + count)

    def next_request_at(self, interval_s: float) -> float:
        """Returns the time at which the owner should be asked next; infinity for never.

        Args:
            interval_s: Interval between requests while tokens are used, in seconds.
        """
        if self._waiting and not self._is_silent:
            return self._sent_at + _URGENT_GAP_S
        if self._is_low and not self._is_silent:
            return self._sent_at + _LOW_GAP_S
        if self._active:
            if self._rechecks >= 0:
                interval_s = min(interval_s, _RECHECK_S * 2**self._rechecks)
            return self._sent_at + (
                min(interval_s, _HOT_INTERVAL_S) if self._is_hot else interval_s
            )
        return math.inf

    def make_request(self, now: float) -> QuotaRequest:
        """Makes the next request to the owner.

        Between the regular requests it only mentions customers that need tokens soon.
        """
        self._expire(now)
        self._sent_at = now
        self._is_low = False
        self._number += 1
        is_full = now >= self._full_at + MIN_INTERVAL_S
        if is_full:
            self._full_at = now
        demands = tuple(
            tokens.make_demand(now)
            for tokens in self._active.values()
            if tokens.is_urgent or (is_full and tokens.is_due(now))
        )
        self._asked = QuotaRequest(
            self._sender,
            self._incarnation,
            self._shard,
            self._epoch,
            self._number,
            self._answered,
            demands,
        )
        return self._asked

    def on_reply(self, reply: QuotaReply, now: float) -> None:
        """Processes an owner's reply to the last request.

        Args:
            reply: The reply.
            now: Current time, in seconds.
        """
        request = self._asked
        if request is None:
            return
        self._asked = None
        if now > self._sent_at + QUERY_TIMEOUT_S:
            # The owner may count on it that a reply that is used took less time.
            self.on_failure(is_final=True)
            return
        self._expire(now)
        if reply.epoch != self._epoch:
            self._change_epoch(reply)
        self._answered = request.number
        self._heard_at = self._sent_at
        self._is_silent = False
        self._is_hot = False
        demands = {demand.customer: demand for demand in request.demands}
        for grant in reply.grants:
            tokens = self._active.get(grant.customer)
            demand = demands.get(grant.customer)
            if tokens is not None and demand is not None:
                tokens.on_grant(demand, grant, now)
                self._is_hot = self._is_hot or (tokens.is_exhausted and demand.pace >= _HOT_PACE)
        is_exhausted = any(tokens.is_exhausted for tokens in self._active.values())
        self._rechecks = min(self._rechecks + 1, _MAX_RECHECKS) if is_exhausted else -1
        for name, tokens in list(self._active.items()):
            if tokens.is_idle:
                del self._active[name]

    def on_failure(self, *, is_final: bool) -> None:
        """Processes that the last request was not answered in time, or not by an owner.

        Args:
            is_final: Whether no other daemon should be asked at once.
        """
        self._asked = None
        self._full_at = -math.inf
        for tokens in self._active.values():
            # Another owner has to be told of everything that is held.
            tokens.report_soon()
        if is_final:
            self._is_silent = True
        else:
            self._sent_at = -math.inf

    def _take_share(self, tokens: CustomerTokens, now: float, is_first: bool) -> Decision:
        delay_s = tokens.try_share(self._heard_at + LEASE_S, self._heard_at, now)
        if delay_s <= 0.0:
            return _BY_SHARE
        if is_first and not self._is_silent:
            return _WAIT
        if math.isinf(delay_s):
            return _UNKNOWN
        delay_s += tokens.queued * 1000 / tokens.share.rate
        return Decision(Source.SILENT, max(_MIN_RETRY_S, delay_s))

    def _expire(self, now: float) -> None:
        if now >= self._heard_at + LEASE_S:
            for tokens in self._active.values():
                tokens.drop_tokens()

    def _change_epoch(self, reply: QuotaReply) -> None:
        """Drops the tokens of the earlier owner, and shares that the new one doesn't know of."""
        self._epoch = reply.epoch
        reported = {grant.customer for grant in reply.grants}
        for tokens in self._active.values():
            tokens.drop_tokens()
            if tokens.name not in reported:
                tokens.share = NO_SHARE
