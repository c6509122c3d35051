"""Bounds on what one customer may put on its configuration stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FoldLimits:
    """Bounds of one customer's fold; all daemons of a deployment must use the same ones."""

    max_record_bytes: int = 256 << 10
    """Largest publication record, in bytes."""

    max_body_bytes: int = 64 << 10
    """Largest body of one section, in bytes of UTF-8."""

    max_document_bytes: int = 512 << 10
    """Largest sum of the bodies of a customer's sections, in bytes of UTF-8."""

    max_changes: int = 16
    """Most sections that one publication may change."""

    max_sections: int = 128
    """Most sections in a customer's document."""

    max_items: int = 1024
    """Most items in one section."""

    verifications_per_min: int = 300
    """Signatures verified for the customer per minute of log time."""

    publications_per_min: int = 60
    """Verified publications that one team may send per minute of log time."""

    body_bytes_per_min: int = 512 << 10
    """Section bodies that one team may send per minute of log time, in bytes."""

    customer_body_bytes_per_min: int = 2 << 20
    """Section bodies that all teams of the customer may send per minute of log time, in bytes."""

    recent_publications: int = 256
    """Verified publications whose verdicts are kept; older publications are refused as replays."""

    recent_unverified: int = 32
    """Verdicts kept of records that were refused without a valid signature."""

    recent_records: int = 256
    """Raw records kept for peers that lag."""

    recent_record_bytes: int = 1 << 20
    """Largest sum of the raw records kept for peers that lag, in bytes."""

    max_snapshot_record_bytes: int = 1 << 20
    """Largest snapshot record, in bytes."""

    max_snapshot_bytes: int = 4 << 20
    """Largest snapshot after decompression, in bytes."""
