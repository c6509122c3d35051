"""Recognizes well-formed messages of kinds that only a newer daemon knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarstile_wire.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

_MAX_TAG_CHARACTERS = 80


class _MessageHead(msgspec.Struct, array_like=True):
    """First field of a message."""

    tag: int


class _ContentMessageHead(msgspec.Struct, array_like=True):
    """First fields of a message whose content is of several kinds."""

    tag: int
    call_id: int
    content: msgspec.Raw


class _ContentHead(msgspec.Struct, array_like=True):
    """First field of such content."""

    tag: str


# These decoders skip the other fields without creating objects, but check that they are
# well-formed.
_MESSAGE_DECODER = msgspec.msgpack.Decoder(_MessageHead)
_CONTENT_MESSAGE_DECODER = msgspec.msgpack.Decoder(_ContentMessageHead)
_CONTENT_DECODER = msgspec.msgpack.Decoder(_ContentHead)


def find_unknown_kind(
    body: bytes, tags: Container[int], content_tags: Mapping[int, Container[str]]
) -> str:
    """Finds out whether a message is of a kind that this daemon doesn't know.

    Args:
        body: The message without its length.
        tags: Tags of the known kinds of messages.
        content_tags: Tags of the known kinds of content, by the tag of the message.

    Returns:
        The kind, for the log; empty if it is known or the message is malformed.
    """
    try:
        tag = _MESSAGE_DECODER.decode(body).tag
        if tag not in tags:
            return str(tag)
        if tag not in content_tags:
            return ""
        content = _CONTENT_MESSAGE_DECODER.decode(body).content
        content_tag = _CONTENT_DECODER.decode(content).tag
    except DECODE_ERRORS:
        return ""
    if content_tag in content_tags[tag]:
        return ""
    return f"{tag} {content_tag[:_MAX_TAG_CHARACTERS]!r}"
