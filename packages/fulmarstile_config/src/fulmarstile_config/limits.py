"""Limits on one customer's configuration stream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FoldLimits:
    """Limits of one customer's fold.

    All daemons of a deployment must use the same limits, so that they fold to the same state.
    """

    max_record_bytes: int = 256 << 10
    """Maximum size of a publication record, in bytes."""

    max_body_bytes: int = 64 << 10
    """Maximum size of a section's body, in bytes of UTF-8."""

    max_document_bytes: int = 512 << 10
    """Maximum total size of the bodies of a customer's sections, in bytes of UTF-8."""

    max_changes: int = 16
    """Maximum number of sections that one publication may change."""

    max_sections: int = 128
    """Maximum number of sections in a customer's document."""

    max_items: int = 1024
    """Maximum number of items in one section."""

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
    """Verdicts kept of records that were refused and have no verified signature."""

    recent_records: int = 256
    """Raw records kept to send to lagging peers."""

    recent_record_bytes: int = 1 << 20
    """Maximum total size of the raw records kept to send to lagging peers, in bytes."""

    max_snapshot_record_bytes: int = 1 << 20
    """Maximum size of a snapshot record, in bytes."""

    max_snapshot_bytes: int = 4 << 20
    """Maximum size of a snapshot after decompression, in bytes."""
