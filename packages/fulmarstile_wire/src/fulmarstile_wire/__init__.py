"""Protocol between fulmarstile daemons: message types, codec, errors and verdicts."""

from fulmarstile_wire.codec import decode_message, encode_message
from fulmarstile_wire.errors import FulmarstileError, VerdictError, WireError
from fulmarstile_wire.verdict import Verdict

__all__ = [
    "FulmarstileError",
    "Verdict",
    "VerdictError",
    "WireError",
    "decode_message",
    "encode_message",
]
