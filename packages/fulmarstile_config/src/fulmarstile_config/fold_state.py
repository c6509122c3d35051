"""State that results from folding a customer's records."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_config.document import Document
from fulmarstile_config.keys import SignedChange

if TYPE_CHECKING:
    from fulmarstile_config.quota import QuotaMeter
    from fulmarstile_config.section import ParsedSection
    from fulmarstile_config.verdict_history import VerdictHistory

DIGEST_BYTES: Final = 8
"""Length of the digest of a fold's state, in bytes."""

_encoder = msgspec.msgpack.Encoder()


class SignedPublication(msgspec.Struct, frozen=True, array_like=True):
    """Signed content of an accepted publication, with digests in place of bodies."""

    publication_id: str
    team: str
    base_sequence: int
    changes: tuple[SignedChange, ...]
    signature: bytes


@dataclass(frozen=True, slots=True)
class SectionState:
    """Current content of a section, and the publication that it comes from."""

    section: str
    version: int
    """Version of the document at which the section was last changed."""
    team: str
    publication_id: str
    body: str
    parsed: ParsedSection = field(repr=False)
    publication: SignedPublication = field(repr=False)
    teams: SectionState | None = field(repr=False)
    """Teams section that authorized the publication; None if the owner team published it."""

    @property
    def body_digest(self) -> bytes:
        """SHA-256 of the body as signed; empty if the publication does not cover the section."""
        changes = self.publication.changes
        digests = (change.body_digest for change in changes if change.section == self.section)
        return next(digests, b"")


@dataclass(slots=True)
class FoldState:
    """Document, version and verdicts of one customer."""

    verdicts: VerdictHistory
    quota: QuotaMeter
    generation: int = 0
    version: int = 0
    sequence: int = 0
    """Number of verified publications folded."""
    sections: dict[str, SectionState] = field(default_factory=dict)
    document: Document = field(default_factory=Document)
    digest: bytes = b""
    last_record: bytes = b""
    """Digest of the last folded record, to detect that the log holds another one at its offset."""

    def __post_init__(self) -> None:
        self.digest = self.compute_digest()

    def compute_digest(self) -> bytes:
        """Returns the digest of the document, its version and the sequence."""
        content = [
            (state.section, state.version, state.team, state.publication_id, state.body_digest)
            for state in (self.sections[section] for section in sorted(self.sections))
        ]
        encoded = _encoder.encode((self.version, self.sequence, content))
        return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def digest_record(payload: bytes) -> bytes:
    """Returns the digest of a record's payload."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest()
