"""Histograms of service times that can be encoded, subtracted and merged by maximum."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

_FIRST_BOUND_S: Final = 0.0005
"""Upper bound of the first bucket, in seconds."""
BUCKETS_PER_OCTAVE: Final = 3
"""Resolution; a bucket is a factor of 1.26 wide."""
BUCKET_COUNT: Final = 52
"""Number of buckets; the last one holds everything above 60 s."""


def find_bucket(service_s: float) -> int:
    """Returns the bucket of a service time, in seconds."""
    if service_s <= _FIRST_BOUND_S:
        return 0
    bucket = math.ceil(math.log2(service_s / _FIRST_BOUND_S) * BUCKETS_PER_OCTAVE)
    return min(bucket, BUCKET_COUNT - 1)


def upper_bound_s(bucket: int) -> float:
    """Returns the largest service time of a bucket, in seconds."""
    return _FIRST_BOUND_S * 2.0 ** (bucket / BUCKETS_PER_OCTAVE)


def find_quantile(counts: Sequence[float], quantile: float) -> int:
    """Returns the bucket that holds a quantile; 0 if the histogram is empty.

    Args:
        counts: Number of service times in each bucket.
        quantile: Quantile, from 0 to 1.
    """
    rank = sum(counts) * quantile
    for bucket, count in enumerate(counts):
        rank -= count
        if count and rank <= 0.0:
            return bucket
    return 0
