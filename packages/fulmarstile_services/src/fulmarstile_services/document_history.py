"""The active document as other daemons receive it, and the versions before it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from fulmarstile_services.document_delta import compress_document, digest_document

_MAX_VERSIONS: Final = 8
"""Versions that are kept. Daemons that lag by more receive the whole document."""
_MAX_BYTES: Final = 4 << 20
"""Size up to which earlier versions are kept, in bytes."""


@dataclass(frozen=True, slots=True)
class EncodedDocument:
    """A compressed document."""

    content: bytes
    is_delta: bool
    """Whether an earlier version is needed to restore it."""


@dataclass(frozen=True, slots=True)
class _Version:
    digest: bytes
    document: bytes


class DocumentHistory:
    """Keeps recent versions, and encodes the newest one for a daemon that has one of the others."""

    def __init__(self) -> None:
        self._versions: deque[_Version] = deque()
        self._encoded: dict[bytes, EncodedDocument] = {}

    @property
    def current(self) -> bytes:
        """The newest version; empty if there is none."""
        return self._versions[-1].document if self._versions else b""

    @property
    def digest(self) -> bytes:
        """Digest of the newest version; empty if there is none."""
        return self._versions[-1].digest if self._versions else b""

    def add(self, document: bytes) -> None:
        """Adds a version that replaces the newest one.

        Args:
            document: The document without keys; empty if it must not leave the daemon.
        """
        digest = digest_document(document) if document else b""
        self._versions.append(_Version(digest, document))
        self._encoded.clear()
        while len(self._versions) > _MAX_VERSIONS or self._exceeds_size():
            self._versions.popleft()

    def encode(self, base: bytes) -> EncodedDocument | None:
        """Encodes the newest version.

        Args:
            base: Digest of the version that the other daemon has.

        Returns:
            The difference from that version if it is kept, else the whole document; None if there
            is no document.
        """
        if not self.current:
            return None
        known = next((each for each in self._versions if base and each.digest == base), None)
        key = b"" if known is None else base
        encoded = self._encoded.get(key)
        if encoded is None:
            content = compress_document(self.current, b"" if known is None else known.document)
            encoded = self._encoded[key] = EncodedDocument(content, known is not None)
        return encoded

    def _exceeds_size(self) -> bool:
        if len(self._versions) <= 2:
            return False
        return sum(len(each.document) for each in self._versions) > _MAX_BYTES
