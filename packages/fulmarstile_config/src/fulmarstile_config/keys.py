"""Ed25519 keys and signatures of publications."""

from __future__ import annotations

import base64
import binascii
import functools
import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from fulmarstile_config.errors import KeyFormatError

if TYPE_CHECKING:
    from fulmarstile_config.publication import Publication

KEY_BYTES: Final = 32
"""Length of a private and of a public key, in bytes."""

SIGNATURE_BYTES: Final = 64
"""Length of a signature, in bytes."""

_CONTEXT: Final = "fulmarstile publication 1"
_KEY_CACHE_SIZE: Final = 1024

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class KeyPair:
    """An Ed25519 key pair in raw form."""

    private_key: bytes
    public_key: bytes


class SignedChange(msgspec.Struct, frozen=True, array_like=True):
    """What a signature covers of one section's change."""

    section: str
    base_version: int
    body_digest: bytes
    """SHA-256 of the body, so that a signature can be checked without superseded bodies."""


def generate_key_pair() -> KeyPair:
    """Returns a fresh key pair."""
    private_key = Ed25519PrivateKey.generate()
    return KeyPair(private_key.private_bytes_raw(), private_key.public_key().public_bytes_raw())


def derive_public_key(private_key: bytes) -> bytes:
    """Returns the public key of a raw private key.

    Raises:
        KeyFormatError: If the key has the wrong length.
    """
    return _load_private_key(private_key).public_key().public_bytes_raw()


def encode_key(key: bytes) -> str:
    """Returns the base64 form of a key, as it stands in files and documents."""
    return base64.b64encode(key).decode()


def decode_public_key(text: str) -> bytes | None:
    """Returns the key whose base64 form is `text`, or None if it is not a valid key."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None
    return key if len(key) == KEY_BYTES else None


def digest_body(body: str) -> bytes:
    """Returns the SHA-256 of a section's body."""
    return hashlib.sha256(body.encode("utf-8", "surrogatepass")).digest()


def signed_changes(publication: Publication) -> tuple[SignedChange, ...]:
    """Returns what the signature covers of each change of a publication."""
    return tuple(
        SignedChange(change.section, change.base_version, digest_body(change.body))
        for change in publication.changes
    )


def signed_bytes(
    publication_id: str,
    customer: str,
    team: str,
    base_sequence: int,
    changes: tuple[SignedChange, ...],
) -> bytes:
    """Returns the bytes that a publication's signature covers."""
    return _encoder.encode((_CONTEXT, publication_id, customer, team, base_sequence, changes))


def sign_publication(publication: Publication, private_key: bytes) -> Publication:
    """Returns the publication with its signature.

    Args:
        publication: Publication to sign; a signature that it has is replaced.
        private_key: Raw Ed25519 private key of the team.

    Returns:
        The signed publication.

    Raises:
        KeyFormatError: If the key has the wrong length.
    """
    content = signed_bytes(
        publication.publication_id,
        publication.customer,
        publication.team,
        publication.base_sequence,
        signed_changes(publication),
    )
    signature = _load_private_key(private_key).sign(content)
    return msgspec.structs.replace(publication, signature=signature)


def is_signed_by(content: bytes, signature: bytes, public_key: bytes) -> bool:
    """Returns whether `signature` is the one of `public_key` over `content`."""
    if len(signature) != SIGNATURE_BYTES:
        return False
    key = _load_public_key(public_key)
    if key is None:
        return False
    try:
        key.verify(signature, content)
    except InvalidSignature:
        return False
    return True


def _load_private_key(private_key: bytes) -> Ed25519PrivateKey:
    if len(private_key) != KEY_BYTES:
        raise KeyFormatError(f"private key has {len(private_key)} bytes instead of {KEY_BYTES}")
    return Ed25519PrivateKey.from_private_bytes(private_key)


@functools.lru_cache(maxsize=_KEY_CACHE_SIZE)
def _load_public_key(public_key: bytes) -> Ed25519PublicKey | None:
    try:
        return Ed25519PublicKey.from_public_bytes(public_key)
    except ValueError:
        return None
