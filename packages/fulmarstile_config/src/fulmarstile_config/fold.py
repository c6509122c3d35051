"""Deterministic fold of one customer's configuration stream."""

from __future__ import annotations

import dataclasses
from types import MappingProxyType
from typing import TYPE_CHECKING

from fulmarstile_config.digest_history import DigestHistory
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

    Folding applies the records of the stream in log order; the state depends on the records alone,
    so replicas that have folded the same records are equal. If the log loses the stream, a replica
    restores it with a seed: a snapshot of its state that begins the next generation.

    Args:
        customer: Customer that the stream belongs to.
        owner_key: Raw Ed25519 public key of the owner team.
        mesh_key: Key shared by the daemons of the deployment; authenticates snapshots.
        limits: Limits; all daemons of a deployment must use the same ones. The defaults if None.
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
        self._new_log_records = RecentRecords(self._limits)
        """Records read that do not continue the state, possibly from a new log; not folded."""
        self._digests = DigestHistory(0, self._state.digest)

        self._next_offset = 0
        self._folded_offset = 0
        """Offset of the first record that the state does not cover."""
        self._contiguous_from = 0
        """Every record from this offset up to `_next_offset` was read."""
        self._is_complete = True
        """Whether the state covers every record before `_next_offset`."""
        self._is_reset = False
        """Whether the log has lost the stream and no snapshot was adopted since."""
        self._has_conflicting_record = False
        """Whether the log holds another record at an offset than the one folded there."""
        self._competing_generation = 0
        """Highest generation of a snapshot that had a lower version than this replica; while it is
        later than the replica's generation, the replica must begin a higher one."""

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        return self._customer

    @property
    def head(self) -> StreamHead:
        """Position that the stream is read to, and the state reached."""
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
        """The current document."""
        return self._state.document

    @property
    def sections(self) -> Mapping[str, SectionState]:
        """Current sections by their identifier."""
        return MappingProxyType(self._state.sections)

    @property
    def history(self) -> tuple[PublicationVerdict, ...]:
        """Recent verdicts in log order."""
        return self._state.verdicts.in_log_order

    @property
    def counters(self) -> FoldCounters:
        """Events counted since the process started."""
        return self._counters

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that folding can only go on from a snapshot."""
        return not self._is_complete and not self._is_reset

    @property
    def needs_new_generation(self) -> bool:
        """Whether the log contradicts the state, so that the replica must seed it again."""
        return self._has_conflicting_record or self._competing_generation > self._state.generation

    @property
    def _is_detached(self) -> bool:
        """Whether the log no longer continues the stream that the state was folded from."""
        return self._is_reset or self.needs_new_generation

    def find_verdict(self, publication_id: str) -> PublicationVerdict | None:
        """Returns the verdict on a recent publication, or None."""
        return self._state.verdicts.find(publication_id)

    def on_record(self, record: StreamRecord) -> bool:
        """Folds one record; never raises because of its content.

        Args:
            record: Record at `head.next_offset`. A higher offset means that records are missing; a
                record at a lower offset changes the document only if it is a snapshot of a later
                generation.

        Returns:
            Whether the document changed.
        """
        document = self._state.document
        if record.offset < self._next_offset or self._is_detached:
            self._check_for_new_log(record)
        else:
            self._read_next(record)
        return self._state.document is not document

    def skip_to(self, offset: int) -> None:
        """Skips the records before `offset`, which the log no longer keeps."""
        if offset <= self._next_offset:
            return
        if not self._is_detached:
            self._mark_gap(offset)
            self._recent.clear()
        self._next_offset = offset

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the recent records from `offset` on, or None if they are not kept."""
        if offset == self._next_offset:
            return ()
        if self._recent.find(offset) is None:
            return None
        return self._recent.from_offset(offset)

    def encode_snapshot(self) -> bytes:
        """Returns an authenticated snapshot of the state, as a record of the stream."""
        snapshot = make_snapshot(self._customer, self._mesh_key, self._state, self._folded_offset)
        return encode_record(snapshot)

    def restore_snapshot(self, payload: bytes) -> bool:
        """Adopts a peer's snapshot if it is newer than the state.

        Args:
            payload: Snapshot as encoded by another replica.

        Returns:
            Whether the snapshot was adopted.
        """
        snapshot = self._open_snapshot(payload)
        if snapshot is None or snapshot.is_seed or not self._is_newer(snapshot):
            return False
        if snapshot.generation > self._state.generation:
            # The recent records are from the lost log and do not continue the snapshot.
            self._recent, self._new_log_records = self._new_log_records, RecentRecords(self._limits)
        return self._adopt(snapshot, snapshot.next_offset)

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Begins a new generation and returns its seed, after the log has lost the stream.

        From now on `head.next_offset` is a position in the new log, initially 0, and no record is
        folded until a newer snapshot is adopted. A second call before that returns a seed of the
        same generation, unless a competing one was read, and keeps the position. The seed contains
        a refusal of each publication that was read from the new log with `on_record`.

        Args:
            end_offset: End of the new log, if it is known to be after the last record that
                `on_record` was called with.

        Returns:
            The payload to append to the stream.
        """
        if not self._is_reset:
            self._is_reset = True
            self._next_offset = 0
            self._new_log_records.clear()
        state = self._state
        verdicts = state.verdicts.copy()
        generation = max(state.generation, self._competing_generation) + 1
        seeded = dataclasses.replace(state, generation=generation, verdicts=verdicts)
        for record in self._new_log_records.from_offset(0):
            self._handler.handle_pre_seed(seeded, record)
        end_offset = max(end_offset, self._new_log_records.end_offset)
        snapshot = make_snapshot(self._customer, self._mesh_key, seeded, end_offset, is_seed=True)
        return encode_record(snapshot)

    def _read_next(self, record: StreamRecord) -> None:
        if record.offset != self._next_offset:
            self._mark_gap(record.offset)
        self._counters.records += 1
        self._recent.append(record)
        self._next_offset = record.offset + 1
        self._fold(record)
        self._mark_folded(record)

    def _check_for_new_log(self, record: StreamRecord) -> None:
        """Checks whether a record that does not continue the state is from a new log.

        Adopts a snapshot of a later generation, and marks the replica as contradicted by any
        other record that differs from the one folded at its offset.
        """
        self._next_offset = max(self._next_offset, record.offset + 1)
        differs = self._differs_from_folded(record)
        if differs is False:
            return
        self._new_log_records.append(record)
        snapshot = self._open_snapshot(record.payload)
        is_later = snapshot is not None and snapshot.generation > self._state.generation
        if is_later and self._is_newer(snapshot):
            self._switch_log(snapshot, record)
        elif differs:
            self._has_conflicting_record = True

    def _differs_from_folded(self, record: StreamRecord) -> bool | None:
        """Returns whether another record was folded at the offset; None if it is not known."""
        known = self._recent.find(record.offset)
        if known is not None:
            return known.payload != record.payload
        if record.offset == self._folded_offset - 1 and self._state.last_record:
            return digest_record(record.payload) != self._state.last_record
        return None

    def _switch_log(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        """Continues with the new log that a snapshot of a later generation was read from."""
        first_offset = self._new_log_records.first_offset
        is_contiguous = first_offset is not None and first_offset <= snapshot.next_offset
        if not snapshot.is_seed and not is_contiguous:
            self._counters.snapshots_refused += 1
            return
        self._recent, self._new_log_records = self._new_log_records, RecentRecords(self._limits)
        if snapshot.is_seed:
            self._on_seed(snapshot, record, self._recent.from_offset(snapshot.next_offset))
        else:
            self._adopt(snapshot, snapshot.next_offset)
        self._mark_folded(record)

    def _mark_gap(self, offset: int) -> None:
        self._contiguous_from = offset
        self._is_complete = False
        self._counters.gaps += 1

    def _mark_folded(self, record: StreamRecord) -> None:
        if not self._is_complete or record.offset != self._next_offset - 1:
            return
        self._folded_offset = self._next_offset
        self._state.last_record = digest_record(record.payload)
        self._digests.advance(self._next_offset, self._state.digest)

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
            self._on_seed(snapshot, record, self._recent.from_offset(snapshot.next_offset))
        elif snapshot.generation > self._state.generation or self.needs_snapshot:
            self._close_gap(snapshot, record)
        elif snapshot.generation == self._state.generation:
            self._compare_digest(snapshot)

    def _on_seed(
        self,
        snapshot: SnapshotRecord,
        record: StreamRecord,
        earlier_records: tuple[StreamRecord, ...],
    ) -> None:
        """Adopts a seed if no record before it may be missing, and refuses earlier publications."""
        if not self._is_newer(snapshot) or snapshot.generation <= self._state.generation:
            return
        if self.needs_snapshot and self._contiguous_from > snapshot.next_offset:
            self._counters.snapshots_refused += 1
            return
        if not self._adopt(snapshot, record.offset + 1):
            return
        for earlier_record in earlier_records:
            if earlier_record.offset < record.offset:
                self._handler.handle_pre_seed(self._state, earlier_record)

    def _close_gap(self, snapshot: SnapshotRecord, record: StreamRecord) -> None:
        """Adopts a snapshot if every record that it does not cover was read."""
        is_contiguous = self._contiguous_from <= snapshot.next_offset <= record.offset
        if is_contiguous and self._is_newer(snapshot):
            self._adopt(snapshot, snapshot.next_offset)
        else:
            self._counters.snapshots_refused += 1

    def _compare_digest(self, snapshot: SnapshotRecord) -> None:
        is_same = self._digests.matches(snapshot.next_offset, snapshot.digest)
        if is_same:
            self._counters.snapshots_matched += 1
        elif is_same is False:
            self._counters.snapshot_mismatches += 1

    def _is_newer(self, snapshot: SnapshotRecord) -> bool:
        """Returns whether a snapshot is newer than the state.

        A later generation with a lower version is not, but is noted as a competing one.
        """
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
        self._has_conflicting_record = False
        self._new_log_records.clear()
        self._next_offset = next_offset
        self._folded_offset = next_offset
        self._contiguous_from = next_offset
        self._digests = DigestHistory(next_offset, state.digest)
        self._fold_ahead()
        return True

    def _fold_ahead(self) -> None:
        """Folds the records that follow the adopted snapshot and had already been read."""
        if self._recent.find(self._next_offset) is None:
            self._recent.clear()
        while (record := self._recent.find(self._next_offset)) is not None:
            self._next_offset += 1
            self._fold(record)
            self._mark_folded(record)
