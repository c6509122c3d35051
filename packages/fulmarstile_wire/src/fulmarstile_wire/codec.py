"""Codec of the messages in `fulmarstile_wire.messages`: versioned MessagePack of limited size.

A frame is one byte of protocol version, one byte of flags, and the MessagePack body,
compressed with Zstandard if it is larger than `COMPRESS_ABOVE_BYTES`.
"""

from __future__ import annotations

from typing import Final

import msgspec
import zstandard

from fulmarstile_wire.decoding import DECODE_ERRORS
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.messages import AnyMessage

PROTOCOL_VERSION: Final = 1
"""Version of the wire format; a frame of another version is refused."""

MAX_FRAME_BYTES: Final = 1 << 20
"""Largest frame on the wire, in bytes."""

MAX_BODY_BYTES: Final = 4 << 20
"""Largest body after decompression, in bytes."""

COMPRESS_ABOVE_BYTES: Final = 512
"""Largest body that is sent uncompressed, in bytes."""

_HEADER_BYTES: Final = 2
_FLAG_PLAIN: Final = 0
_FLAG_ZSTD: Final = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)
_compressor = zstandard.ZstdCompressor(level=3)
_decompressor = zstandard.ZstdDecompressor()


def encode_message(message: AnyMessage) -> bytes:
    """Encodes a message as one frame.

    Args:
        message: Message to encode.

    Returns:
        The frame.

    Raises:
        WireError: If the frame would exceed `MAX_FRAME_BYTES`.
    """
    body = _encoder.encode(message)
    flags = _FLAG_PLAIN
    if len(body) > COMPRESS_ABOVE_BYTES:
        body = _compressor.compress(body)
        flags = _FLAG_ZSTD
    if len(body) + _HEADER_BYTES > MAX_FRAME_BYTES:
        raise WireError(f"message of {len(body)} bytes exceeds {MAX_FRAME_BYTES} bytes")
    return bytes((PROTOCOL_VERSION, flags)) + body


def decode_message(frame: bytes) -> AnyMessage:
    """Decodes one frame.

    Args:
        frame: Frame as received from a peer.

    Returns:
        The message.

    Raises:
        WireError: If the frame is oversize, malformed or of another protocol version.
    """
    if not _HEADER_BYTES < len(frame) <= MAX_FRAME_BYTES:
        raise WireError(f"frame of {len(frame)} bytes is out of bounds")
    if frame[0] != PROTOCOL_VERSION:
        raise WireError(f"protocol version {frame[0]} is not supported")
    body = _decode_body(frame[1], frame[_HEADER_BYTES:])
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed message: {error}") from error


def _decode_body(flags: int, body: bytes) -> bytes:
    if flags == _FLAG_PLAIN:
        return body
    if flags != _FLAG_ZSTD:
        raise WireError(f"unknown frame flags {flags}")
    try:
        size = zstandard.frame_content_size(body)
        if not 0 <= size <= MAX_BODY_BYTES:
            raise WireError(f"body of {size} bytes is out of bounds")
        return _decompressor.decompress(body, max_output_size=MAX_BODY_BYTES)
    except zstandard.ZstdError as error:
        raise WireError(f"malformed compressed body: {error}") from error
