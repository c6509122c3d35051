"""Counters of a fold."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FoldCounters:
    """Events counted by a fold since the process started."""

    records: int = 0
    accepted: int = 0
    refused: int = 0
    """Verified publications that were refused."""
    unverified: int = 0
    """Records refused that have no verified signature."""
    over_quota: int = 0
    """Records refused over a quota; included in `unverified`."""
    duplicates: int = 0
    """Publications that had a verdict already."""
    skipped: int = 0
    """Publications not folded because records before them are missing or the log was reset."""
    gaps: int = 0
    """Number of times that records were missing from the stream."""
    snapshots_matched: int = 0
    """Authentic snapshots that match the fold's own state."""
    snapshot_mismatches: int = 0
    """Authentic snapshots that differ from the fold's own state; expected to stay 0."""
    snapshots_adopted: int = 0
    snapshots_refused: int = 0
    """Forged, malformed or outdated snapshots."""
