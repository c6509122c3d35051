"""Recognizes well-formed messages that only a newer daemon can read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarstile_wire.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Container


class _MessageHead(msgspec.Struct, array_like=True):
    """First field of a message."""

    tag: int


# Skips the other fields without creating objects, but checks that they are well-formed.
_DECODER = msgspec.msgpack.Decoder(_MessageHead)


def find_unknown_kind(body: bytes, tags: Container[int]) -> int | None:
    """Finds out whether a message that can't be decoded is well-formed and of another kind.

    Args:
        body: The message without its length.
        tags: Tags of the kinds of messages that have to be readable.

    Returns:
        The tag of the message; None if it has to be readable, or is malformed.
    """
    try:
        tag = _DECODER.decode(body).tag
    except DECODE_ERRORS:
        return None
    return None if tag in tags else tag
