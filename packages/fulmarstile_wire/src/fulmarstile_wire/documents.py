"""Messages by which daemons pass on newer versions of the operator's document."""

from __future__ import annotations

import msgspec


class TopicRecord(msgspec.Struct, frozen=True, array_like=True):
    """Another record of the operator's topic."""

    key: str
    value: bytes
    """Content; empty if the key was removed."""
    offset: int
    """Position of the record in the topic."""


class DocumentRequest(msgspec.Struct, frozen=True, array_like=True, tag="document"):
    """Asks for what the operator's topic has beyond what the sender knows."""

    sender: str
    version: int
    """Version that is active at the sender; -1 for none."""
    base: bytes = b""
    """Digest of the sender's document without keys; empty if a delta is of no use to it."""
    next_offset: int = -1
    """Offset up to which the sender knows the topic; -1 if it knows nothing."""
    wait_ms: int = 0
    """Longest time for which the reply may wait for something newer, in milliseconds."""


class DocumentReply(msgspec.Struct, frozen=True, array_like=True, tag="document"):
    """Answers a `DocumentRequest`."""

    version: int
    """Version that is active at the replying daemon; -1 for none."""
    content: bytes = b""
    """The compressed document without keys; empty if the sender has this version or a newer one."""
    is_delta: bool = False
    """Whether the content needs the document that the request names as its base."""
    next_offset: int = -1
    """Offset up to which the replying daemon knows the topic; -1 if it knows nothing."""
    records: tuple[TopicRecord, ...] = ()
    """The newest record of each other key that the sender may lack."""
    is_current: bool = False
    """Whether the replying daemon follows the store itself, without an error."""
    age_ms: int = -1
    """Time since its version was known to be the newest, in milliseconds; -1 if unknown."""
    heard_ms: int | None = None
    """Time from the arrival of the request to the last contact of the replying daemon with the
    store, direct or through others, in milliseconds; negative if that was before, None if there was
    none."""
    unusable_offset: int | None = None
    """Offset of the topic's newest record of the document if it is of no use to the replying
    daemon; else -1. None from a daemon of an earlier release, which counts records as known that it
    has skipped."""
