"""Results of claims and the calls that wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.claims import ClaimFailed, ClaimLost, ClaimWon

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_wire.records import OutcomeRecord

CLAIM_RESULTS = (ClaimWon, ClaimLost, ClaimFailed)

ClaimResult = ClaimWon | ClaimLost | ClaimFailed
"""Every result of a claim."""


class ClaimResults:
    """Passes the results of claims on to the calls that wait for them."""

    def __init__(self) -> None:
        self._listeners: dict[str, Callable[[ClaimResult], None]] = {}

    def listen(self, claim_id: str, listener: Callable[[ClaimResult], None]) -> None:
        """Registers the listener for the result of a claim."""
        self._listeners[claim_id] = listener

    def on_result(self, result: ClaimResult) -> None:
        """Passes the result of a claim to its listener."""
        listener = self._listeners.pop(result.claim_id, None)
        if listener is not None:
            listener(result)


def refusal_or_outcome(result: ClaimLost | ClaimFailed) -> CallRefusal | OutcomeRecord:
    """Returns the stored outcome or the refusal that the caller of a lost or failed claim gets."""
    if isinstance(result, ClaimLost) and result.outcome is not None:
        return result.outcome
    return result.refusal
