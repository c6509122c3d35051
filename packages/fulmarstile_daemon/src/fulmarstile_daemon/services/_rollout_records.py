"""Decisions about roll-outs as records of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_services.rollouts.evaluator import RolloutFigures
from fulmarstile_services.rollouts.version_rules import VersionRules
from fulmarstile_wire.decoding import DECODE_ERRORS
from fulmarstile_wire.errors import WireError
from fulmarstile_wire.rollouts import RolloutPhase

if TYPE_CHECKING:
    from fulmarstile_platform.keyed_log import KeyedRecord

ROLLOUTS_TOPIC: Final = "keyed.fulmarstile.rollouts"
"""Topic that holds the last decision about each service."""


class RolloutDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Decision about a roll-out, with the rules that hold from then on."""

    service: str
    order_offset: int
    target_version: str
    phase: RolloutPhase
    reason: str
    decided_by: str
    """Name of the daemon that decided."""
    age_ms: int = 0
    """Age of the order, in milliseconds."""
    excluded: tuple[str, ...] = ()
    """Versions that receive no requests until an order names them."""
    only: str | None = None
    """Version beside which no other serves; None for any."""
    figures: RolloutFigures | None = None
    """What the decision rests on; None if the order was rejected."""

    @property
    def rules(self) -> VersionRules:
        """Rules that hold after the decision."""
        return VersionRules(frozenset(self.excluded), self.only)


_DECODER: Final = msgspec.json.Decoder(RolloutDecision)


def encode_decision(decision: RolloutDecision) -> bytes:
    """Encodes a decision as a record of the store."""
    return msgspec.json.encode(decision)


def decode_decision(record: KeyedRecord) -> RolloutDecision:
    """Decodes the record of a decision.

    Raises:
        WireError: If it is malformed.
    """
    try:
        return _DECODER.decode(record.value)
    except DECODE_ERRORS as error:
        raise WireError(f"malformed decision: {error}") from error
