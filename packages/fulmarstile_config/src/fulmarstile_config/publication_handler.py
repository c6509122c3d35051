"""Applies publications to the state of a fold and records the verdicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_config.errors import RefusedError
from fulmarstile_config.publication import (
    Publication,
    PublicationVerdict,
    Refusal,
    RefusalCode,
)
from fulmarstile_config.publication_rules import MAX_ID_CHARS, count_body_bytes
from fulmarstile_config.records import RecordError, decode_record

if TYPE_CHECKING:
    from fulmarstile_config.fold_counters import FoldCounters
    from fulmarstile_config.fold_state import FoldState
    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_config.publication_rules import PublicationRules
    from fulmarstile_wire.records import StreamRecord

MAX_REASON_CHARS: Final = 240
"""Maximum length of a refusal's reason, in characters."""


class PublicationHandler:
    """Decides on each publication once and records the verdict.

    Args:
        rules: Rules for accepting publications.
        limits: Limits on publications.
        counters: Counters to increment.
    """

    def __init__(self, rules: PublicationRules, limits: FoldLimits, counters: FoldCounters) -> None:
        self._rules = rules
        self._limits = limits
        self._counters = counters

    def handle(self, state: FoldState, publication: Publication, record: StreamRecord) -> None:
        """Accepts or refuses a publication and records the verdict in the state."""
        if state.verdicts.has_verdict(publication.team, publication.publication_id):
            self._counters.duplicates += 1
            return
        state.quota.advance_to(record.appended_at_ms)
        refusal = self._verify(state, publication, record)
        if refusal is not None:
            self._refuse_unverified(state, publication, record, refusal)
            return
        state.quota.count_publication(publication.team, count_body_bytes(publication))
        self._apply(state, publication, record)

    def handle_malformed(self, state: FoldState, record: StreamRecord, reason: str) -> None:
        """Refuses a record that cannot be decoded."""
        refusal = Refusal(RefusalCode.MALFORMED, reason)
        empty_publication = Publication(publication_id="", customer="", team="", changes=())
        self._refuse_unverified(state, empty_publication, record, refusal)

    def handle_pre_seed(self, state: FoldState, record: StreamRecord) -> None:
        """Refuses a publication that was appended to a new log before the seed.

        It was not folded, so the verdict asks its publisher to publish again.
        """
        try:
            entry = decode_record(record.payload)
        except RecordError:
            return
        if not isinstance(entry, Publication) or self._rules.is_stale(entry, state):
            return
        if state.verdicts.has_verdict(entry.team, entry.publication_id):
            return
        reason = "the log was reset before this record; publish again"
        self._refuse_unverified(state, entry, record, Refusal(RefusalCode.LOG_RESET, reason))

    def _verify(
        self, state: FoldState, publication: Publication, record: StreamRecord
    ) -> Refusal | None:
        if len(record.payload) > self._limits.max_record_bytes:
            reason = f"record exceeds {self._limits.max_record_bytes} bytes"
            return Refusal(RefusalCode.OVERSIZE, reason)
        refusal = self._rules.check_before_verification(publication, state)
        if refusal is not None:
            return refusal
        state.quota.count_verification()
        if self._rules.is_authentic(publication, state):
            return None
        reason = f"signature is not the one of team {publication.team!r}"
        return Refusal(RefusalCode.BAD_SIGNATURE, reason)

    def _apply(self, state: FoldState, publication: Publication, record: StreamRecord) -> None:
        refusal: Refusal | None = None
        state.sequence += 1
        try:
            outcome = self._rules.apply(publication, state, state.version + 1)
        except RefusedError as error:
            refusal = _shorten(error.refusal)
            self._counters.refused += 1
        else:
            state.sections = outcome.sections
            state.document = outcome.document
            state.version += 1
            self._counters.accepted += 1
        state.digest = state.compute_digest()
        sections = tuple(change.section for change in publication.changes)
        state.verdicts.add_verified(_make_verdict(state, publication, record, sections, refusal))

    def _refuse_unverified(
        self, state: FoldState, publication: Publication, record: StreamRecord, refusal: Refusal
    ) -> None:
        self._counters.unverified += 1
        if refusal.code is RefusalCode.QUOTA:
            self._counters.over_quota += 1
        verdict = _make_verdict(state, publication, record, (), _shorten(refusal))
        state.verdicts.add_unverified(verdict)


def _make_verdict(
    state: FoldState,
    publication: Publication,
    record: StreamRecord,
    sections: tuple[str, ...],
    refusal: Refusal | None,
) -> PublicationVerdict:
    return PublicationVerdict(
        publication_id=publication.publication_id[:MAX_ID_CHARS],
        team=publication.team[:MAX_ID_CHARS],
        offset=record.offset,
        appended_at_ms=record.appended_at_ms,
        accepted=refusal is None,
        version=state.version,
        sections=sections,
        refusal=refusal,
    )


def _shorten(refusal: Refusal) -> Refusal:
    if len(refusal.reason) <= MAX_REASON_CHARS:
        return refusal
    return msgspec.structs.replace(refusal, reason=refusal.reason[:MAX_REASON_CHARS])
