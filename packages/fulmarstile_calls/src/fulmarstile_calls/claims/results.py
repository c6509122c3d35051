"""Results of claims, as effects of the claim requester."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_mesh.effects import Effect

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_wire.records import OutcomeRecord


@dataclass(frozen=True, slots=True)
class ClaimWon(Effect):
    """The claim holds its key; its request may be run once, and only by this daemon."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class ClaimLost(Effect):
    """Another claim holds the key; the request of this one is never run."""

    claim_id: str
    outcome: OutcomeRecord | None = None
    """Stored answer to send to the caller, or None if there is a refusal."""
    refusal: CallRefusal | None = None


@dataclass(frozen=True, slots=True)
class ClaimFailed(Effect):
    """The claim was given up; its request is never run, even if the claim wins later."""

    claim_id: str
    refusal: CallRefusal


@dataclass(frozen=True, slots=True)
class ClaimStart:
    """A claim that was started."""

    claim_id: str
    """Identifier of the claim, which its `ClaimWon`, `ClaimLost` or `ClaimFailed` repeats."""
    effects: list[Effect]
    """First effects; the result may already be among them."""
