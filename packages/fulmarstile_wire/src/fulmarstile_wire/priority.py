"""Admission classes."""

from __future__ import annotations

import enum


class Priority(enum.IntEnum):
    """Admission class of a route; a lower value is served first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3
