"""Fake of the fold of one customer's stream."""

from __future__ import annotations

import msgspec
import xxhash

from fulmarstile_wire.records import StreamHead, StreamRecord


class FakeSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """Complete state of a `FakeReplica`."""

    generation: int
    next_offset: int
    version: int
    digest: bytes
    is_seed: bool


_snapshot_decoder = msgspec.msgpack.Decoder(FakeSnapshot)


def is_snapshot(payload: bytes) -> bool:
    """Returns whether a record is a snapshot of a `FakeReplica`."""
    return _decode_snapshot(payload) is not None


class FakeReplica:
    """Replica that accepts every record and chains them into a digest."""

    def __init__(self, customer: str) -> None:
        self._customer = customer
        self._generation = 0
        self._next_offset = 0
        self._version = 0
        self._digest = bytes(8)
        self._recent: dict[int, StreamRecord] = {}
        self._is_reset = False
        self._needs_snapshot = False
        self.folded: list[int] = []
        """Offsets in the order in which they were folded."""

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        return self._customer

    @property
    def head(self) -> StreamHead:
        """Position, version and digest of the folded stream."""
        return StreamHead(
            self._customer, self._generation, self._next_offset, self._version, self._digest
        )

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that a snapshot is needed."""
        return self._needs_snapshot

    @property
    def needs_new_generation(self) -> bool:
        """Whether the log contradicts the replica; always False for this fake."""
        return False

    def on_record(self, record: StreamRecord) -> bool:
        """Folds a record; returns whether the replicated state changed."""
        snapshot = _decode_snapshot(record.payload)
        if snapshot is not None and snapshot.is_seed and snapshot.generation > self._generation:
            self._adopt(snapshot, record.offset + 1)
            return True
        if record.offset < self._next_offset:
            return False
        if record.offset > self._next_offset:
            self._needs_snapshot = not self._is_reset
        self._next_offset = record.offset + 1
        if snapshot is not None and self._needs_snapshot:
            return self.restore_snapshot(record.payload)
        if self._is_reset or self._needs_snapshot:
            return False
        self._recent[record.offset] = record
        if snapshot is None:
            self.folded.append(record.offset)
            self._version += 1
            self._digest = xxhash.xxh64_digest(self._digest + record.payload)
        return snapshot is None

    def skip_to(self, offset: int) -> None:
        """Moves to an offset because the records before it are lost."""
        self._needs_snapshot = not self._is_reset
        self._next_offset = offset

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the records from an offset on, or None if they are no longer held."""
        if offset == self._next_offset:
            return ()
        if offset not in self._recent:
            return None
        return tuple(self._recent[key] for key in sorted(self._recent) if key >= offset)

    def encode_snapshot(self) -> bytes:
        """Returns the encoded state."""
        return self._encode(self._generation, self._next_offset, is_seed=False)

    def restore_snapshot(self, payload: bytes) -> bool:
        """Adopts a snapshot if it is newer; returns whether it was adopted."""
        snapshot = _decode_snapshot(payload)
        if snapshot is None or snapshot.is_seed:
            return False
        is_newer = (snapshot.generation, snapshot.version) > (self._generation, self._version)
        if snapshot.version < self._version or not (is_newer or self._needs_snapshot):
            return False
        self._adopt(snapshot, snapshot.next_offset)
        return True

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Returns the snapshot that begins the next generation."""
        if not self._is_reset:
            self._is_reset = True
            self._next_offset = 0
        return self._encode(self._generation + 1, end_offset, is_seed=True)

    def _encode(self, generation: int, next_offset: int, *, is_seed: bool) -> bytes:
        return msgspec.msgpack.encode(
            FakeSnapshot(generation, next_offset, self._version, self._digest, is_seed)
        )

    def _adopt(self, snapshot: FakeSnapshot, next_offset: int) -> None:
        self._generation = snapshot.generation
        self._next_offset = next_offset
        self._version = snapshot.version
        self._digest = snapshot.digest
        self._recent.clear()
        self._is_reset = False
        self._needs_snapshot = False


def _decode_snapshot(payload: bytes) -> FakeSnapshot | None:
    try:
        return _snapshot_decoder.decode(payload)
    except msgspec.DecodeError:
        return None
