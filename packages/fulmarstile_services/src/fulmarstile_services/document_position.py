"""Where the operator's topic holds the active version, and what it holds behind that."""

from __future__ import annotations

UNKNOWN_OFFSET = -1
"""Offset of a record that no reader has told."""


class DocumentPosition:
    """Tracks the records of the document in the operator's topic.

    All offsets only grow while a version is active, so that what several daemons know can be merged
    in any order.
    """

    def __init__(self) -> None:
        self._active_offset = self._last_offset = self._unusable_offset = UNKNOWN_OFFSET

    @property
    def active_offset(self) -> int:
        """Offset of the last record that holds the active version."""
        return self._active_offset

    @property
    def last_offset(self) -> int:
        """Offset of the last record of the document, usable or not."""
        return self._last_offset

    @property
    def unusable_offset(self) -> int:
        """Offset of the last record of the document that is a deletion or cannot be decoded."""
        return self._unusable_offset

    @property
    def is_hidden(self) -> bool:
        """Whether another record of the document follows that of the active version."""
        return UNKNOWN_OFFSET < self._active_offset < self._last_offset

    @property
    def may_be_superseded(self) -> bool:
        """Whether an unusable record follows that of the active version; it may be a newer one."""
        return self._unusable_offset > self._active_offset

    def on_active(self, offset: int, *, is_new: bool) -> None:
        """Notes a record that holds the active version.

        Args:
            offset: Its offset, or `UNKNOWN_OFFSET`.
            is_new: Whether the version has just become active.
        """
        self._active_offset = offset if is_new else max(self._active_offset, offset)
        self._last_offset = max(self._last_offset, offset)

    def on_older(self, offset: int) -> None:
        """Notes the offset of a record that holds an older version."""
        self._last_offset = max(self._last_offset, offset)

    def on_unusable(self, offset: int) -> None:
        """Notes the offset of a record that is a deletion or cannot be decoded."""
        self._unusable_offset = max(self._unusable_offset, offset)
        self._last_offset = max(self._last_offset, offset)
