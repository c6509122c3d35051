"""Limits on what other writers may put into messages and records."""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

DECODE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors that msgspec raises for bytes that are malformed or nested too deeply."""

MAX_NUMBER: Final = 2**53
"""Largest number in a message; every codec encodes it exactly."""
MAX_RECORDED_NUMBER: Final = 2**52
"""Largest number in a record above which this daemon has to set its own."""
_MAX_PORT: Final = 65_535
MAX_DURATION_S: Final = 1e9
"""Longest duration in a message, in seconds."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A count, an identifier, or a time in milliseconds since the epoch."""
Duration = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DURATION_S)]
"""A duration in seconds."""


def is_socket_address(address: str) -> bool:
    """Returns whether a text has the form `host:port` with a port that can be connected to."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    return bool(host) and is_number and 0 < int(port[:6]) <= _MAX_PORT
