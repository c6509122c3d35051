"""Crash reports, and the request fingerprints they put under quarantine."""

from __future__ import annotations

from typing import Final

from fulmarstile_wire.records import QuarantineRecord

CRASHES_TO_QUARANTINE: Final = 2
"""Distinct crashes after which a fingerprint is refused."""

_MS_PER_S: Final = 1000


class CrashBook:
    """Counts distinct crashes per fingerprint until they expire.

    Args:
        lifetime_s: Longest lifetime of a report, in seconds.
        limit: Most reports kept; further ones are ignored until some expire.
    """

    def __init__(self, lifetime_s: float, limit: int) -> None:
        self._lifetime_s = lifetime_s
        self._limit = limit
        self._expires_at: dict[tuple[bytes, str, int], float] = {}

    @property
    def fingerprints(self) -> frozenset[bytes]:
        """Fingerprints with enough distinct crashes."""
        counts: dict[bytes, int] = {}
        for fingerprint, _, _ in self._expires_at:
            counts[fingerprint] = counts.get(fingerprint, 0) + 1
        return frozenset(
            fingerprint for fingerprint, count in counts.items() if count >= CRASHES_TO_QUARANTINE
        )

    def merge(self, record: QuarantineRecord, now: float) -> bool:
        """Adds a report; returns whether it is new."""
        key = (record.fingerprint, record.daemon_id, record.crash_id)
        if key in self._expires_at or len(self._expires_at) >= self._limit:
            return False
        lifetime_s = min(record.expires_in_ms / _MS_PER_S, self._lifetime_s)
        if lifetime_s <= 0:
            return False
        self._expires_at[key] = now + lifetime_s
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
        self._expires_at = {
            key: expires_at for key, expires_at in self._expires_at.items() if expires_at > now
        }
