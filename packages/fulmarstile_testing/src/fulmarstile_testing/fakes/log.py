"""Fake of the platform's log in virtual time, with the failure switches of the log stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_platform.log import DEFAULT_READ_LIMIT, LogPage, LogRecord
from fulmarstile_testing.log_store import LogCounts, LogStore, LogSwitches
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_testing.fakes.clock import VirtualClock

LATENCY_S: Final = 0.002
"""Time from a request to its answer when the log is healthy, in seconds."""

TIMEOUT_S: Final = 5.0
"""Time after which a client gives up on a request, on top of its long poll, in seconds."""

_MS_PER_S: Final = 1000


@dataclass(slots=True, eq=False)
class _WaitingRead:
    """A read that waits for a record."""

    stream: str
    offset: int
    limit: int
    on_page: Callable[[LogPage], None]
    on_failure: Callable[[], None]
    is_done: bool = False
    is_silent: bool = False
    """Whether its connection carries nothing any more, without an end."""


class FakeLog:
    """Answers reads and appends through callbacks.

    Args:
        clock: Virtual time.
        epoch_s: Time of the log's clock at virtual time 0, in seconds since the epoch.
    """

    def __init__(self, clock: VirtualClock, epoch_s: float = 1_700_000_000.0) -> None:
        self._clock = clock
        self._epoch_s = epoch_s
        self._store = LogStore(LogSwitches())
        self._waiting: list[_WaitingRead] = []
        self.on_append: Callable[[str, LogRecord], None] = lambda stream, record: None
        """Called for each append that took effect, including those whose answer is lost."""

    @property
    def switches(self) -> LogSwitches:
        """Failures that the log simulates; set `outage` with `begin_outage`."""
        return self._store.switches

    @property
    def is_down(self) -> bool:
        """Whether no request can succeed."""
        return self.switches.outage or self.switches.delay_ms >= TIMEOUT_S * _MS_PER_S

    @property
    def counts(self) -> LogCounts:
        """Counts of the log's requests."""
        return self._store.counts

    @property
    def _log_time(self) -> float:
        return self._epoch_s + self._clock.now

    def append(
        self,
        stream: str,
        payload: bytes,
        on_done: Callable[[int], None],
        on_failure: Callable[[Verdict], None],
    ) -> None:
        """Appends a record.

        Args:
            stream: Name of the stream.
            payload: Bytes of the record.
            on_done: Called with the record's offset.
            on_failure: Called with a verdict that says whether the append may have taken effect.
        """
        delay_s = self.switches.delay_ms / _MS_PER_S
        self._clock.call_later(
            LATENCY_S + delay_s,
            lambda: self._finish_append(stream, payload, delay_s, on_done, on_failure),
        )

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
        on_page: Callable[[LogPage], None],
        on_failure: Callable[[], None],
        limit: int = DEFAULT_READ_LIMIT,
    ) -> None:
        """Reads records starting at an offset.

        Args:
            stream: Name of the stream.
            offset: First offset wanted.
            wait_s: Longest time to wait for the first record, in seconds.
            on_page: Called with the page.
            on_failure: Called if the log cannot be read.
            limit: Largest number of records to return.
        """
        read = _WaitingRead(stream, offset, limit, on_page, on_failure)
        delay_s = self.switches.delay_ms / _MS_PER_S
        if delay_s >= TIMEOUT_S:
            self._clock.call_later(TIMEOUT_S, on_failure)
            return
        self._clock.call_later(LATENCY_S + delay_s, lambda: self._begin_read(read, wait_s))

    def begin_outage(self) -> None:
        """Fails waiting reads, and every request until `end_outage`."""
        self.switches.outage = True
        waiting, self._waiting = self._waiting, []
        for read in waiting:
            read.is_done = True
            read.on_failure()

    def end_outage(self) -> None:
        """Ends the outage; requests are answered again."""
        self.switches.outage = False

    def silence_open(self) -> None:
        """Lets the reads that wait now time out without an answer; later ones are answered."""
        waiting, self._waiting = self._waiting, []
        for read in waiting:
            read.is_silent = True

    def forget(self) -> None:
        """Drops all streams; offsets start at 0 again."""
        self._store.forget()
        self._wake_readers()

    def read_now(self, stream: str, offset: int) -> LogPage:
        """Reads for the test itself, without delay or failure.

        Args:
            stream: Name of the stream.
            offset: First offset wanted.

        Returns:
            The page.
        """
        return self._store.read(stream, offset, DEFAULT_READ_LIMIT, self._log_time)

    def _finish_append(
        self,
        stream: str,
        payload: bytes,
        delay_s: float,
        on_done: Callable[[int], None],
        on_failure: Callable[[Verdict], None],
    ) -> None:
        if self.switches.outage:
            on_failure(Verdict.NOT_RUN)
            return
        offset = self._store.append(stream, payload, self._log_time)
        if offset is None:
            on_failure(Verdict.NOT_RUN)
            return
        self.on_append(stream, LogRecord(offset, payload, round(self._log_time * _MS_PER_S)))
        self._wake_readers()
        if delay_s >= TIMEOUT_S:
            on_failure(Verdict.MAY_HAVE_RUN)
        elif self.switches.lose_next_answers > 0:
            self.switches.lose_next_answers -= 1
            self._clock.call_later(TIMEOUT_S, lambda: on_failure(Verdict.MAY_HAVE_RUN))
        else:
            on_done(offset)

    def _begin_read(self, read: _WaitingRead, wait_s: float) -> None:
        if self.switches.outage:
            read.on_failure()
            return
        self._store.count_read(read.stream)
        if self._try_answer(read):
            return
        if wait_s <= 0:
            self._end_read(read)
            return
        self._waiting.append(read)
        self._clock.call_later(wait_s, lambda: self._end_read(read))

    def _try_answer(self, read: _WaitingRead) -> bool:
        page = self._read_page(read)
        if not page.records and page.end_offset >= read.offset:
            return False
        read.is_done = True
        read.on_page(page)
        return True

    def _end_read(self, read: _WaitingRead) -> None:
        if read.is_done:
            return
        read.is_done = True
        if read.is_silent:
            self._clock.call_later(TIMEOUT_S, read.on_failure)
            return
        if read in self._waiting:
            self._waiting.remove(read)
        read.on_page(self._read_page(read))

    def _wake_readers(self) -> None:
        waiting, self._waiting = self._waiting, []
        for read in waiting:
            if not self._try_answer(read):
                self._waiting.append(read)

    def _read_page(self, read: _WaitingRead) -> LogPage:
        return self._store.read(read.stream, read.offset, read.limit, self._log_time)
