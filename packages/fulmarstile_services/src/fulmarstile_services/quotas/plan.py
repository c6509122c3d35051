"""Times of the quota protocol, and the limits that follow from a customer's quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_services.document import Customer
    from fulmarstile_services.settings import QuotaBounds

SHARD_COUNT: Final = 4
"""Number of shards over which customers are distributed."""
CANDIDATE_COUNT: Final = 3
"""Number of daemons that may own a shard."""
LEASE_S: Final = 1.0
"""Time after the sending of a request for which tokens are valid if it is answered, in seconds."""
QUERY_TIMEOUT_S: Final = 0.2
"""Time after which a request counts as unanswered and its reply is ignored, in seconds."""
SHARE_LIFETIME_S: Final = 15.0
"""Time after the sending of the last answered request for which a share is valid, in seconds."""
RENEWAL_S: Final = 0.9
"""Interval at which an owner renews its ownership, in seconds."""
GRANTING_S: Final = 2.5
"""Time after the sending of a renewal for which the owner grants tokens, in seconds."""
TAKEOVER_S: Final = 4.0
"""Time after the reading of a renewal from which another daemon may own the shard, in seconds.

It exceeds `GRANTING_S` + `LEASE_S`, so that no token of an earlier owner is valid by then.
"""
CLOCK_MARGIN_S: Final = 0.3
"""Time by which the clocks of two daemons may differ at the end of a share, in seconds."""
STOCK_S: Final = 0.3
"""Time for which a daemon needs tokens in advance, in seconds."""
LARGE_STOCK_S: Final = 1.0
"""Time for which it gets tokens in advance while the bucket is more than half full, in seconds.

They last until the daemon may use its share, if the owner fails.
"""
SHARE_RATIO: Final = 0.9
"""Fraction of a customer's rate that the shares of all daemons add up to at most."""
_OUTSTANDING_RATIO: Final = 0.78
"""Fraction of the allowed overage for tokens that are granted and not known to be used."""
_SHARE_BURST_RATIO: Final = 0.2
"""Fraction of the allowed overage for the bursts of all shares.

The rest of the overage is a reserve for clocks that run at different speeds.
"""


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """Limits that the owner of a customer's shard observes."""

    rate: float
    """Tokens per second."""
    capacity: float
    """Largest number of tokens in the bucket and outstanding together."""
    share_rate: int
    """Upper bound of the sum of all shares, in thousandths of a request per second."""
    share_burst: int
    """Upper bound of the sum of the bursts of all shares."""


def plan_quota(customer: Customer, bounds: QuotaBounds) -> QuotaPlan:
    """Distributes the overage that the bounds allow.

    In a window, at most `capacity` + `share_burst` + rate x window requests are accepted.

    Args:
        customer: A customer with a rate.
        bounds: Bounds of the deployment.
    """
    quota = customer.rate_per_s * bounds.window_s + customer.burst
    overage = quota * bounds.overage_ratio + bounds.slack
    return QuotaPlan(
        customer.rate_per_s,
        customer.burst + overage * _OUTSTANDING_RATIO,
        int(customer.rate_per_s * SHARE_RATIO * 1000),
        int(overage * _SHARE_BURST_RATIO),
    )


def shard_of(customer: str) -> int:
    """Returns the shard of a customer, from 0."""
    return xxhash.xxh3_64_intdigest(customer.encode()) % SHARD_COUNT


def rank_candidates(shard: int, daemons: Iterable[str]) -> list[str]:
    """Returns the daemons that may own a shard, in the order in which they are asked.

    Args:
        shard: Number of the shard.
        daemons: Names of the daemons to choose from.
    """

    def score(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{shard}\n{name}".encode())

    return sorted(daemons, key=score)[:CANDIDATE_COUNT]
