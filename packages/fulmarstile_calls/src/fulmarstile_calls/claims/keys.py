"""Idempotency keys: UUIDs of version 7 (RFC 9562), which carry their creation time."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.claims.settings import ClaimSettings

KEY_HEADER: Final = "Idempotency-Key"
"""Header with the idempotency key."""

_KEY_CHARACTERS: Final = 36
_UUID_VERSION: Final = 7
_TIME_SHIFT_BITS: Final = 80
_STATUS_BAD_REQUEST: Final = 400
_STATUS_CONFLICT: Final = 409


def parse_key_time(key: str) -> int | None:
    """Returns the creation time of a key.

    Args:
        key: Key in lower case.

    Returns:
        Milliseconds since the epoch, or None if the key is not a UUID of version 7 in its
        canonical form.
    """
    if len(key) != _KEY_CHARACTERS:
        return None
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION or str(parsed) != key:
        return None
    return parsed.int >> _TIME_SHIFT_BITS


def normalize_key(value: str) -> str:
    """Returns the key of a header value, without spaces or quotes and in lower case."""
    return value.strip().strip('"').lower()


def check_key(key: str, wall_clock_ms: int, settings: ClaimSettings) -> CallRefusal | None:
    """Returns the refusal of a call whose key cannot be claimed, or None.

    Args:
        key: Normalized key; empty if the call has none.
        wall_clock_ms: Wall-clock time, in milliseconds since the epoch.
        settings: Settings.
    """
    if not key:
        return _refuse(RefusalReason.KEY_MISSING, f"the route needs an {KEY_HEADER} header")
    created_ms = parse_key_time(key)
    if created_ms is None:
        return _refuse(RefusalReason.KEY_INVALID, "the key is not a UUID of version 7")
    if created_ms + settings.window_ms < wall_clock_ms:
        return _refuse_expired("the key is too old")
    if created_ms > wall_clock_ms + settings.max_ahead_ms:
        return _refuse_expired("the key was made in the future")
    return None


def _refuse(reason: RefusalReason, detail: str) -> CallRefusal:
    return CallRefusal(reason, Verdict.NOT_RUN, _STATUS_BAD_REQUEST, detail)


def _refuse_expired(detail: str) -> CallRefusal:
    return CallRefusal(RefusalReason.KEY_EXPIRED, Verdict.NOT_RUN, _STATUS_CONFLICT, detail)
