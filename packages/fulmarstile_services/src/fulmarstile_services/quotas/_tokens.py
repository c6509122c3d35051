"""Tokens and share of one customer at one daemon."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from fulmarstile_services.quotas.plan import LARGE_STOCK_S, SHARE_LIFETIME_S, STOCK_S
from fulmarstile_wire.quotas import NO_SHARE, QuotaDemand, QuotaGrant, QuotaShare

GIVE_BACK_S: Final = 0.05
"""Time after which a token can't be given back any more, in seconds.

Until then it counts as outstanding at the owner, so a longer time would lower the rate at which
requests that are not refused can take tokens.
"""
_PACE_TIME_S: Final = 0.25
"""Time constant of the measured demand, in seconds."""
_MEAN_PACE_TIME_S: Final = 3.0
"""Time constant of the demand by which shares are assigned, in seconds."""
_AMPLE_REPORT_S: Final = 0.5
"""Interval of reports about a customer for which the owner grants all wanted tokens, in seconds."""
_MIN_IDLE_S: Final = 0.1
"""Time without a request after which all tokens are returned at the earliest, in seconds."""
_MAX_IDLE_S: Final = 1.0
"""The same at the latest, in seconds."""
_IDLE_REQUESTS: Final = 5.0
"""Number of requests that would have arrived in this time at the measured demand.

At random arrivals, a customer that is not idle is taken for it once in 150 times.
"""
_SHORT_BACKLOG_S: Final = 0.4
"""Retry delay up to which tokens that are missing may arrive within one interval, in seconds."""


class CustomerTokens:
    """Tokens of one customer.

    Args:
        name: Name of the customer.
        rate: Rate of its quota, in requests per second.
        window_s: Length of the window in which the quota must be kept, in seconds.
        now: Current time, in seconds.
    """

    __slots__ = (
        "_asked",
        "_demand",
        "_is_scarce",
        "_measured_at",
        "_mean_pace",
        "_pace",
        "_requested_at",
        "_share_level",
        "_share_rests_since",
        "_share_used_at",
        "_window_s",
        "_young",
        "is_changed",
        "is_exhausted",
        "low_mark",
        "name",
        "queued",
        "rate",
        "retry_at",
        "share",
        "unspent",
        "waiting",
    )

    def __init__(self, name: str, rate: float, window_s: float, now: float) -> None:
        self.name = name
        self.rate = rate
        self.unspent = 0
        """Tokens that can be used."""
        self.low_mark = 0
        """Number of tokens below which more are wanted soon."""
        self.waiting = 0
        """Requests that wait for a token."""
        self.queued = 0
        """Requests that wait for the share."""
        self.is_changed = False
        """Whether the owner has to be told of something."""
        self.is_exhausted = False
        """Whether the owner had no tokens left at the last request."""
        self.retry_at = 0.0
        """Time at which tokens are expected again, in seconds."""
        self.share = NO_SHARE
        self._asked = False
        self._is_scarce = False
        self._young: deque[float] = deque()
        self._demand = 0
        self._pace = 0.0
        self._mean_pace = 0.0
        self._measured_at = now
        self._requested_at = now
        self._share_level = 0.0
        self._share_used_at = now
        self._share_rests_since = now
        self._window_s = window_s

    @property
    def is_idle(self) -> bool:
        """Whether the owner knows that the daemon holds nothing and needs nothing."""
        return not (
            self.is_changed
            or self.unspent
            or self.waiting
            or self._young
            or self._asked
            or self._demand
            or self.share.rate
        )

    @property
    def is_urgent(self) -> bool:
        """Whether tokens are needed before the next regular request."""
        return self.waiting > 0 or self.unspent < self.low_mark or self.is_exhausted

    def is_due(self, now: float) -> bool:
        """Returns whether the owner should be told of what is held, in a regular request."""
        if self.is_idle:
            return False
        return self._is_scarce or now >= self._measured_at + _AMPLE_REPORT_S

    def count_demand(self, now: float) -> None:
        """Counts a request of the customer."""
        self._demand += 1
        self._requested_at = now
        self.is_changed = True

    def report_soon(self) -> None:
        """Lets the next regular request mention this customer."""
        self.is_changed = True
        self._is_scarce = True

    def spend(self, now: float) -> None:
        """Uses a token; there must be one."""
        self.unspent -= 1
        young = self._young
        young.append(now)
        while young[0] <= now - GIVE_BACK_S:
            young.popleft()

    def give_back(self, taken_at: float, now: float) -> bool:
        """Makes a used token available again; returns whether that is still possible."""
        if taken_at <= now - GIVE_BACK_S or taken_at not in self._young:
            return False
        self._young.remove(taken_at)
        self.unspent += 1
        self.is_changed = True
        return True

    def drop_tokens(self) -> None:
        """Forgets all tokens, because their lease has ended."""
        if self.unspent or self._young:
            self.is_changed = True
        self.unspent = 0
        self._young.clear()

    def lower(self, ratio: float) -> None:
        """Reduces tokens and share to a fraction."""
        self.unspent = int(self.unspent * ratio)
        self.share = QuotaShare(int(self.share.rate * ratio), self.share.burst)
        self.is_changed = True

    def try_share(self, silent_since: float, heard_at: float, now: float) -> float:
        """Uses the share, if it allows a request now.

        The share accumulates only while no owner is heard from. It is full if it has rested for
        a window, so that its burst is used once in a window, even if it moves between daemons.

        Args:
            silent_since: Time at which the lease ended, in seconds.
            heard_at: Time at which the last answered request was sent, in seconds.
            now: Current time, in seconds.

        Returns:
            0 if a request is allowed, otherwise the time until the next one is, in seconds;
            infinity if the daemon holds no valid share.
        """
        rate = self.share.rate / 1000
        if rate <= 0.0 or now >= heard_at + SHARE_LIFETIME_S:
            return math.inf
        elapsed_s = max(0.0, now - max(self._share_used_at, silent_since))
        self._share_level = min(self._share_level + rate * elapsed_s, self.share.burst)
        self._share_used_at = now
        if now >= self._share_rests_since + self._window_s:
            self._share_level = float(self.share.burst)
        if self._share_level < 1.0:
            return (1.0 - self._share_level) / rate
        self._share_level -= 1.0
        self._share_rests_since = now
        return 0.0

    def make_demand(self, now: float) -> QuotaDemand:
        """Measures the demand and describes what is held, wanted and returned."""
        idle_s = min(_MAX_IDLE_S, max(_MIN_IDLE_S, _IDLE_REQUESTS / max(self._pace, 1.0)))
        elapsed_s = max(1e-3, now - self._measured_at)
        part = 1.0 - math.exp(-elapsed_s / _PACE_TIME_S)
        measured = self._demand / elapsed_s
        self._pace += (measured - self._pace) * part
        part = 1.0 - math.exp(-elapsed_s / _MEAN_PACE_TIME_S)
        self._mean_pace += (measured - self._mean_pace) * part
        self._measured_at = now
        had_demand = self._demand > 0
        self._demand = 0
        while self._young and self._young[0] <= now - GIVE_BACK_S:
            self._young.popleft()
        returned = 0
        if now >= self._requested_at + idle_s:
            self._pace = 0.0
            target, returned = self.waiting, self.unspent
        else:
            target = max(int(self._pace * LARGE_STOCK_S + 0.5), int(had_demand)) + self.waiting
            keep = 2 * max(1, target)
            if self._is_scarce:
                keep = int(self._pace * STOCK_S) + self.waiting
            returned = max(0, self.unspent - keep)
        self.unspent -= returned
        wanted = max(0, target - self.unspent)
        self.low_mark = target // 8
        return QuotaDemand(
            self.name,
            wanted,
            min(self.waiting, wanted),
            self.unspent + len(self._young),
            returned,
            round(self._pace * 10),
            self.share,
            round(self._mean_pace * 10),
        )

    def on_grant(self, demand: QuotaDemand, grant: QuotaGrant, now: float) -> None:
        """Adds granted tokens, and replaces the share."""
        self.unspent += grant.tokens
        delay_s = grant.retry_after_ms / 1000
        is_refused = grant.tokens < demand.urgent or grant.tokens == 0
        self.is_exhausted = delay_s > 0.0 and (is_refused or delay_s > _SHORT_BACKLOG_S)
        self.retry_at = now + delay_s
        self._is_scarce = grant.tokens < demand.wanted
        self._asked = max(demand.pace, demand.mean_pace) > 0 or grant.tokens < demand.wanted
        self.is_changed = self._asked or grant.share != demand.share
        if grant.share.burst > self.share.burst:
            self._share_rests_since = now
        self.share = grant.share
