"""Root of the exception tree of all fulmarstile packages."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarstile_wire.verdict import Verdict


class FulmarstileError(Exception):
    """Base class of every error that fulmarstile raises on purpose."""


class VerdictError(FulmarstileError):
    """An operation failed, and it is known whether it may have taken effect.

    Args:
        message: Reason for the failure.
        verdict: Whether the operation may have taken effect.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class WireError(FulmarstileError):
    """A message between daemons is malformed, oversize or of an unknown protocol version."""
