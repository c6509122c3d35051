"""Log in virtual time that fails on demand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_platform.log import LogPage, LogRecord
from fulmarstile_testing.builders.calls import EPOCH_MS
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fulmarstile_testing.virtual_time import VirtualTime

PAGE_RECORDS: Final = 256
"""Most records in one page."""


@dataclass(slots=True)
class LogFaults:
    """How the log fails."""

    lost_answers: float = 0.0
    """Share of appends that take effect without an answer."""
    refused: float = 0.0
    """Share of appends that fail and certainly have no effect."""
    is_down: bool = False
    """Whether everything fails."""
    latency_s: float = 0.005
    """Mean time of an operation, in seconds."""
    timeout_s: float = 0.5
    """Time after which a lost answer is noticed, in seconds."""
    retention_s: float = 1e9
    """Age at which records expire, in seconds."""


class VirtualLog:
    """Append-only log in virtual time.

    Args:
        time: Virtual time.
        random: Source of randomness.
        faults: How the log fails; may be changed at any time.
    """

    def __init__(self, time: VirtualTime, random: random.Random, faults: LogFaults) -> None:
        self.appends = 0
        """Number of records appended."""
        self._time = time
        self._random = random
        self._faults = faults
        self._streams: dict[str, list[LogRecord]] = {}
        self._readers: list[Callable[[], None]] = []

    def append(
        self,
        stream: str,
        payload: bytes,
        on_done: Callable[[int], None],
        on_failure: Callable[[Verdict], None],
    ) -> None:
        """Appends a record and calls back with its offset or the verdict of the failure."""
        draw = self._random.random()
        delay_s = self._draw_latency()
        if self._faults.is_down or draw < self._faults.refused:
            self._time.call_later(delay_s, lambda: on_failure(Verdict.NOT_RUN))
            return
        if draw < self._faults.refused + self._faults.lost_answers:
            late_s = delay_s + self._random.random() * 2 * self._faults.timeout_s
            self._time.call_later(late_s, lambda: self._store(stream, payload))
            lost = self._faults.timeout_s
            self._time.call_later(lost, lambda: on_failure(Verdict.MAY_HAVE_RUN))
            return
        answer_s = self._draw_latency()
        self._time.call_later(
            delay_s,
            lambda: self._answer(self._store(stream, payload), answer_s, on_done),
        )

    def read(
        self,
        stream: str,
        offset: int,
        wait_s: float,
        on_page: Callable[[LogPage], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Reads a stream and calls back with the page, at the latest after the wait."""
        if self._faults.is_down:
            self._time.call_later(self._draw_latency(), on_failure)
            return
        latency_s = self._draw_latency()
        answered = False

        def answer() -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            if self._faults.is_down:
                self._time.call_later(latency_s, on_failure)
                return
            page = self._make_page(stream, offset)
            self._time.call_later(latency_s, lambda: on_page(page))

        if wait_s <= 0 or len(self._streams.get(stream, ())) != offset:
            answer()
            return
        self._readers.append(answer)
        self._time.call_later(wait_s, answer)

    def lose_everything(self) -> None:
        """Empties the log, so that offsets begin at 0 again."""
        self._streams.clear()
        self._wake()

    def _answer(self, offset: int, delay_s: float, on_done: Callable[[int], None]) -> None:
        self._time.call_later(delay_s, lambda: on_done(offset))

    def _store(self, stream: str, payload: bytes) -> int:
        records = self._streams.setdefault(stream, [])
        offset = len(records)
        appended_at_ms = EPOCH_MS + int(self._time.now * 1000)
        records.append(LogRecord(offset, payload, appended_at_ms))
        self.appends += 1
        self._wake()
        return offset

    def _wake(self) -> None:
        readers, self._readers = self._readers, []
        for answer in readers:
            answer()

    def _make_page(self, stream: str, offset: int) -> LogPage:
        records = self._streams.get(stream, [])
        horizon_ms = EPOCH_MS + int((self._time.now - self._faults.retention_s) * 1000)
        kept = [record.offset for record in records if record.appended_at_ms >= horizon_ms]
        first = kept[0] if kept else len(records)
        start = max(first, offset)
        return LogPage(tuple(records[start : start + PAGE_RECORDS]), first, len(records))

    def _draw_latency(self) -> float:
        return self._random.expovariate(1 / self._faults.latency_s)
