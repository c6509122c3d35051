"""Deterministic fold of one customer's configuration stream."""

from __future__ import annotations

import dataclasses
from types import MappingProxyType
from typing import TYPE_CHECKING

from fulmarstile_config.digest_trail import DigestTrail
from fulmarstile_config.errors import SnapshotError
from fulmarstile_config.fold_counters import FoldCounters
from fulmarstile_config.fold_state import FoldState, digest_record
from fulmarstile_config.limits import FoldLimits
from fulmarstile_config.publication_handler import PublicationHandler
from fulmarstile_config.publication_rules import PublicationRules
from fulmarstile_config.quota import QuotaMeter
from fulmarstile_config.recent_records import RecentRecords
from fulmarstile_config.records import (
    RecordError,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from fulmarstile_config.snapshot import SnapshotReader, has_valid_mac, make_snapshot
from fulmarstile_config.verdict_history import VerdictHistory
from fulmarstile_wire.records import StreamHead

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config.document import Document
    from fulmarstile_config.fold_state import SectionState
    from fulmarstile_config.publication import PublicationVerdict
    from fulmarstile_wire.records import StreamRecord


class CustomerFold:
    """Replica of one customer's document, version and verdicts.

    Args:
        customer: Customer that the stream belongs to.
        owner_key: Raw Ed25519 public key of the owner team.
        mesh_key: Key shared by the daemons of the deployment; authenticates snapshots.
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
        self._counters = FoldCounters()
        rules = PublicationRules(customer, owner_key, self._limits)
        self._handler = PublicationHandler(rules, self._limits, self._counters)
        self._reader = SnapshotReader(customer, rules, self._limits)
        self._state = FoldState(VerdictHistory(self._limits), QuotaMeter(self._limits))
        self._recent = RecentRecords(self._limits)
        self._unfolded = RecentRecords(self._limits)
        """Records that the log holds now at offsets that were folded from a lost one."""
        self._trail = DigestTrail(0, self._state.digest)

        self._next_offset = 0
        self._folded_offset = 0
        """Offset of the first record that the state does not cover."""
        self._seen_from = 0
        """Offset from which on every record up to `_next_offset` was seen."""
        self._is_complete = True
        """Whether the state covers every record before `_next_offset`."""
        self._is_reset = False
        """Whether the log has lost the stream and no seed was read from it yet."""
        self._is_contradicted = False
        self._competing_generation = 0
        """Highest generation met whose version was lower than this replica's."""

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
        return self._state.verdicts.all

    @property
    def counters(self) -> FoldCounters:
        """What the fold has met since the process started."""
        return self._counters

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that only a snapshot can bring the fold on."""
        return not self._is_complete and not self._is_reset

    @property
    def needs_new_generation(self) -> bool:
        """Whether the log contradicts the fold, so that it must be seeded again from memory."""
        return self._is_contradicted or self._competing_generation > self._state.generation

    @property
    def _is_detached(self) -> bool:
        """Whether the log no longer continues the stream that the state was folded from."""
        return self._is_reset or self.needs_new_generation

    def find_verdict(self, publication_id: str) -> PublicationVerdict | None:
        """Returns the verdict on a recent publication, or None."""
        return self._state.verdicts.find(publication_id)

    def on_record(self, record: StreamRecord) -> bool:
        """Folds one record; never raises on its content.

        Args:
            record: Record at `head.next_offset`. A higher offset means that the log has dropped
                records; a record at a lower offset has no effect, unless it begins a generation.

        Returns:
            Whether the document changed.
        """
        document = self._state.document
        if record.offset < self._next_offset or self._is_detached:
            self._set_aside(record)
        else:
            self._read(record)
        return self._state.document is not document

    def skip_to(self, offset: int) -> None:
        """Notes that the log no longer keeps any record before `offset`."""
        if offset <= self._next_offset:
            return
        if not self._is_detached:
            self._note_gap(offset)
            self._recent.clear()
        self._next_offset = offset

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the recent records from `offset` on, or None if they are not kept."""
        if offset == self._next_offset:
            return ()
        if self._recent.find(offset) is None:
            return None
        return self._recent.since(offset)

    def encode_snapshot(self) -> bytes:
        """Returns an authenticated snapshot of the state, as a record of the stream."""
        snapshot = make_snapshot(self._customer, self._mesh_key, self._state, self._folded_offset)
        return encode_record(snapshot)

    def restore_snapshot(self, payload: bytes) -> bool:
        """Adopts a peer's snapshot that is newer than the state.

        Args:
            payload: Snapshot as encoded by another replica.

        Returns:
            Whether the snapshot was adopted.
        """
        snapshot = self._open_snapshot(payload)
        if snapshot is None or snapshot.is_seed or not self._is_newer(snapshot):
            return False
        if snapshot.generation > self._state.generation:
            # The records kept are those of the log that was lost; none follows the snapshot.
            self._recent, self._unfolded = self._unfolded, RecentRecords(self._limits)
        return self._adopt(snapshot, snapshot.next_offset)

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Returns the snapshot that seeds the stream again after the log has lost it.

        From now on `head.next_offset` counts the records of the new log, from 0, and none is
        folded, until a snapshot of a higher generation is adopted. Calling it again before that
        gives a snapshot of the same generation and leaves the position. Publications that
        were read from the new log with `on_record` are refused by the snapshot.

        Args:
            end_offset: End of the new log, if it was read further than by `on_record`.

        Returns:
            The payload to append to the stream.
        """
        if not self._is_reset:
            self._is_reset = True
            self._next_offset = 0
            self._unfolded.clear()
        state = self._state
        verdicts = state.verdicts.copy()
        generation = max(state.generation, self._competing_generation) + 1
        seeded = dataclasses.replace(state, generation=generation, verdicts=verdicts)
        for record in self._unfolded.since(0):
            self._handler.handle_void(seeded, record)
        end_offset = max(end_offset, self._unfolded.end_offset)
        snapshot = make_snapshot(self._customer, self._mesh_key, seeded, end_offset, is_seed=True)
        return encode_record(snapshot)

    def _read(self, record: StreamRecord) -> None:
        if record.offset != self._next_offset:
            self._note_gap(record.offset)
        self._counters.records += 1
        self._recent.append(record)
        self._next_offset = record.offset + 1
        self._fold(record)
        self._note_folded(record)

    def _set_aside(self, record: StreamRecord) -> None:
        """Looks for a later generation in a record that does not continue the state."""
        self._next_offset = max(self._next_offset, record.offset + 1)
        is_other = self._is_other_record(record)
        if is_other is False:
            return
        self._unfolded.append(record)
        snapshot = self._open_snapshot(record.payload)
        is_later = snapshot is not None and snapshot.generation > self._state.generation
        if is_later and self._is_newer(snapshot):
            self._switch_log(snapshot, record)
        elif is_other:
            self._is_contradicted = True

    def _is_other_record(self, record: StreamRecord) -> bool | None:
        """Returns whether another record was folded at the offset; None if it is forgotten."""
        known = self._recent.find(record.offset)
        if known is not None:
            return known.payload != record.payload
        if record.offset == self._folded_offset - 1 and self._state.last_record:
            return digest_record(record.payload) != self._state.last_record
        return None

    def _switch_log(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        """Goes on with the log that a snapshot of a later generation was read from."""
        first_offset = self._unfolded.first_offset
        is_covered = first_offset is not None and first_offset <= snapshot.next_offset
        if not snapshot.is_seed and not is_covered:
            self._counters.snapshots_refused += 1
            return
        self._recent, self._unfolded = self._unfolded, RecentRecords(self._limits)
        if snapshot.is_seed:
            self._on_seed(snapshot, record, self._recent.since(snapshot.next_offset))
        else:
            self._adopt(snapshot, snapshot.next_offset)
        self._note_folded(record)

    def _note_gap(self, offset: int) -> None:
        self._seen_from = offset
        self._is_complete = False
        self._counters.gaps += 1

    def _note_folded(self, record: StreamRecord) -> None:
        if not self._is_complete or record.offset != self._next_offset - 1:
            return
        self._folded_offset = self._next_offset
        self._state.last_record = digest_record(record.payload)
        self._trail.advance(self._next_offset, self._state.digest)

    def _fold(self, record: StreamRecord) -> None:
        is_foldable = self._is_complete and not self._is_detached
        try:
            entry = decode_record(record.payload, self._limits.max_snapshot_record_bytes)
        except RecordError as error:
            if is_foldable:
                self._handler.handle_malformed(self._state, record, str(error))
            return
        if isinstance(entry, SnapshotRecord):
            self._on_snapshot(entry, record)
        elif is_foldable:
            self._handler.handle(self._state, entry, record)
        else:
            self._counters.skipped += 1

    def _open_snapshot(self, payload: bytes) -> SnapshotRecord | None:
        try:
            entry = decode_record(payload, self._limits.max_snapshot_record_bytes)
        except RecordError:
            return None
        if isinstance(entry, SnapshotRecord) and self._is_authentic(entry):
            return entry
        return None

    def _is_authentic(self, snapshot: SnapshotRecord) -> bool:
        if snapshot.customer == self._customer and has_valid_mac(snapshot, self._mesh_key):
            return True
        self._counters.snapshots_refused += 1
        return False

    def _on_snapshot(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        if not self._is_authentic(snapshot):
            return
        if snapshot.is_seed:
            self._on_seed(snapshot, record, self._recent.since(snapshot.next_offset))
        elif snapshot.generation > self._state.generation or self.needs_snapshot:
            self._close_gap(snapshot, record)
        elif snapshot.generation == self._state.generation:
            self._compare(snapshot)

    def _on_seed(
        self, snapshot: SnapshotRecord, record: StreamRecord, earlier: tuple[StreamRecord, ...]
    ) -> None:
        if not self._is_newer(snapshot) or snapshot.generation <= self._state.generation:
            return
        if self.needs_snapshot and self._seen_from > snapshot.next_offset:
            self._counters.snapshots_refused += 1
            return
        if not self._adopt(snapshot, record.offset + 1):
            return
        for void in earlier:
            if void.offset < record.offset:
                self._handler.handle_void(self._state, void)

    def _close_gap(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        is_covered = self._seen_from <= snapshot.next_offset <= record.offset
        if is_covered and self._is_newer(snapshot):
            self._adopt(snapshot, snapshot.next_offset)
        else:
            self._counters.snapshots_refused += 1

    def _compare(self, snapshot: SnapshotRecord) -> None:
        is_same = self._trail.matches(snapshot.next_offset, snapshot.digest)
        if is_same:
            self._counters.snapshots_matched += 1
        elif is_same is False:
            self._counters.snapshot_mismatches += 1

    def _is_newer(self, snapshot: SnapshotRecord) -> bool:
        state = self._state
        if snapshot.version < state.version:
            if snapshot.generation > state.generation:
                highest = max(self._competing_generation, snapshot.generation)
                self._competing_generation = highest
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
            self._counters.snapshots_refused += 1
            return False
        self._counters.snapshots_adopted += 1
        self._state = state
        self._is_complete = True
        self._is_reset = False
        self._is_contradicted = False
        self._unfolded.clear()
        self._next_offset = next_offset
        self._folded_offset = next_offset
        self._seen_from = next_offset
        self._trail = DigestTrail(next_offset, state.digest)
        self._fold_ahead()
        return True

    def _fold_ahead(self) -> None:
        """Folds the records that were read ahead of the snapshot's offset."""
        if self._recent.find(self._next_offset) is None:
            self._recent.clear()
        while (record := self._recent.find(self._next_offset)) is not None:
            self._next_offset += 1
            self._fold(record)
            self._note_folded(record)
