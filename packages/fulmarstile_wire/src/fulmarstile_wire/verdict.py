"""Verdict of a request: whether it may have run."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """States whether a request was executed by the system it was sent to.

    The values are the ones carried on the wire in the `Fulmarstile-Verdict` header.
    """

    NOT_RUN = "NOT_RUN"
    """The request certainly was not executed; sending it again is safe."""

    MAY_HAVE_RUN = "MAY_HAVE_RUN"
    """The outcome is unknown; only an idempotent request may be sent again."""

    RAN = "RAN"
    """The request was executed."""
