"""Decides when to read the log and when to write snapshots to it."""

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

_SHORT_PAGES_BEFORE_RESET: Final = 2
"""Consecutive pages ending before the requested offset at which the stream counts as lost."""
_RESET_RECHECK_S: Final = 0.5
_GENERATION_POLL_S: Final = 1.0
"""Maximum wait of a read that searches for the record that begins a generation."""
_FIRST_SNAPSHOT_FRACTION: Final = 0.05
"""Fraction of the retention after which a writer that has seen no snapshot writes one."""


class LogFollower:
    """Reads streams according to their topology and keeps a recent snapshot of each in the log."""

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
        """Folds one record and tracks the newest snapshot."""
        self._counters.records_folded += 1
        stream.replica.on_record(record)
        self._track_snapshot(stream, record, now)

    def on_page(self, stream: Stream, page: LogPage, now: float) -> None:
        """Handles a page read from the stream."""
        outstanding_read = stream.outstanding_read
        if outstanding_read is None:
            return
        stream.outstanding_read = None
        stream.backoff.reset()
        stream.next_read_at = now
        if stream.reset_detected_at is not None:
            self._search_new_generation(stream, page, now)
            return
        if page.end_offset < outstanding_read.offset:
            self._on_short_page(stream, page, now)
            return
        stream.must_verify_log = False
        stream.short_page_count = 0
        self._fold_page(stream, page, now)
        if stream.replica.needs_new_generation:
            self._begin_reset(stream, page, now)

    def on_failure(self, stream: Stream, now: float) -> None:
        """Backs off after a failed read."""
        self._counters.log_failures += 1
        stream.outstanding_read = None
        stream.must_verify_log = True
        stream.next_read_at = now + stream.backoff.next_delay()

    def on_append_done(self, stream: Stream, offset: int, now: float) -> None:
        """Records that a snapshot was appended."""
        if stream.reset_detected_at is not None:
            return
        stream.next_append_at = now
        stream.newest_snapshot_at = now
        stream.records_since_snapshot = 0

    def on_append_failure(self, stream: Stream, now: float) -> None:
        """Delays the next attempt to append a snapshot."""
        stream.next_append_at = now + self._settings.takeover_s

    def on_tick(self, stream: Stream, now: float) -> list[Effect]:
        """Returns the reads and appends that are due."""
        if stream.started_at is None:
            stream.started_at = now
            stream.next_read_at = now + stream.backoff.next_delay()
        if stream.outstanding_read is not None and now >= stream.outstanding_read.expires_at:
            self.on_failure(stream, now)
        effects = self._read_if_due(stream, now)
        effects += self._write_snapshot_if_due(stream, now)
        return effects

    def _read_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if stream.outstanding_read is not None or now < stream.next_read_at:
            return []
        if self._is_reader(stream):
            return self._read(stream, self._settings.poll_wait_s, now)
        if self._is_backup_reader(stream):
            stream.next_read_at = now + self._settings.backup_interval_s
            return self._read(stream, 0.0, now)
        return self._read_as_fallback_if_due(stream, now)

    def _read_as_fallback_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if not self._has_waited_for_peers(stream, now):
            stream.fallback_read_at = None
            return []
        if stream.fallback_read_at is None:
            stream.fallback_read_at = now + self._get_fallback_delay(stream)
        if now < stream.fallback_read_at:
            return []
        stream.fallback_read_at = now + self._get_fallback_delay(stream)
        return self._read(stream, 0.0, now)

    def _is_reader(self, stream: Stream) -> bool:
        return stream.topology.reader_rank < self._settings.readers_per_zone

    def _is_backup_reader(self, stream: Stream) -> bool:
        is_next = stream.topology.reader_rank == self._settings.readers_per_zone
        return is_next and stream.topology.zone_count == 1

    def _has_waited_for_peers(self, stream: Stream, now: float) -> bool:
        since = stream.lagging_since if stream.is_synced else stream.started_at
        return since is not None and now - since >= self._settings.lag_limit_s

    def _get_fallback_delay(self, stream: Stream) -> float:
        fleet_interval_s = stream.topology.member_count / self._settings.fleet_reads_per_s
        return self._random.uniform(0.0, max(2.0 * fleet_interval_s, self._settings.log_backoff_s))

    def _read(self, stream: Stream, wait_s: float, now: float) -> list[Effect]:
        position = offset = stream.replica.head.next_offset
        if stream.must_verify_log:
            # Rereads the last folded record to verify that the log still holds the same stream.
            offset = max(0, position - 1)
            wait_s = 0.0
        if stream.reset_detected_at is not None:
            position = offset = stream.reset_search_offset
            wait_s = min(wait_s, _GENERATION_POLL_S)
        stream.outstanding_read = OutstandingRead(
            position, now + wait_s + self._settings.poll_grace_s
        )
        self._counters.log_reads += 1
        return [ReadLog(name_stream(stream.customer), offset, wait_s)]

    def _fold_page(self, stream: Stream, page: LogPage, now: float) -> None:
        replica = stream.replica
        if page.first_offset > replica.head.next_offset:
            self._counters.gaps_seen += 1
            replica.skip_to(page.first_offset)
        for log_record in page.records:
            record = StreamRecord(log_record.offset, log_record.payload, log_record.appended_at_ms)
            if record.offset >= replica.head.next_offset:
                self.fold(stream, record, now)
            else:
                replica.on_record(record)
            if replica.needs_new_generation and stream.reset_detected_at is None:
                return
        if replica.head.next_offset >= page.end_offset and not replica.needs_snapshot:
            stream.is_synced = True

    def _on_short_page(self, stream: Stream, page: LogPage, now: float) -> None:
        stream.must_verify_log = True
        stream.short_page_count += 1
        stream.next_read_at = now + _RESET_RECHECK_S
        if stream.short_page_count >= _SHORT_PAGES_BEFORE_RESET:
            self._begin_reset(stream, page, now)

    def _begin_reset(self, stream: Stream, page: LogPage, now: float) -> None:
        self._counters.resets_seen += 1
        stream.short_page_count = 0
        stream.reset_detected_at = now
        stream.reset_search_offset = 0
        stream.outstanding_request = None
        stream.buffered_records.clear()
        stream.replica.begin_generation(page.end_offset)

    def _search_new_generation(self, stream: Stream, page: LogPage, now: float) -> None:
        generation = stream.replica.head.generation
        self._fold_page(stream, page, now)
        if page.records:
            stream.reset_search_offset = page.records[-1].offset + 1
        elif page.end_offset < stream.reset_search_offset:
            stream.reset_search_offset = 0
        if stream.replica.head.generation > generation:
            self.end_reset(stream, now)

    def end_reset(self, stream: Stream, now: float) -> None:
        """Ends the reset after a higher generation was adopted."""
        stream.reset_detected_at = None
        stream.newest_snapshot_at = now
        stream.records_since_snapshot = 0

    def _begin_generation_if_due(self, stream: Stream, now: float) -> list[Effect]:
        assert stream.reset_detected_at is not None
        wait_s = _GENERATION_POLL_S + stream.topology.writer_rank * self._settings.takeover_s
        if now - stream.reset_detected_at < wait_s or now < stream.next_append_at:
            return []
        stream.next_append_at = now + self._settings.takeover_s
        self._counters.generations_begun += 1
        payload = stream.replica.begin_generation(stream.replica.head.next_offset)
        return [AppendLog(name_stream(stream.customer), payload)]

    def _write_snapshot_if_due(self, stream: Stream, now: float) -> list[Effect]:
        if stream.reset_detected_at is not None:
            return self._begin_generation_if_due(stream, now)
        if not self._is_reader(stream) or not stream.can_serve_peers or stream.list_peers_ahead():
            return []
        if stream.replica.head.next_offset == 0 or now < stream.next_append_at:
            return []
        if now < self._get_snapshot_due_at(stream, now):
            return []
        stream.next_append_at = now + self._settings.takeover_s
        self._counters.snapshots_appended += 1
        return [AppendLog(name_stream(stream.customer), stream.replica.encode_snapshot())]

    def _get_snapshot_due_at(self, stream: Stream, now: float) -> float:
        wait_s = stream.topology.writer_rank * self._settings.takeover_s
        assert stream.started_at is not None
        retention_s = self._settings.retention_s
        if stream.newest_snapshot_at is None:
            return stream.started_at + _FIRST_SNAPSHOT_FRACTION * retention_s + wait_s
        if stream.records_since_snapshot >= self._settings.snapshot_records:
            return stream.snapshot_limit_reached_at + wait_s
        return stream.newest_snapshot_at + self._settings.snapshot_fraction * retention_s + wait_s

    def _track_snapshot(self, stream: Stream, record: StreamRecord, now: float) -> None:
        if self._is_snapshot(record.payload):
            stream.newest_snapshot_at = now if stream.is_synced else None
            stream.records_since_snapshot = 0
            return
        stream.records_since_snapshot += 1
        if stream.records_since_snapshot == self._settings.snapshot_records:
            stream.snapshot_limit_reached_at = now
