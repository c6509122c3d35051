"""Counters of a fold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FoldCounters:
    """What a fold has met since the process started."""

    records: int = 0
    accepted: int = 0
    refused: int = 0
    """Verified publications that were refused."""
    unverified: int = 0
    """Records refused without a valid signature."""
    over_quota: int = 0
    """Those of the unverified records that were over a quota."""
    duplicates: int = 0
    """Publications that already had their verdict."""
    skipped: int = 0
    """Publications not folded because records before them are missing or the log was reset."""
    gaps: int = 0
    snapshots_matched: int = 0
    snapshot_mismatches: int = 0
    """Authentic snapshots that differ from the fold's own state; expected to stay 0."""
    snapshots_adopted: int = 0
    snapshots_refused: int = 0
    """Forged, malformed or outdated snapshots."""
