"""Trace of one request, collected from the logs of the daemons that handled it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

_CUT_EVENT: Final = "request_cut"
_FINAL_EVENTS: Final = ("call_ended", "call_rejected", _CUT_EVENT)
_OMITTED_EVENT: Final = "lines_left_out"
_RECORD_START: Final = '{"time":'
_UNPRINTED_FIELDS: Final = frozenset({"time", "daemon", "event", "request_id"})


@dataclass(frozen=True, slots=True)
class TraceLine:
    """One log line about the request."""

    time_s: float
    """Wall-clock time of the daemon, in seconds since the epoch."""
    daemon: str
    event: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Formats this log line as readable text for operators."""
        pairs = (
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _UNPRINTED_FIELDS
        )
        return f"{self.time_s:.4f} {self.daemon}: {self.event} {' '.join(pairs)}"


@dataclass(slots=True)
class RequestTrace:
    """Log lines about one request."""

    request_id: str
    lines: list[TraceLine] = field(default_factory=list)
    malformed_lines: int = 0
    """Number of lines that could not be parsed."""
    omitted: dict[str, int] = field(default_factory=dict)
    """Number of lines that daemons omitted, by kind; some may have been about the request."""

    def read(self, lines: Iterable[str]) -> None:
        """Reads the lines of a log; text before the JSON object of a line is ignored."""
        for line in lines:
            start = line.find(_RECORD_START)
            if start < 0:
                continue
            try:
                record = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                self.malformed_lines += 1
                continue
            self._add(record)

    def sort(self) -> None:
        """Sorts the lines by the daemons' clocks."""
        self.lines.sort(key=lambda line: line.time_s)

    def decisive_line(self) -> TraceLine | None:
        """Returns the line that explains the outcome of the request."""
        for event in ("attempt_failed", "hop_ended", *_FINAL_EVENTS):
            matching = [line for line in self.lines if line.event == event]
            if matching and (event in _FINAL_EVENTS or self._has_failed()):
                return matching[-1]
        return self.lines[-1] if self.lines else None

    def verdict(self) -> str:
        """Describes the outcome of the request in one sentence."""
        final_line = self._final_line()
        if final_line is None:
            return "no daemon logged an answer; the line may be omitted, or the caller disconnected"
        if final_line.event == _CUT_EVENT:
            return f"cut off without an answer when its daemon ended: {final_line.fields['stage']}"
        status = final_line.fields.get("status", 0)
        reason = final_line.fields.get("reason", "")
        if status < 400:
            return f"answered with {status} by {final_line.fields.get('upstream', '?')}"
        if not reason:
            return (
                f"failed with {status}, returned by {final_line.fields.get('upstream', '?')} itself"
            )
        if final_line.event == "call_rejected":
            version = final_line.fields.get("document_version", "?")
            return f"rejected with {status} under version {version}: {reason}"
        if status in (429, 503):
            return f"refused with {status}, not run: {reason}"
        return f"failed with {status}: {reason}; it may have run"

    def _add(self, record: dict[str, Any]) -> None:
        event = str(record.get("event", ""))
        if event == _OMITTED_EVENT:
            kind = str(record.get("kind", "?"))
            self.omitted[kind] = self.omitted.get(kind, 0) + int(record.get("count", 0))
        if record.get("request_id") == self.request_id:
            daemon = str(record.get("daemon", "?"))
            self.lines.append(TraceLine(float(record["time"]), daemon, event, record))

    def _final_line(self) -> TraceLine | None:
        final_lines = [line for line in self.lines if line.event in _FINAL_EVENTS]
        return final_lines[-1] if final_lines else None

    def _has_failed(self) -> bool:
        final_line = self._final_line()
        return final_line is None or final_line.fields.get("status", 0) >= 400
