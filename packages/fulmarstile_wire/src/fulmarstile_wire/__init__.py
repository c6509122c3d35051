"""Protocol between fulmarstile daemons: message types, codec, errors and verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_wire.lazy_exports import export_lazily

if TYPE_CHECKING:
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

__getattr__ = export_lazily(
    __name__,
    {
        "fulmarstile_wire.codec": (
            "decode_message",
            "encode_message",
        ),
        "fulmarstile_wire.errors": (
            "FulmarstileError",
            "VerdictError",
            "WireError",
        ),
        "fulmarstile_wire.verdict": ("Verdict",),
    },
)
