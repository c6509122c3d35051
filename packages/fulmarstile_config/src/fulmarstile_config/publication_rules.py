"""Rules for accepting or refusing a publication.

Cheap checks run before expensive ones, so that forged and stale records cost little.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_config.assembly import assemble_document, find_refusals
from fulmarstile_config.document import SectionKind
from fulmarstile_config.errors import RefusedError
from fulmarstile_config.fold_state import SectionState, SignedPublication
from fulmarstile_config.keys import (
    decode_public_key,
    encode_signed_content,
    is_valid_signature,
    make_signed_changes,
)
from fulmarstile_config.ownership import OWNER_TEAM, owns_section
from fulmarstile_config.publication import Refusal, RefusalCode
from fulmarstile_config.section import parse_section

if TYPE_CHECKING:
    from fulmarstile_config.document import Document, Team
    from fulmarstile_config.fold_state import FoldState
    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_config.publication import Publication, SectionChange
    from fulmarstile_config.section import ParsedSection

MAX_ID_CHARS: Final = 64
"""Maximum length of a publication identifier and of a team name, in characters."""

MAX_SECTION_CHARS: Final = 80
"""Maximum length of a section identifier, in characters."""

TEAMS_SECTION: Final = SectionKind.TEAMS.value


@dataclass(frozen=True, slots=True)
class Outcome:
    """Sections and document after an accepted publication."""

    sections: dict[str, SectionState]
    document: Document


class PublicationRules:
    """Accepts or refuses publications of one customer.

    Args:
        customer: Customer that the stream belongs to.
        owner_key: Raw Ed25519 public key of the owner team.
        limits: Limits on publications.
    """

    def __init__(self, customer: str, owner_key: bytes, limits: FoldLimits) -> None:
        self._customer = customer
        self._owner_key = owner_key
        self._limits = limits

    def check_before_verification(
        self, publication: Publication, state: FoldState
    ) -> Refusal | None:
        """Returns why a publication is refused before its signature is verified, or None."""
        return (
            self._check_form(publication)
            or self._check_age(publication, state)
            or self._check_team(publication, state)
            or self._check_quota(publication, state)
        )

    def is_authentic(self, publication: Publication, state: FoldState) -> bool:
        """Returns whether the publication has a valid signature of its team."""
        content = encode_signed_content(
            publication.publication_id,
            publication.customer,
            publication.team,
            publication.base_sequence,
            make_signed_changes(publication),
        )
        key = self.find_team_key(publication.team, state.sections.get(TEAMS_SECTION))
        return key is not None and is_valid_signature(content, publication.signature, key)

    def find_team_key(self, team: str, teams: SectionState | None) -> bytes | None:
        """Returns a team's public key according to a teams section, or None for an unknown team."""
        if team == OWNER_TEAM:
            return self._owner_key
        entry = find_team(team, teams)
        return decode_public_key(entry.public_key) if entry is not None else None

    def apply(self, publication: Publication, state: FoldState, version: int) -> Outcome:
        """Applies a verified publication to the sections, without changing the state.

        Args:
            publication: Publication whose signature is valid.
            state: State that the publication applies to.
            version: Version of the document if the publication is accepted.

        Returns:
            The resulting sections and document.

        Raises:
            RefusedError: If the publication is refused.
        """
        self._ensure_ownership(publication, state)
        _ensure_no_conflict(publication, state)
        parsed = self._parse_changes(publication)
        sections = _apply_changes(publication, parsed, state, version)
        self._ensure_document_fits(sections)
        contents = {section: entry.parsed for section, entry in sections.items()}
        changed = frozenset(change.section for change in publication.changes)
        refusal = next(find_refusals(contents, changed), None)
        if refusal is not None:
            raise RefusedError(refusal)
        return Outcome(sections, assemble_document(contents))

    def _check_form(self, publication: Publication) -> Refusal | None:
        if publication.customer != self._customer:
            reason = f"publication is for another customer, {publication.customer[:80]!r}"
            return Refusal(RefusalCode.WRONG_CUSTOMER, reason)
        if not publication.changes:
            return Refusal(RefusalCode.MALFORMED, "publication changes no section")
        if len(publication.changes) > self._limits.max_changes:
            reason = f"publication changes more than {self._limits.max_changes} sections"
            return Refusal(RefusalCode.OVERSIZE, reason)
        return _check_form_of_changes(publication)

    def is_stale(self, publication: Publication, state: FoldState) -> bool:
        """Returns whether a publication is too old, or from a later state.

        The verdict on an older publication may be forgotten, so it could be a replay.
        """
        age = state.sequence - publication.base_sequence
        return not 0 <= age < self._limits.recent_publications

    def _check_age(self, publication: Publication, state: FoldState) -> Refusal | None:
        if not self.is_stale(publication, state):
            return None
        reason = (
            f"publication was made at sequence {publication.base_sequence}, "
            f"but the document is at sequence {state.sequence}; publish again"
        )
        return Refusal(RefusalCode.REPLAYED, reason)

    def _check_team(self, publication: Publication, state: FoldState) -> Refusal | None:
        team = publication.team
        if team == OWNER_TEAM or find_team(team, state.sections.get(TEAMS_SECTION)) is not None:
            return None
        return Refusal(RefusalCode.UNKNOWN_TEAM, f"team {team!r} is not in the teams section")

    def _check_quota(self, publication: Publication, state: FoldState) -> Refusal | None:
        reason = state.quota.describe_excess(publication.team, count_body_bytes(publication))
        return Refusal(RefusalCode.QUOTA, reason) if reason else None

    def _ensure_ownership(self, publication: Publication, state: FoldState) -> None:
        if publication.team == OWNER_TEAM:
            return
        team = find_team(publication.team, state.sections.get(TEAMS_SECTION))
        for change in publication.changes:
            if team is not None and owns_section(team, change.section):
                continue
            reason = f"team {publication.team!r} does not own section {change.section!r}"
            raise RefusedError(Refusal(RefusalCode.NOT_OWNER, reason, change.section))

    def _parse_changes(self, publication: Publication) -> dict[str, ParsedSection]:
        return {
            change.section: parse_section(change.section, change.body, self._limits)
            for change in publication.changes
            if change.body
        }

    def _ensure_document_fits(self, sections: dict[str, SectionState]) -> None:
        if len(sections) > self._limits.max_sections:
            reason = f"document would have more than {self._limits.max_sections} sections"
            raise RefusedError(Refusal(RefusalCode.OVERSIZE, reason))
        size = _count_document_bytes(sections)
        if size > self._limits.max_document_bytes:
            reason = f"document would exceed {self._limits.max_document_bytes} bytes"
            raise RefusedError(Refusal(RefusalCode.OVERSIZE, reason))


def _count_document_bytes(sections: dict[str, SectionState]) -> int:
    # Former teams sections that authorize current sections count too: snapshots contain each once.
    bodies = {(entry.section, entry.version): entry.body for entry in sections.values()}
    for entry in sections.values():
        if entry.teams is not None:
            bodies[TEAMS_SECTION, entry.teams.version] = entry.teams.body
    return sum(len(body.encode()) for body in bodies.values())


def find_team(name: str, teams: SectionState | None) -> Team | None:
    """Returns the team of that name in a teams section, or None."""
    if teams is None:
        return None
    return next((team for team in teams.parsed.items if team.name == name), None)


def count_body_bytes(publication: Publication) -> int:
    """Returns the total size of a publication's bodies, in bytes."""
    return sum(len(change.body.encode("utf-8", "replace")) for change in publication.changes)


def _check_form_of_changes(publication: Publication) -> Refusal | None:
    names = (publication.publication_id, publication.team)
    if not all(name and len(name) <= MAX_ID_CHARS and name.isprintable() for name in names):
        reason = f"publication id and team must be printable, of 1 to {MAX_ID_CHARS} characters"
        return Refusal(RefusalCode.MALFORMED, reason)
    sections = [change.section for change in publication.changes]
    if any(len(section) > MAX_SECTION_CHARS for section in sections):
        return Refusal(RefusalCode.MALFORMED, "section identifier is too long")
    if len(set(sections)) < len(sections):
        return Refusal(RefusalCode.MALFORMED, "publication changes a section twice")
    return None


def _ensure_no_conflict(publication: Publication, state: FoldState) -> None:
    for change in publication.changes:
        current = state.sections.get(change.section)
        version = current.version if current is not None else 0
        if change.base_version != version:
            raise RefusedError(_describe_conflict(change, current, state))
        if current is None and not change.body:
            reason = f"section {change.section!r} does not exist and cannot be removed"
            raise RefusedError(Refusal(RefusalCode.INVALID, reason, change.section))


def _describe_conflict(
    change: SectionChange, current: SectionState | None, state: FoldState
) -> Refusal:
    prefix = f"section {change.section!r} has changed since version {change.base_version}"
    last_change = state.verdicts.find_last_change(change.section)
    if current is not None:
        reason = (
            f"{prefix}: team {current.team!r} published version {current.version} "
            f"with publication {current.publication_id!r}"
        )
    elif last_change is not None:
        reason = (
            f"{prefix}: team {last_change.team!r} removed it at version {last_change.version} "
            f"with publication {last_change.publication_id!r}"
        )
    else:
        reason = f"{prefix}: it does not exist now"
    return Refusal(RefusalCode.CONFLICT, reason, change.section)


def _apply_changes(
    publication: Publication, parsed: dict[str, ParsedSection], state: FoldState, version: int
) -> dict[str, SectionState]:
    signed = SignedPublication(
        publication.publication_id,
        publication.team,
        publication.base_sequence,
        make_signed_changes(publication),
        publication.signature,
    )
    teams = state.sections.get(TEAMS_SECTION) if publication.team != OWNER_TEAM else None
    sections = dict(state.sections)
    for change in publication.changes:
        if not change.body:
            del sections[change.section]
            continue
        sections[change.section] = SectionState(
            section=change.section,
            version=version,
            team=publication.team,
            publication_id=publication.publication_id,
            body=change.body,
            parsed=parsed[change.section],
            publication=signed,
            teams=teams,
        )
    return sections
