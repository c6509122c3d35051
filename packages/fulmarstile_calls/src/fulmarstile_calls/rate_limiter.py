"""Rate limits per customer, from the customer's document."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_calls.token_bucket import TokenBucket
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_config.document import Limit
    from fulmarstile_config.routing_table import CompiledRoute

MAX_BUCKETS: Final = 4096
"""Most token buckets kept; the least recently used one is dropped first."""

_STATUS_TOO_MANY_REQUESTS: Final = 429


class RateLimiter:
    """Token buckets, one for each customer and limit.

    A bucket takes its rate and burst from the route of each call, so a new version of the
    document takes effect at once and does not refill the bucket.

    Args:
        max_buckets: Most buckets kept.
    """

    def __init__(self, max_buckets: int = MAX_BUCKETS) -> None:
        self._max_buckets = max_buckets
        self._buckets: OrderedDict[tuple[str, str], TokenBucket] = OrderedDict()

    @property
    def bucket_count(self) -> int:
        """Number of buckets kept."""
        return len(self._buckets)

    def check(self, route: CompiledRoute, now: float) -> CallRefusal | None:
        """Takes one token of the route's limit.

        Args:
            route: Route of the call.
            now: Monotonic time in seconds.

        Returns:
            The refusal if no token is left, else None.
        """
        limit = route.limit
        if limit is None:
            return None
        bucket = self._refill(route.customer, limit, now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        return _refuse(limit, bucket)

    def _refill(self, customer: str, limit: Limit, now: float) -> TokenBucket:
        key = (customer, limit.name)
        burst = max(1.0, float(limit.burst))
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(burst, now)
            if len(self._buckets) > self._max_buckets:
                self._buckets.popitem(last=False)
            return bucket
        self._buckets.move_to_end(key)
        bucket.refill(limit.calls_per_s, burst, now)
        return bucket


def _refuse(limit: Limit, bucket: TokenBucket) -> CallRefusal:
    retry_after_s = 60.0
    if limit.calls_per_s > 0:
        retry_after_s = (1.0 - bucket.tokens) / limit.calls_per_s
    return CallRefusal(
        RefusalReason.RATE_LIMITED,
        Verdict.NOT_RUN,
        _STATUS_TOO_MANY_REQUESTS,
        f"limit {limit.name} is {limit.calls_per_s:g} calls/s",
        retry_after_s,
    )
