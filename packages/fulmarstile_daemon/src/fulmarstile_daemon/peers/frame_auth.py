"""Authenticates frames between daemons with a keyed hash (MAC) under the mesh key.

A customer who can reach a daemon's peer listener does not know the mesh key, so it cannot
forge membership or configuration messages.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from fulmarstile_wire.errors import WireError

TAG_BYTES: Final = 16
"""Length of the authentication tag that precedes a frame, in bytes."""


def add_auth_tag(frame: bytes, key: bytes) -> bytes:
    """Returns the frame preceded by its authentication tag."""
    return _compute_tag(frame, key) + frame


def verify_and_strip_tag(tagged_frame: bytes, key: bytes) -> bytes:
    """Checks and removes the authentication tag.

    Args:
        tagged_frame: Tag and frame as received.
        key: The mesh key.

    Returns:
        The frame.

    Raises:
        WireError: If the tag does not match the frame.
    """
    tag = tagged_frame[:TAG_BYTES]
    frame = tagged_frame[TAG_BYTES:]
    if not hmac.compare_digest(tag, _compute_tag(frame, key)):
        raise WireError("frame is not authenticated by the mesh key")
    return frame


def _compute_tag(frame: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(frame, key=key, digest_size=TAG_BYTES).digest()
