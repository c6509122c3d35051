"""Interface of the replicated state of one stream, as the relay core uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarstile_wire.records import StreamHead, StreamRecord


class StreamReplica(Protocol):
    """Deterministic state, folded from the records of one stream in offset order."""

    @property
    def customer(self) -> str:
        """Customer that the stream belongs to."""
        ...

    @property
    def head(self) -> StreamHead:
        """Position up to which the stream is folded, with the version and digest of the result."""
        ...

    def on_record(self, record: StreamRecord) -> bool:
        """Folds the record at `head.next_offset`; never raises on its content.

        Args:
            record: Record to fold. An offset above `head.next_offset` skips records that the log
                has dropped. One below it has no effect unless the record begins a generation.

        Returns:
            Whether the document changed.
        """
        ...

    def skip_to(self, offset: int) -> None:
        """Records that the stream no longer holds unfolded records before `offset`."""
        ...

    def records_from(self, offset: int) -> tuple[StreamRecord, ...] | None:
        """Returns the records from `offset` on, or None if they are no longer kept."""
        ...

    def encode_snapshot(self) -> bytes:
        """Returns a signed snapshot of the state."""
        ...

    def restore_snapshot(self, payload: bytes) -> bool:
        """Replaces the state by a snapshot that is newer.

        Args:
            payload: Snapshot as encoded by another replica.

        Returns:
            Whether the state changed; False if the snapshot is forged, malformed or not newer.
        """
        ...

    def begin_generation(self, end_offset: int = 0) -> bytes:
        """Returns a snapshot that recreates a stream lost by the log, as a new generation.

        Afterwards the replica counts offsets from 0 again, and folds nothing until it receives a
        record that begins a higher generation.

        Args:
            end_offset: End of the new stream as far as it is known.
        """
        ...

    @property
    def needs_snapshot(self) -> bool:
        """Whether records are missing, so that the replica needs a snapshot to continue."""
        ...

    @property
    def needs_new_generation(self) -> bool:
        """Whether the log contradicts the replica, so that a new generation is needed."""
        ...
