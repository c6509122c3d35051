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
"""Domain separator, so that signatures made for other purposes are not valid here."""

_KEY_CACHE_SIZE: Final = 1024

_encoder = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class KeyPair:
    """An Ed25519 key pair in raw form."""

    private_key: bytes
    public_key: bytes


class SignedChange(msgspec.Struct, frozen=True, array_like=True):
    """The part of a section change that a publication's signature covers."""

    section: str
    base_version: int
    body_digest: bytes
    """SHA-256 of the body, so that the signature can still be checked once other bodies of the
    publication have been superseded and dropped."""


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
    """Returns a key in base64, the format used in files and documents."""
    return base64.b64encode(key).decode()


def decode_public_key(text: str) -> bytes | None:
    """Decodes a key from base64; returns None if it is not valid."""
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None
    return key if len(key) == KEY_BYTES else None


def digest_body(body: str) -> bytes:
    """Returns the SHA-256 of a section's body."""
    return hashlib.sha256(body.encode("utf-8", "surrogatepass")).digest()


def make_signed_changes(publication: Publication) -> tuple[SignedChange, ...]:
    """Returns the signed part of each change of a publication."""
    return tuple(
        SignedChange(change.section, change.base_version, digest_body(change.body))
        for change in publication.changes
    )


def encode_signed_content(
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
        publication: Publication to sign; an existing signature is replaced.
        private_key: Raw Ed25519 private key of the team.

    Returns:
        The signed publication.

    Raises:
        KeyFormatError: If the key has the wrong length.
    """
    content = encode_signed_content(
        publication.publication_id,
        publication.customer,
        publication.team,
        publication.base_sequence,
        make_signed_changes(publication),
    )
    signature = _load_private_key(private_key).sign(content)
    return msgspec.structs.replace(publication, signature=signature)


def is_valid_signature(content: bytes, signature: bytes, public_key: bytes) -> bool:
    """Returns whether `signature` over `content` was made with the private key of `public_key`."""
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
