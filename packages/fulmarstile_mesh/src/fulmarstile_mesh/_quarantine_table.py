"""Crash reports, and the request fingerprints they put under quarantine."""

from __future__ import annotations

from collections import Counter
from typing import Final

from fulmarstile_wire.records import QuarantineRecord

CRASHES_TO_QUARANTINE: Final = 2
"""Distinct crashes after which a fingerprint is refused."""

_MS_PER_S: Final = 1000
_EVICTION_MARGIN_S: Final = 1.0
"""Time by which a report must outlive the one that it displaces, in seconds."""


class QuarantineTable:
    """Counts distinct crashes per fingerprint until they expire.

    Args:
        lifetime_s: Longest lifetime of a report, in seconds.
        limit: Most reports kept; a further one displaces the oldest report of a fingerprint
            that is not under quarantine.
    """

    def __init__(self, lifetime_s: float, limit: int) -> None:
        self._lifetime_s = lifetime_s
        self._limit = limit
        self._expires_at: dict[tuple[bytes, str, int], float] = {}
        self._counts: Counter[bytes] = Counter()
        self._fingerprints: frozenset[bytes] = frozenset()

    @property
    def fingerprints(self) -> frozenset[bytes]:
        """Fingerprints with enough distinct crashes; replaced as a whole."""
        return self._fingerprints

    def merge(self, record: QuarantineRecord, now: float) -> bool:
        """Adds a report; returns whether it is new."""
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
        """Returns the reports with their remaining lifetimes."""
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
        """Forgets the reports whose lifetime is over."""
        expired = [key for key, expires_at in self._expires_at.items() if expires_at <= now]
        for key in expired:
            self._forget(key)

    def _evict(self, expires_at: float) -> bool:
        """Makes room for a report; returns whether there is any.

        A report never displaces one that expires at about the same time or later. Otherwise
        daemons that hold different reports would send them to one another for ever.
        """
        for key, end in self._expires_at.items():
            if key[0] not in self._fingerprints:
                if end + _EVICTION_MARGIN_S > expires_at:
                    return False
                self._forget(key)
                return True
        return False

    def _forget(self, key: tuple[bytes, str, int]) -> None:
        fingerprint = key[0]
        del self._expires_at[key]
        self._counts[fingerprint] -= 1
        if self._counts[fingerprint] < CRASHES_TO_QUARANTINE:
            self._fingerprints -= {fingerprint}
        if not self._counts[fingerprint]:
            del self._counts[fingerprint]
