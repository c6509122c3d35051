"""Deterministic fold of one customer's configuration stream."""

from __future__ import annotations

import dataclasses
from collections import deque
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from fulmarstile_config.errors import RefusedError, SnapshotError
from fulmarstile_config.fold_state import FoldState
from fulmarstile_config.judge import MAX_ID_CHARS, Judge, count_body_bytes
from fulmarstile_config.limits import FoldLimits
from fulmarstile_config.publication import (
    Publication,
    PublicationVerdict,
    Refusal,
    RefusalCode,
)
from fulmarstile_config.quota import QuotaMeter
from fulmarstile_config.recent_records import RecentRecords
from fulmarstile_config.records import (
    AnyRecord,
    RecordError,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from fulmarstile_config.snapshot import SnapshotReader, is_sealed, make_snapshot
from fulmarstile_config.verdict_book import VerdictBook
from fulmarstile_wire.records import StreamHead

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config.document import Document
    from fulmarstile_config.fold_state import SectionState
    from fulmarstile_wire.records import StreamRecord

MAX_REASON_CHARS: Final = 200
"""Longest reason of a refusal."""

RECENT_DIGESTS: Final = 64
"""Changes of the state against which snapshots on the stream are checked."""


@dataclass(slots=True)
class FoldCounters:
    """What a fold has met since the process started."""

    records: int = 0
    accepted: int = 0
    refused: int = 0
    """Verified publications that were refused."""
    unverified: int = 0
    """Records refused without a valid signature."""
    over_quota: int = 0
    """Those of the unverified records that were over a quota."""
    duplicates: int = 0
    """Publications that already had their verdict."""
    skipped: int = 0
    """Records not folded because records before them were missing."""
    gaps: int = 0
    snapshots_matched: int = 0
    snapshot_mismatches: int = 0
    """Sealed snapshots that differ from the fold's own state; expected to stay 0."""
    snapshots_adopted: int = 0
    snapshots_refused: int = 0
    """Forged, malformed or outdated snapshots."""


class CustomerFold:
    """Replica of one customer's document, version and verdicts.

    Args:
        customer: Customer that the stream belongs to.
        owner_key: Raw Ed25519 public key of the owner team.
        mesh_key: Key shared by the daemons of the deployment; seals snapshots.
        limits: Bounds; all daemons of a deployment must use the same ones.
    """

    def __init__(
        self,
        customer: str,
        owner_key: bytes,
        mesh_key: bytes,
        limits: FoldLimits | None = None,
    ) -> None:
        self._customer = customer
        self._mesh_key = mesh_key
        self._limits = limits or FoldLimits()
        self._judge = Judge(customer, owner_key, self._limits)
        self._reader = SnapshotReader(customer, self._judge, self._limits)
        self._state = FoldState(VerdictBook(self._limits), QuotaMeter(self._limits))
        self._next_offset = 0
        self._folded_offset = 0
        self._seen_from = 0
        self._is_complete = True
        self._is_reset = False
        self._rival_generation = 0
        self._needs_generation = False
        self._recent = RecentRecords(self._limits)
        self._digests: deque[tuple[int, bytes]] = deque(
            [(0, self._state.digest)], maxlen=RECENT_DIGESTS
        )
        self.counters = FoldCounters()
        """What the fold has met since the process started."""

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        return self._customer

    @property
    def head(self) -> StreamHead:
        """How far the stream is read, and the state reached."""
        state = self._state
        return StreamHead(
            self._customer, state.generation, self._next_offset, state.version, state.digest
        )

    @property
    def version(self) -> int:
        """Number of publications accepted since the customer's stream began."""
        return self._state.version

    @property
    def sequence(self) -> int:
        """Number of verified publications folded; publishers sign it as `base_sequence`."""
        return self._state.sequence

    @property
    def document(self) -> Document:
        """The document in force."""
        return self._state.document

    @property
    def sections(self) -> Mapping[str, SectionState]:
        """Sections in force by their identifier."""
        return MappingProxyType(self._state.sections)

    @property
    def history(self) -> tuple[PublicationVerdict, ...]:
        """Recent verdicts in the order of the log."""
        return self._state.book.history

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that only a snapshot can bring the fold on."""
        return not self._is_complete

    @property
    def needs_generation(self) -> bool:
        """Whether the log contradicts the fold, so that it must be seeded again from memory."""
        return self._needs_generation

    def verdict(self, publication_id: str) -> PublicationVerdict | None:
        """Returns the verdict on a recent publication, or None."""
        return self._state.book.find(publication_id)

    def on_record(self, record: StreamRecord) -> bool:
        """Folds one record; never raises on its content.

        Args:
            record: Record at `head.next_offset`. A higher offset means that the log has dropped
                records; a record at a lower offset has no effect, unless it begins a generation.

        Returns:
            Whether the document changed.
        """
        if record.offset < self._next_offset and not self._is_reset:
            return self._check_earlier(record)
        if record.offset > self._next_offset and not self._is_reset:
            self._note_gap(record.offset)
        self.counters.records += 1
        self._recent.append(record)
        self._next_offset = record.offset + 1
        document = self._state.document
        self._fold(record)
        self._note_folded()
        return self._state.document is not document

    def skip_to(self, offset: int) -> None:
        """Notes that the log no longer keeps any record before `offset`."""
        if offset <= self._next_offset:
            return
        self._note_gap(offset)
        self._next_offset = offset
        self._recent.clear()

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the recent records from `offset` on, or None if they are not kept."""
        if offset == self._next_offset:
            return ()
        if self._recent.find(offset) is None:
            return None
        return self._recent.since(offset)

    def encode_snapshot(self) -> bytes:
        """Returns a sealed snapshot of the state, as a record of the stream."""
        snapshot = make_snapshot(self._customer, self._mesh_key, self._state, self._folded_offset)
        return encode_record(snapshot)

    def restore_snapshot(self, payload: bytes) -> bool:
        """Adopts a peer's snapshot that is newer than the state.

        Args:
            payload: Snapshot as encoded by another replica.

        Returns:
            Whether the state changed.
        """
        snapshot = self._open_snapshot(payload)
        if snapshot is None or snapshot.is_seed or not self._is_newer(snapshot):
            return False
        return self._adopt(snapshot, snapshot.next_offset)

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Returns the snapshot that seeds the stream again after the log has lost it.

        From now on `head.next_offset` is 0 and no publication is folded, until a snapshot that
        begins a higher generation is read from the log.

        Args:
            end_offset: End of the new log as far as it has been read.

        Returns:
            The payload to append to the stream.
        """
        generation = max(self._state.generation, self._rival_generation) + 1
        seeded = dataclasses.replace(self._state, generation=generation)
        self._is_reset = True
        self._needs_generation = False
        self._next_offset = 0
        self._recent.clear()
        snapshot = make_snapshot(self._customer, self._mesh_key, seeded, end_offset, is_seed=True)
        return encode_record(snapshot)

    def _check_earlier(self, record: StreamRecord) -> bool:
        known = self._recent.find(record.offset)
        if known is not None and known.payload == record.payload:
            return False
        document = self._state.document
        snapshot = self._open_snapshot(record.payload)
        if snapshot is not None and snapshot.is_seed:
            self._recent.clear()
            self._on_seed(snapshot, record)
        elif known is not None:
            self._needs_generation = True
        return self._state.document is not document

    def _note_gap(self, offset: int) -> None:
        self._is_complete = False
        self._seen_from = offset
        self.counters.gaps += 1

    def _fold(self, record: StreamRecord) -> None:
        can_judge = self._is_complete and not self._is_reset
        try:
            entry = self._decode(record.payload)
        except RecordError as error:
            if can_judge:
                refusal = Refusal(RefusalCode.MALFORMED, str(error)[:MAX_REASON_CHARS])
                self._refuse_unverified(record, "", "", refusal)
            return
        if isinstance(entry, SnapshotRecord):
            self._on_snapshot(entry, record)
        elif can_judge:
            self._on_publication(entry, record)
        else:
            self.counters.skipped += 1

    def _decode(self, payload: bytes) -> AnyRecord:
        if len(payload) > self._limits.max_snapshot_bytes:
            raise RecordError(f"record of {len(payload)} bytes is out of bounds")
        return decode_record(payload)

    def _on_publication(self, publication: Publication, record: StreamRecord) -> None:
        state = self._state
        if state.book.is_known(publication.team, publication.publication_id):
            self.counters.duplicates += 1
            return
        state.quota.start_record(record.appended_at_ms)
        refusal = self._refuse_oversize(record) or self._judge.refuse_unverified(publication, state)
        if refusal is not None:
            self._refuse_publication(publication, record, refusal)
            return
        state.quota.count_verification()
        if not self._judge.is_authentic(publication, state):
            reason = f"signature is not the one of team {publication.team!r}"
            refusal = Refusal(RefusalCode.BAD_SIGNATURE, reason)
            self._refuse_publication(publication, record, refusal)
            return
        state.quota.count_publication(publication.team, count_body_bytes(publication))
        self._decide(publication, record)

    def _refuse_oversize(self, record: StreamRecord) -> Refusal | None:
        if len(record.payload) <= self._limits.max_record_bytes:
            return None
        reason = f"record exceeds {self._limits.max_record_bytes} bytes"
        return Refusal(RefusalCode.OVERSIZE, reason)

    def _decide(self, publication: Publication, record: StreamRecord) -> None:
        state = self._state
        state.sequence += 1
        refusal: Refusal | None = None
        try:
            outcome = self._judge.decide(publication, state, state.version + 1)
        except RefusedError as error:
            refusal = error.refusal
            self.counters.refused += 1
        else:
            state.sections = outcome.sections
            state.document = outcome.document
            state.version += 1
            self.counters.accepted += 1
        state.digest = state.compute_digest()
        verdict = PublicationVerdict(
            publication_id=publication.publication_id,
            team=publication.team,
            offset=record.offset,
            appended_at_ms=record.appended_at_ms,
            accepted=refusal is None,
            version=state.version,
            sections=tuple(change.section for change in publication.changes),
            refusal=refusal,
        )
        state.book.add_verified(verdict)

    def _refuse_publication(
        self, publication: Publication, record: StreamRecord, refusal: Refusal
    ) -> None:
        publication_id = publication.publication_id[:MAX_ID_CHARS]
        self._refuse_unverified(record, publication_id, publication.team[:MAX_ID_CHARS], refusal)

    def _refuse_unverified(
        self, record: StreamRecord, publication_id: str, team: str, refusal: Refusal
    ) -> None:
        self.counters.unverified += 1
        if refusal.code is RefusalCode.QUOTA:
            self.counters.over_quota += 1
        verdict = PublicationVerdict(
            publication_id=publication_id,
            team=team,
            offset=record.offset,
            appended_at_ms=record.appended_at_ms,
            accepted=False,
            version=self._state.version,
            refusal=refusal,
        )
        self._state.book.add_unverified(verdict)

    def _open_snapshot(self, payload: bytes) -> SnapshotRecord | None:
        try:
            entry = self._decode(payload)
        except RecordError:
            entry = None
        if not isinstance(entry, SnapshotRecord):
            return None
        return entry if self._is_genuine(entry) else None

    def _is_genuine(self, snapshot: SnapshotRecord) -> bool:
        if snapshot.customer == self._customer and is_sealed(snapshot, self._mesh_key):
            return True
        self.counters.snapshots_refused += 1
        return False

    def _on_snapshot(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        if not self._is_genuine(snapshot):
            return
        if snapshot.is_seed:
            self._on_seed(snapshot, record)
        elif self._is_complete and snapshot.generation <= self._state.generation:
            self._compare(snapshot)
        elif not self._is_reset:
            self._close_gap(snapshot, record)

    def _close_gap(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        is_covered = self._seen_from <= snapshot.next_offset <= record.offset
        if is_covered and self._is_newer(snapshot):
            self._adopt(snapshot, snapshot.next_offset)
        else:
            self.counters.snapshots_refused += 1

    def _compare(self, snapshot: SnapshotRecord) -> None:
        if self._is_reset or snapshot.generation < self._state.generation:
            return
        expected = self._digest_at(snapshot.next_offset)
        if expected is None:
            return
        if expected == snapshot.digest:
            self.counters.snapshots_matched += 1
        else:
            self.counters.snapshot_mismatches += 1

    def _on_seed(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        state = self._state
        if snapshot.generation <= state.generation:
            return
        if snapshot.version < state.version:
            self._note_rival(snapshot.generation)
            return
        is_covered = self._is_complete or self._is_reset or self._seen_from <= snapshot.next_offset
        if not is_covered:
            self.counters.snapshots_refused += 1
            return
        void = self._recent.since(snapshot.next_offset)
        if self._adopt(snapshot, record.offset + 1):
            self._void(void, record.offset)

    def _void(self, records: tuple[StreamRecord, ...], before: int) -> None:
        for record in records:
            if record.offset < before:
                self._void_record(record)

    def _void_record(self, record: StreamRecord) -> None:
        try:
            entry = decode_record(record.payload)
        except RecordError:
            return
        if not isinstance(entry, Publication):
            return
        if self._state.book.is_known(entry.team, entry.publication_id):
            return
        if self._judge.is_stale(entry, self._state):
            return
        reason = "the log was reset before this record; publish again"
        self._refuse_publication(entry, record, Refusal(RefusalCode.LOG_RESET, reason))

    def _note_rival(self, generation: int) -> None:
        self._rival_generation = max(self._rival_generation, generation)
        self._needs_generation = True

    def _is_newer(self, snapshot: SnapshotRecord) -> bool:
        state = self._state
        if snapshot.version < state.version:
            if snapshot.generation > state.generation:
                self._note_rival(snapshot.generation)
            return False
        if snapshot.generation != state.generation:
            return snapshot.generation > state.generation
        if self._is_reset:
            return snapshot.version > state.version
        return snapshot.next_offset > self._folded_offset

    def _adopt(self, snapshot: SnapshotRecord, next_offset: int) -> bool:
        try:
            state = self._reader.read_state(snapshot)
        except SnapshotError:
            self.counters.snapshots_refused += 1
            return False
        self._state = state
        self._is_complete = True
        self._is_reset = False
        self._needs_generation = False
        self._next_offset = next_offset
        self._folded_offset = next_offset
        self._seen_from = next_offset
        self._digests.clear()
        self._digests.append((next_offset, state.digest))
        self.counters.snapshots_adopted += 1
        self._fold_ahead()
        return True

    def _fold_ahead(self) -> None:
        """Folds the records that were read ahead of the snapshot's offset."""
        if self._recent.find(self._next_offset) is None:
            self._recent.clear()
        while (record := self._recent.find(self._next_offset)) is not None:
            self._next_offset += 1
            self._fold(record)
            self._note_folded()

    def _note_folded(self) -> None:
        if not self._is_complete or self._is_reset:
            return
        self._folded_offset = self._next_offset
        if self._state.digest != self._digests[-1][1]:
            self._digests.append((self._next_offset, self._state.digest))

    def _digest_at(self, next_offset: int) -> bytes | None:
        for offset, digest in reversed(self._digests):
            if offset <= next_offset:
                return digest
        return None
