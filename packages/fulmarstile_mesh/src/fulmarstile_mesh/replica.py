"""Interface between the relay core and the replicated state of one stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarstile_wire.records import StreamHead, StreamRecord


class StreamReplica(Protocol):
    """Deterministic state folded from the records of one stream, in offset order."""

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        ...

    @property
    def head(self) -> StreamHead:
        """How far the stream is folded."""
        ...

    def on_record(self, record: StreamRecord) -> bool:
        """Folds the record at `head.next_offset`; never raises on its content.

        Args:
            record: Record; a higher offset than `head.next_offset` skips records that the log
                has dropped, a lower one has no effect unless it begins a generation.

        Returns:
            Whether the document changed.
        """
        ...

    def skip_to(self, offset: int) -> None:
        """Notes that the stream holds no record before `offset` that is not folded yet."""
        ...

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the recent records from `offset` on, or None if they are not kept."""
        ...

    def encode_snapshot(self) -> bytes:
        """Returns a signed snapshot of the state."""
        ...

    def restore_snapshot(self, payload: bytes) -> bool:
        """Adopts a snapshot that is newer than the state.

        Args:
            payload: Snapshot as encoded by another replica.

        Returns:
            Whether the state changed; False for a snapshot that is forged, malformed or not
            newer.
        """
        ...

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Returns the snapshot that re-seeds a stream which the log has lost.

        From then on the replica counts offsets from 0 and folds nothing until it meets a record
        that begins a higher generation.

        Args:
            end_offset: End of the new stream as far as it has been read.
        """
        ...

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that only a snapshot can bring the replica on."""
        ...

    @property
    def needs_new_generation(self) -> bool:
        """Whether the log contradicts the replica, so that it must be re-seeded."""
        ...
