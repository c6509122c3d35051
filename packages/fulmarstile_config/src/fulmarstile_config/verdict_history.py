"""Bounded history of the verdicts on recent publications."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_config.publication import PublicationVerdict


class VerdictHistory:
    """Recent verdicts, kept separately for verified publications and unverified records.

    Records without a verified signature thus neither evict the verdicts on verified publications
    nor reserve their identifiers.
    """

    def __init__(self, limits: FoldLimits) -> None:
        self._limits = limits
        self._verified: dict[tuple[str, str], PublicationVerdict] = {}
        self._unverified: deque[PublicationVerdict] = deque(maxlen=limits.recent_unverified)

    @property
    def verified(self) -> tuple[PublicationVerdict, ...]:
        """Verdicts on verified publications, oldest first."""
        return tuple(self._verified.values())

    @property
    def unverified(self) -> tuple[PublicationVerdict, ...]:
        """Verdicts on records without a verified signature, oldest first."""
        return tuple(self._unverified)

    @property
    def in_log_order(self) -> tuple[PublicationVerdict, ...]:
        """All verdicts kept, in log order."""
        verdicts = (*self._verified.values(), *self._unverified)
        return tuple(sorted(verdicts, key=lambda verdict: (verdict.appended_at_ms, verdict.offset)))

    def copy(self) -> VerdictHistory:
        """Returns an independent copy."""
        history = VerdictHistory(self._limits)
        history.load(self._verified.values(), self._unverified)
        return history

    def load(
        self, verified: Iterable[PublicationVerdict], unverified: Iterable[PublicationVerdict]
    ) -> None:
        """Adds the verdicts of a snapshot or of another history."""
        for verdict in verified:
            self.add_verified(verdict)
        self._unverified.extend(unverified)

    def has_verdict(self, team: str, publication_id: str) -> bool:
        """Returns whether there is a verdict on a verified publication."""
        return (team, publication_id) in self._verified

    def add_verified(self, verdict: PublicationVerdict) -> None:
        """Adds the verdict on a verified publication and evicts the oldest beyond the limit."""
        self._verified[verdict.team, verdict.publication_id] = verdict
        if len(self._verified) > self._limits.recent_publications:
            del self._verified[next(iter(self._verified))]

    def add_unverified(self, verdict: PublicationVerdict) -> None:
        """Adds the verdict on a record without a verified signature and evicts as needed."""
        self._unverified.append(verdict)

    def find(self, publication_id: str) -> PublicationVerdict | None:
        """Returns the latest verdict on a publication, preferring verified publications."""
        for verdict in reversed(self._verified.values()):
            if verdict.publication_id == publication_id:
                return verdict
        for verdict in reversed(self._unverified):
            if verdict.publication_id == publication_id:
                return verdict
        return None

    def find_last_change(self, section: str) -> PublicationVerdict | None:
        """Returns the verdict on the latest publication kept that changed a section, or None."""
        for verdict in reversed(self._verified.values()):
            if verdict.accepted and section in verdict.sections:
                return verdict
        return None
