"""State that a customer's records fold to."""

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
    """An accepted publication without its bodies, as far as its signature covers it."""

    publication_id: str
    team: str
    base_sequence: int
    changes: tuple[SignedChange, ...]
    signature: bytes


@dataclass(frozen=True, slots=True)
class SectionState:
    """A section in force."""

    section: str
    version: int
    """Version of the document at which the section was last changed."""
    team: str
    publication_id: str
    body: str
    parsed: ParsedSection = field(repr=False)
    publication: SignedPublication = field(repr=False)
    teams: SectionState | None = field(repr=False)
    """The teams section that was in force when the publication was accepted, unless the owner
    published it."""

    @property
    def body_digest(self) -> bytes:
        """SHA-256 of the body as its publication states it; empty if it does not."""
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
    """Digest of the record folded last; shows whether the log still holds that record."""

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
