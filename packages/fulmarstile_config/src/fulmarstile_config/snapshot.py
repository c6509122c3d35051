"""Snapshots of a fold: copies of its whole state, with the signatures that prove it."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Final

import msgspec
import zstandard

from fulmarstile_config.assembly import assemble_document, find_refusals
from fulmarstile_config.errors import RefusedError, SnapshotError
from fulmarstile_config.fold_state import FoldState, SectionState, SignedPublication
from fulmarstile_config.keys import digest_body, encode_signed_content, is_valid_signature
from fulmarstile_config.ownership import OWNER_TEAM, owns_section
from fulmarstile_config.publication import PublicationVerdict
from fulmarstile_config.publication_rules import TEAMS_SECTION, find_team
from fulmarstile_config.quota import QuotaMeter, QuotaState
from fulmarstile_config.records import SnapshotRecord
from fulmarstile_config.section import parse_section
from fulmarstile_config.verdict_history import VerdictHistory

if TYPE_CHECKING:
    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_config.publication_rules import PublicationRules

_MAC_CONTEXT: Final = b"fulmarstile snapshot 1\0"
_NO_TEAMS: Final = -1


class SnapshotSection(msgspec.Struct, frozen=True, array_like=True):
    """A section's body, and the signed publication that it comes from."""

    section: str
    version: int
    publication: int
    """Index in `SnapshotContent.publications`."""
    teams: int
    """Index in `SnapshotContent.teams` of the teams section that authorized the publication; -1 for
    the owner team."""
    body: str


class SnapshotContent(msgspec.Struct, frozen=True, array_like=True):
    """State of a fold, as encoded in a snapshot."""

    publications: tuple[SignedPublication, ...]
    teams: tuple[SnapshotSection, ...]
    """Teams sections that authorized the publications of the current sections."""
    sections: tuple[SnapshotSection, ...]
    verified: tuple[PublicationVerdict, ...]
    unverified: tuple[PublicationVerdict, ...]
    quota: QuotaState
    last_record: bytes
    """Digest of the last folded record."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SnapshotContent)


def make_snapshot(
    customer: str, mesh_key: bytes, state: FoldState, next_offset: int, *, is_seed: bool = False
) -> SnapshotRecord:
    """Returns an authenticated snapshot of a state.

    Args:
        customer: Customer that the state belongs to.
        mesh_key: Key shared by the daemons of the deployment.
        state: State to copy; its generation is the snapshot's.
        next_offset: Offset of the first record that the state does not cover.
        is_seed: Whether the snapshot begins its generation.

    Returns:
        The snapshot.
    """
    content = _encoder.encode(_build_content(state))
    snapshot = SnapshotRecord(
        customer=customer,
        generation=state.generation,
        next_offset=next_offset,
        version=state.version,
        sequence=state.sequence,
        digest=state.digest,
        is_seed=is_seed,
        content=zstandard.ZstdCompressor(level=3).compress(content),
        mac=b"",
    )
    return msgspec.structs.replace(snapshot, mac=_compute_mac(snapshot, mesh_key))


def has_valid_mac(snapshot: SnapshotRecord, mesh_key: bytes) -> bool:
    """Returns whether the snapshot was made with the mesh key."""
    return hmac.compare_digest(snapshot.mac, _compute_mac(snapshot, mesh_key))


def _compute_mac(snapshot: SnapshotRecord, mesh_key: bytes) -> bytes:
    unsigned = _encoder.encode(msgspec.structs.replace(snapshot, mac=b""))
    return hmac.digest(mesh_key, _MAC_CONTEXT + unsigned, hashlib.sha256)


def _build_content(state: FoldState) -> SnapshotContent:
    builder = _ContentBuilder()
    sections = tuple(
        builder.add_section(state.sections[section]) for section in sorted(state.sections)
    )
    return SnapshotContent(
        publications=tuple(builder.publications),
        teams=tuple(builder.teams),
        sections=sections,
        verified=state.verdicts.verified,
        unverified=state.verdicts.unverified,
        quota=state.quota.state,
        last_record=state.last_record,
    )


class _ContentBuilder:
    """Collects the publications and former teams sections, each once, and their indexes."""

    def __init__(self) -> None:
        self.publications: list[SignedPublication] = []
        self.teams: list[SnapshotSection] = []
        self._publication_indexes: dict[tuple[str, str, int], int] = {}
        self._teams_indexes: dict[int, int] = {}

    def add_section(self, state: SectionState) -> SnapshotSection:
        teams = self._add_teams(state.teams)
        publication = self._add_publication(state)
        return SnapshotSection(state.section, state.version, publication, teams, state.body)

    def _add_publication(self, state: SectionState) -> int:
        key = (state.team, state.publication_id, state.version)
        if key not in self._publication_indexes:
            self._publication_indexes[key] = len(self.publications)
            self.publications.append(state.publication)
        return self._publication_indexes[key]

    def _add_teams(self, teams: SectionState | None) -> int:
        if teams is None:
            return _NO_TEAMS
        if teams.version not in self._teams_indexes:
            publication = self._add_publication(teams)
            entry = SnapshotSection(
                teams.section, teams.version, publication, _NO_TEAMS, teams.body
            )
            self._teams_indexes[teams.version] = len(self.teams)
            self.teams.append(entry)
        return self._teams_indexes[teams.version]


class SnapshotReader:
    """Decodes states from snapshots and verifies their signatures.

    Args:
        customer: Customer whose snapshots are read.
        rules: Rules that find the public key of a team.
        limits: Limits on the state.
    """

    def __init__(self, customer: str, rules: PublicationRules, limits: FoldLimits) -> None:
        self._customer = customer
        self._rules = rules
        self._limits = limits

    def read_state(self, snapshot: SnapshotRecord) -> FoldState:
        """Returns the state of a snapshot whose MAC is valid.

        Raises:
            SnapshotError: If the snapshot is malformed, or a section has no valid signature of a
                team that owns it.
        """
        content = self._decode_content(snapshot)
        try:
            sections = self._read_sections(content)
        except (RefusedError, IndexError) as error:
            raise SnapshotError(f"snapshot holds an invalid section: {error}") from error
        parsed = {section: entry.parsed for section, entry in sections.items()}
        if next(find_refusals(parsed, frozenset(parsed)), None) is not None:
            raise SnapshotError("sections of the snapshot do not form a valid document")
        state = FoldState(
            verdicts=VerdictHistory(self._limits),
            quota=QuotaMeter(self._limits, content.quota),
            generation=snapshot.generation,
            version=snapshot.version,
            sequence=snapshot.sequence,
            sections=sections,
            document=assemble_document(parsed),
            last_record=content.last_record,
        )
        state.verdicts.load(content.verified, content.unverified)
        if state.digest != snapshot.digest:
            raise SnapshotError("digest of the snapshot does not match its content")
        return state

    def _decode_content(self, snapshot: SnapshotRecord) -> SnapshotContent:
        try:
            size = zstandard.frame_content_size(snapshot.content)
            if not 0 <= size <= self._limits.max_snapshot_bytes:
                raise SnapshotError(f"snapshot of {size} bytes is out of bounds")
            encoded = zstandard.ZstdDecompressor().decompress(snapshot.content)
            return _decoder.decode(encoded)
        except (zstandard.ZstdError, msgspec.DecodeError, RecursionError, ValueError) as error:
            raise SnapshotError(f"malformed snapshot: {error}") from error

    def _read_sections(self, content: SnapshotContent) -> dict[str, SectionState]:
        teams = [self._read_section(entry, content, []) for entry in content.teams]
        sections = {}
        for entry in content.sections:
            sections[entry.section] = self._read_section(entry, content, teams)
        return sections

    def _read_section(
        self, entry: SnapshotSection, content: SnapshotContent, teams: list[SectionState]
    ) -> SectionState:
        publication = content.publications[entry.publication]
        teams_section = teams[entry.teams] if entry.teams != _NO_TEAMS else None
        state = SectionState(
            section=entry.section,
            version=entry.version,
            team=publication.team,
            publication_id=publication.publication_id,
            body=entry.body,
            parsed=parse_section(entry.section, entry.body, self._limits),
            publication=publication,
            teams=teams_section,
        )
        self._verify(state)
        return state

    def _verify(self, state: SectionState) -> None:
        publication = state.publication
        if not _covers(publication, state):
            raise SnapshotError(f"publication does not cover section {state.section!r}")
        if not _may_publish(publication.team, state):
            raise SnapshotError(f"team does not own section {state.section!r}")
        key = self._rules.find_team_key(publication.team, state.teams)
        signed = encode_signed_content(
            publication.publication_id,
            self._customer,
            publication.team,
            publication.base_sequence,
            publication.changes,
        )
        if key is None or not is_valid_signature(signed, publication.signature, key):
            raise SnapshotError(f"publication of section {state.section!r} has no valid signature")


def _covers(publication: SignedPublication, state: SectionState) -> bool:
    digest = digest_body(state.body)
    return any(
        change.section == state.section and change.body_digest == digest
        for change in publication.changes
    )


def _may_publish(team: str, state: SectionState) -> bool:
    if team == OWNER_TEAM:
        return True
    entry = find_team(team, state.teams)
    return (
        entry is not None
        and state.section != TEAMS_SECTION
        and state.teams.section == TEAMS_SECTION
        and owns_section(entry, state.section)
    )
