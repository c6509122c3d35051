"""Claims on idempotency keys: a request that must not be repeated runs at most once."""

from fulmarstile_calls.claims.batcher import ClaimBatcher
from fulmarstile_calls.claims.claim_table import ClaimTable
from fulmarstile_calls.claims.keys import KEY_HEADER, check_key, normalize_key, parse_key_time
from fulmarstile_calls.claims.requester import ClaimRequester
from fulmarstile_calls.claims.results import ClaimFailed, ClaimLost, ClaimStart, ClaimWon
from fulmarstile_calls.claims.settings import ClaimSettings
from fulmarstile_calls.claims.shard_batchers import ShardBatchers
from fulmarstile_calls.claims.sharding import batcher_for, rank_batchers, shard_of, stream_of

__all__ = [
    "KEY_HEADER",
    "ClaimBatcher",
    "ClaimTable",
    "ClaimFailed",
    "ClaimLost",
    "ClaimRequester",
    "ClaimSettings",
    "ClaimStart",
    "ClaimWon",
    "ShardBatchers",
    "batcher_for",
    "check_key",
    "normalize_key",
    "parse_key_time",
    "rank_batchers",
    "shard_of",
    "stream_of",
]
