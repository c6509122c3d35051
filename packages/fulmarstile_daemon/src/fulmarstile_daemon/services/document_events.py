"""Events about the operator's document that the daemon writes to its log."""

from __future__ import annotations

from typing import ClassVar

from fulmarstile_daemon.services.events import LogEvent


class DocumentApplied(LogEvent, tag="document_applied"):
    """Another version of the operator's document became active."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    replaced: int
    routes: int
    source: str
    offset: int | None = None
    """Position of its record in the operator's topic, if it was read there."""
    digest: str = ""
    """Digest of the document as it was received."""
    bytes: int = 0
    """Size in which it was received; from another daemon, that of the difference."""
    silent_s: float | None = None
    """Time since the last contact with the store, direct or through others; None if none."""


class DocumentSilent(LogEvent, tag="document_silent"):
    """Nobody has told for too long what the store has of the operator's document."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    silent_s: float | None = None
    """Time since the last contact with the store, direct or through others."""
    asked: tuple[str, ...] = ()
    """Other daemons that were asked and have not replied."""
    reads_store: bool = False
    """Whether this daemon reads the store, for others or because none replies."""


class DocumentHeard(LogEvent, tag="document_heard"):
    """It is known again what the store has of the operator's document."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    after_s: float


class DocumentRead(LogEvent, tag="document_read"):
    """A read of the operator's topic returned records."""

    lines_per_s: ClassVar[int | None] = 20
    purpose: str
    """`follow` for the poll, `newest` for the newest record of each key, `skipped` for
    what that has skipped."""
    records: int = 0
    from_offset: int = 0
    """Offset of the first of these records."""
    next_offset: int = 0
    skipped: int = 0
    """Records before the first one that were neither read nor known."""
    has_more: bool = False
    """Whether the store had later records already."""
    bytes: int = 0
    """Size of the answer as the store encodes it."""
    elapsed_s: float = 0.0
    """Time from the request to the end of the answer; a poll waits for a record first."""
    transfer_s: float = 0.0
    """Time from the head of the answer to its end."""


class DocumentUnread(LogEvent, tag="document_unread"):
    """Records of the operator's topic were skipped, which may hold a newer version."""

    version: int
    from_offset: int
    """Offset of the first record that was skipped."""
    next_offset: int
    """Offset up to which all other records were read."""


class DocumentMissed(LogEvent, tag="document_missed"):
    """A version was found at an offset that was known, where polls had not returned it."""

    version: int
    offset: int
    """Position of its record in the operator's topic."""
    known_offset: int
    """Offset up to which the topic counted as known."""


class DocumentComplete(LogEvent, tag="document_complete"):
    """What was skipped is known, here or by another daemon."""

    version: int
    after_s: float


class DocumentRejected(LogEvent, tag="document_rejected"):
    """A document is invalid and was not applied."""

    reason: str
    source: str
    offset: int | None = None
    """Position of its record in the operator's topic, if it was read there."""
    digest: str = ""
    """Digest of the document as it was received."""


class DocumentOutdated(LogEvent, tag="document_outdated"):
    """A record behind the active version holds an older one and was not applied."""

    version: int
    """Version in the record."""
    active: int
    offset: int
    """Position of the record in the operator's topic."""
    digest: str


class DocumentConflict(LogEvent, tag="document_conflict"):
    """A record holds the active version with another content and was not applied."""

    version: int
    offset: int
    """Position of the record in the operator's topic."""
    active_offset: int
    """Position of the record of the active content, or -1 if no reader has told it."""
    digest: str
    active_digest: str


class DocumentCopied(LogEvent, tag="document_copied"):
    """The active version, which the operator's topic hides, was written to another topic."""

    version: int
    bytes: int = 0


class DocumentNotCopied(LogEvent, tag="document_not_copied"):
    """The operator's topic hides the active version, which can't be written to another topic."""

    version: int
    reason: str


class DocumentStale(LogEvent, tag="document_stale"):
    """The document may be outdated, so requests that need a key are refused."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    age_s: float | None = None
    """Time since the version was known to be the newest; absent if it never was."""


class DocumentConfirmed(LogEvent, tag="document_confirmed"):
    """The document is known to be the newest one again."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    after_s: float
    """Time for which requests that need a key were refused."""
