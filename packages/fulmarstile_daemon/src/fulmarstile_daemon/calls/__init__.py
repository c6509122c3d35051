"""The call proxy: trio I/O around the sans-I/O call logic."""

from fulmarstile_daemon.calls.context import (
    CallContext,
    ClaimAnswered,
    ClaimGranted,
    ClaimRefused,
    ClaimRequest,
    ClaimResult,
    Claims,
    Routes,
    StoredAnswer,
)
from fulmarstile_daemon.calls.counters import CallCounters
from fulmarstile_daemon.calls.dump import CallDump, PoolDump
from fulmarstile_daemon.calls.proxy import CallProxy
from fulmarstile_daemon.calls.settings import CallSettings

__all__ = [
    "CallContext",
    "CallCounters",
    "CallDump",
    "CallProxy",
    "CallSettings",
    "ClaimAnswered",
    "ClaimGranted",
    "ClaimRefused",
    "ClaimRequest",
    "ClaimResult",
    "Claims",
    "PoolDump",
    "Routes",
    "StoredAnswer",
]
