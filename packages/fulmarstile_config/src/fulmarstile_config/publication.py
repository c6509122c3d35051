"""Publications, which change sections of a document, and the verdicts on them."""

from __future__ import annotations

import enum

import msgspec


class SectionChange(msgspec.Struct, frozen=True, array_like=True):
    """New body of one section."""

    section: str
    """Section identifier, `kind` or `kind.name`."""
    base_version: int
    """Version at which the section was last changed, as the publisher saw it; 0 if absent."""
    body: str
    """YAML text; empty to remove the section."""


class Publication(msgspec.Struct, frozen=True, array_like=True, tag="publication"):
    """Signed request of a team to change sections of a customer's document."""

    publication_id: str
    """Identifier chosen by the publisher, unique within the team; resending is idempotent."""
    customer: str
    team: str
    changes: tuple[SectionChange, ...]
    signature: bytes = b""
    """Ed25519 signature over all other fields, with each body replaced by its SHA-256."""
    base_sequence: int = 0
    """The fold's `sequence` as the publisher saw it. It limits how long a copy can be replayed: a
    publication too old for its verdict to be kept is refused."""


class RefusalCode(enum.Enum):
    """Why a publication was refused."""

    MALFORMED = "malformed"
    OVERSIZE = "oversize"
    WRONG_CUSTOMER = "wrong-customer"
    UNKNOWN_TEAM = "unknown-team"
    BAD_SIGNATURE = "bad-signature"
    NOT_OWNER = "not-owner"
    CONFLICT = "conflict"
    SYNTAX = "syntax"
    INVALID = "invalid"
    DANGLING_REFERENCE = "dangling-reference"
    REPLAYED = "replayed"
    QUOTA = "quota"
    LOG_RESET = "log-reset"


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Reason for a refusal, and the section and line that it concerns."""

    code: RefusalCode
    reason: str
    section: str = ""
    line: int = 0
    """Line in the section's body, from 1; 0 if the refusal concerns no line."""


class PublicationVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Whether a publication was accepted, and if not, why."""

    publication_id: str
    team: str
    offset: int
    """Log offset of the record that the verdict is on."""
    appended_at_ms: int
    accepted: bool
    version: int
    """Version of the document after the publication was handled."""
    sections: tuple[str, ...] = ()
    refusal: Refusal | None = None
