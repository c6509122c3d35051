"""Crash reports and the request fingerprints that they quarantine."""

from __future__ import annotations

from collections import Counter
from typing import Final

from fulmarstile_wire.records import QuarantineRecord

CRASHES_TO_QUARANTINE: Final = 2
"""Number of distinct crashes at which a fingerprint is quarantined."""

_MS_PER_S: Final = 1000
_EVICTION_MARGIN_S: Final = 1.0
"""Minimum time by which a report must outlive the one that it evicts, in seconds."""


class QuarantineTable:
    """Counts the unexpired distinct crashes per fingerprint.

    Args:
        lifetime_s: Maximum lifetime of a report, in seconds.
        limit: Maximum number of reports kept; a further report evicts the oldest one whose
            fingerprint is not quarantined.
    """

    def __init__(self, lifetime_s: float, limit: int) -> None:
        self._lifetime_s = lifetime_s
        self._limit = limit
        self._expires_at: dict[tuple[bytes, str, int], float] = {}
        self._counts: Counter[bytes] = Counter()
        self._fingerprints: frozenset[bytes] = frozenset()

    @property
    def fingerprints(self) -> frozenset[bytes]:
        """Quarantined fingerprints; a change creates a new set."""
        return self._fingerprints

    def merge(self, record: QuarantineRecord, now: float) -> bool:
        """Adds a report; returns whether it was new and was kept."""
        key = (record.fingerprint, record.daemon_id, record.crash_id)
        expires_at = now + min(record.expires_in_ms / _MS_PER_S, self._lifetime_s)
        if key in self._expires_at or expires_at <= now:
            return False
        if len(self._expires_at) >= self._limit and not self._evict(expires_at):
            return False
        self._expires_at[key] = expires_at
        self._counts[record.fingerprint] += 1
        if self._counts[record.fingerprint] == CRASHES_TO_QUARANTINE:
            self._fingerprints |= {record.fingerprint}
        return True

    def list_records(self, now: float) -> list[QuarantineRecord]:
        """Returns the unexpired reports with their remaining lifetimes."""
        return [
            QuarantineRecord(
                fingerprint=fingerprint,
                daemon_id=daemon_id,
                crash_id=crash_id,
                expires_in_ms=int((expires_at - now) * _MS_PER_S),
            )
            for (fingerprint, daemon_id, crash_id), expires_at in sorted(self._expires_at.items())
            if expires_at > now
        ]

    def expire(self, now: float) -> None:
        """Removes expired reports."""
        expired = [key for key, expires_at in self._expires_at.items() if expires_at <= now]
        for key in expired:
            self._remove(key)

    def _evict(self, expires_at: float) -> bool:
        """Evicts a report to make room for another; returns whether one was evicted.

        A report never evicts one that expires at about the same time or later. Otherwise daemons
        that hold different reports would keep evicting and resending them forever.
        """
        for key, end in self._expires_at.items():
            if key[0] not in self._fingerprints:
                if end + _EVICTION_MARGIN_S > expires_at:
                    return False
                self._remove(key)
                return True
        return False

    def _remove(self, key: tuple[bytes, str, int]) -> None:
        fingerprint = key[0]
        del self._expires_at[key]
        self._counts[fingerprint] -= 1
        if self._counts[fingerprint] < CRASHES_TO_QUARANTINE:
            self._fingerprints -= {fingerprint}
        if not self._counts[fingerprint]:
            del self._counts[fingerprint]
