"""Compresses versions of a document, also as the difference from an earlier version."""

from __future__ import annotations

from typing import Final

import xxhash
import zstandard

from fulmarstile_wire.errors import WireError

MAX_DOCUMENT_BYTES: Final = 32 << 20
"""Largest document that is restored, in bytes."""
_LEVEL: Final = 3
_MIN_WINDOW_LOG: Final = 10


class DeltaError(WireError):
    """A compressed document is malformed, too large or belongs to another base."""


def digest_document(document: bytes) -> bytes:
    """Returns the digest by which daemons name a document."""
    return xxhash.xxh3_128_digest(document)


def compress_document(document: bytes, base: bytes = b"") -> bytes:
    """Compresses a document.

    Args:
        document: The document.
        base: An earlier version, which makes the result small and is needed to restore it; empty
            for none.

    Returns:
        The compressed document, with a checksum.
    """
    # Matches are found only within the window, which must reach back to the start of the base.
    window_log = max(_MIN_WINDOW_LOG, (len(document) + len(base)).bit_length())
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _LEVEL,
        source_size=len(document),
        dict_size=len(base),
        window_log=min(window_log, zstandard.WINDOWLOG_MAX),
        write_checksum=True,
        write_content_size=True,
    )
    dictionary = _make_dictionary(base)
    compressor = zstandard.ZstdCompressor(dict_data=dictionary, compression_params=parameters)
    return compressor.compress(document)


def restore_document(content: bytes, base: bytes = b"") -> bytes:
    """Restores a document.

    Args:
        content: Result of `compress_document`.
        base: The version that was passed to it.

    Returns:
        The document.

    Raises:
        DeltaError: If the content is malformed, too large or belongs to another base.
    """
    try:
        size = zstandard.frame_content_size(content)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            raise DeltaError(f"a document of {size} bytes is out of bounds")
        decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
        return decompressor.decompress(content, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as error:
        raise DeltaError(f"a document cannot be restored: {error}") from error


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
