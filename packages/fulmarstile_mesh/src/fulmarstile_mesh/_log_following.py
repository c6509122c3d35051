"""Decides when the log is read, and when snapshots are written to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_mesh._stream import OutstandingRead, Stream, name_stream
from fulmarstile_mesh.effects import AppendLog, Effect, ReadLog
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from fulmarstile_mesh.relay_state import RelayCounters
    from fulmarstile_mesh.settings import RelaySettings
    from fulmarstile_platform.log import LogPage

_RESET_SIGHTINGS: Final = 2
"""Consecutive short pages after which a stream counts as lost by the log."""
_RESET_RECHECK_S: Final = 0.5
_SEED_POLL_S: Final = 1.0
"""Longest wait of a read that looks for the record which begins a generation."""
_FIRST_SNAPSHOT_FRACTION: Final = 0.05
"""Fraction of the retention within which a writer that knows of no snapshot writes one."""


class LogFollowing:
    """Reads streams as their topology demands and keeps them re-creatable from the log."""

    def __init__(
        self,
        settings: RelaySettings,
        random: Random,
        counters: RelayCounters,
        is_snapshot: Callable[[bytes], bool],
    ) -> None:
        self._settings = settings
        self._random = random
        self._counters = counters
        self._is_snapshot = is_snapshot

    def fold(self, stream: Stream, record: StreamRecord, now: float) -> None:
        """Folds one record and notes snapshots."""
        self._counters.records_folded += 1
        stream.replica.on_record(record)
        self._note_snapshot(stream, record, now)

    def on_page(self, stream: Stream, page: LogPage, now: float) -> None:
        """Handles a page of the stream."""
        read = stream.read
        if read is None:
            return
        stream.read = None
        stream.backoff.reset()
        stream.next_read_at = now
        if stream.reset_since is not None:
            self._look_for_seed(stream, page, now)
            return
        if page.end_offset < read.offset:
            self._on_short_page(stream, page, now)
            return
        stream.must_check = False
        stream.reset_sightings = 0
        self._fold_page(stream, page, now)
        if stream.replica.needs_new_generation:
            self._begin_reset(stream, page, now)

    def on_failure(self, stream: Stream, now: float) -> None:
        """Backs off after a failed read."""
        self._counters.log_failures += 1
        stream.read = None
        stream.must_check = True
        stream.next_read_at = now + stream.backoff.next_delay()

    def on_append_done(self, stream: Stream, offset: int, now: float) -> None:
        """Notes an appended snapshot."""
        if stream.reset_since is not None:
            return
        stream.append_expires_at = now
        stream.snapshot_at = now
        stream.records_since_snapshot = 0

    def on_append_failure(self, stream: Stream, now: float) -> None:
        """Lets the snapshot be written again, after a while."""
        stream.append_expires_at = now + self._settings.takeover_s

    def on_tick(self, stream: Stream, now: float) -> list[Effect]:
        """Returns the reads and appends that are due."""
        if stream.started_at is None:
            stream.started_at = now
            stream.next_read_at = now + stream.backoff.next_delay()
        if stream.read is not None and now >= stream.read.expires_at:
            self.on_failure(stream, now)
        effects = self._read_if_due(stream, now)
        effects += self._write_snapshot_if_due(stream, now)
        return effects

    def _read_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if stream.read is not None or now < stream.next_read_at:
            return []
        if self._is_reader(stream):
            return self._read(stream, self._settings.poll_wait_s, now)
        if self._is_backup(stream):
            stream.next_read_at = now + self._settings.backup_interval_s
            return self._read(stream, 0.0, now)
        return self._fall_back_if_due(stream, now)

    def _fall_back_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if not self._has_waited_for_peers(stream, now):
            stream.fallback_at = None
            return []
        if stream.fallback_at is None:
            stream.fallback_at = now + self._get_fallback_delay(stream)
        if now < stream.fallback_at:
            return []
        stream.fallback_at = now + self._get_fallback_delay(stream)
        return self._read(stream, 0.0, now)

    def _is_reader(self, stream: Stream) -> bool:
        return stream.topology.reader_rank < self._settings.readers_per_zone

    def _is_backup(self, stream: Stream) -> bool:
        is_next = stream.topology.reader_rank == self._settings.readers_per_zone
        return is_next and stream.topology.zone_count == 1

    def _has_waited_for_peers(self, stream: Stream, now: float) -> bool:
        since = stream.lagging_since if stream.is_synced else stream.started_at
        return since is not None and now - since >= self._settings.lag_limit_s

    def _get_fallback_delay(self, stream: Stream) -> float:
        fleet_s = stream.topology.member_count / self._settings.fleet_reads_per_s
        return self._random.uniform(0.0, max(2.0 * fleet_s, self._settings.log_backoff_s))

    def _read(self, stream: Stream, wait_s: float, now: float) -> list[Effect]:
        position = offset = stream.replica.head.next_offset
        if stream.must_check:
            # The last folded record shows whether the stream is still the same.
            offset = max(0, position - 1)
            wait_s = 0.0
        if stream.reset_since is not None:
            position = offset = stream.reset_offset
            wait_s = min(wait_s, _SEED_POLL_S)
        stream.read = OutstandingRead(position, now + wait_s + self._settings.poll_grace_s)
        self._counters.log_reads += 1
        return [ReadLog(name_stream(stream.customer), offset, wait_s)]

    def _fold_page(self, stream: Stream, page: LogPage, now: float) -> None:
        replica = stream.replica
        if page.first_offset > replica.head.next_offset:
            self._counters.gaps_seen += 1
            replica.skip_to(page.first_offset)
        for logged in page.records:
            record = StreamRecord(logged.offset, logged.payload, logged.appended_at_ms)
            if record.offset >= replica.head.next_offset:
                self.fold(stream, record, now)
            else:
                replica.on_record(record)
            if replica.needs_new_generation and stream.reset_since is None:
                return
        if replica.head.next_offset >= page.end_offset and not replica.needs_snapshot:
            stream.is_synced = True

    def _on_short_page(self, stream: Stream, page: LogPage, now: float) -> None:
        stream.must_check = True
        stream.reset_sightings += 1
        stream.next_read_at = now + _RESET_RECHECK_S
        if stream.reset_sightings >= _RESET_SIGHTINGS:
            self._begin_reset(stream, page, now)

    def _begin_reset(self, stream: Stream, page: LogPage, now: float) -> None:
        self._counters.resets_seen += 1
        stream.reset_sightings = 0
        stream.reset_since = now
        stream.reset_offset = 0
        stream.request = None
        stream.held.clear()
        stream.replica.begin_generation(page.end_offset)

    def _look_for_seed(self, stream: Stream, page: LogPage, now: float) -> None:
        generation = stream.replica.head.generation
        self._fold_page(stream, page, now)
        if page.records:
            stream.reset_offset = page.records[-1].offset + 1
        elif page.end_offset < stream.reset_offset:
            stream.reset_offset = 0
        if stream.replica.head.generation > generation:
            self.end_reset(stream, now)

    def end_reset(self, stream: Stream, now: float) -> None:
        """Notes that a higher generation was adopted."""
        stream.reset_since = None
        stream.snapshot_at = now
        stream.records_since_snapshot = 0

    def _begin_generation_if_due(self, stream: Stream, now: float) -> list[Effect]:
        assert stream.reset_since is not None
        wait_s = _SEED_POLL_S + stream.topology.writer_rank * self._settings.takeover_s
        if now - stream.reset_since < wait_s or now < stream.append_expires_at:
            return []
        stream.append_expires_at = now + self._settings.takeover_s
        self._counters.generations_begun += 1
        payload = stream.replica.begin_generation(stream.replica.head.next_offset)
        return [AppendLog(name_stream(stream.customer), payload)]

    def _write_snapshot_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if stream.reset_since is not None:
            return self._begin_generation_if_due(stream, now)
        if not self._is_reader(stream) or not stream.is_reliable or stream.list_ahead():
            return []
        if stream.replica.head.next_offset == 0 or now < stream.append_expires_at:
            return []
        if now < self._get_snapshot_due_at(stream, now):
            return []
        stream.append_expires_at = now + self._settings.takeover_s
        self._counters.snapshots_appended += 1
        return [AppendLog(name_stream(stream.customer), stream.replica.encode_snapshot())]

    def _get_snapshot_due_at(self, stream: Stream, now: float) -> float:
        wait_s = stream.topology.writer_rank * self._settings.takeover_s
        assert stream.started_at is not None
        retention_s = self._settings.retention_s
        if stream.snapshot_at is None:
            return stream.started_at + _FIRST_SNAPSHOT_FRACTION * retention_s + wait_s
        if stream.records_since_snapshot >= self._settings.snapshot_records:
            return stream.snapshot_full_at + wait_s
        return stream.snapshot_at + self._settings.snapshot_fraction * retention_s + wait_s

    def _note_snapshot(self, stream: Stream, record: StreamRecord, now: float) -> None:
        if self._is_snapshot(record.payload):
            stream.snapshot_at = now if stream.is_synced else None
            stream.records_since_snapshot = 0
            return
        stream.records_since_snapshot += 1
        if stream.records_since_snapshot == self._settings.snapshot_records:
            stream.snapshot_full_at = now
