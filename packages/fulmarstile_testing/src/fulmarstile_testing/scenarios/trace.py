"""Events of a scenario run and the trace that records them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable


class TraceEvent(msgspec.Struct, frozen=True, tag=True, tag_field="event"):
    """Base class of the events."""


class DaemonStarted(TraceEvent, frozen=True):
    """A daemon runs and needs the configuration of some customers."""

    daemon: str
    customers: tuple[str, ...]


class DaemonKilled(TraceEvent, frozen=True):
    """A daemon ended at once, with its connections."""

    daemon: str


class DaemonPaused(TraceEvent, frozen=True):
    """A daemon was paused."""

    daemon: str


class DaemonResumed(TraceEvent, frozen=True):
    """A paused daemon runs again."""

    daemon: str


class StopBegan(TraceEvent, frozen=True):
    """A planned stop of a daemon began."""

    daemon: str


class StopEnded(TraceEvent, frozen=True):
    """A planned stop of a daemon ended."""

    daemon: str


class IsolationChanged(TraceEvent, frozen=True):
    """The set of daemons that have no path to the log, over other daemons either, changed."""

    isolated: tuple[str, ...]


class LogForgot(TraceEvent, frozen=True):
    """The log lost all its records."""


class MemoryLost(TraceEvent, frozen=True):
    """Neither the log nor a daemon holds the configuration of a customer any more."""

    customer: str


class TimePassed(TraceEvent, frozen=True):
    """A second passed; carries a digest of all messages between daemons so far."""

    messages: int
    digest: str


class PublicationDecided(TraceEvent, frozen=True):
    """The reference fold reached a verdict on a publication, in log order."""

    customer: str
    publication_id: str
    accepted: bool
    version: int
    content: str
    """Digest of the document after the verdict."""
    reason: str = ""


class RouteInForce(msgspec.Struct, frozen=True, array_like=True):
    """A route of a table in force, and the pool and service that it refers to."""

    name: str
    pool: str
    service: str


class TableApplied(TraceEvent, frozen=True):
    """A daemon put the configuration of a customer in force."""

    daemon: str
    customer: str
    version: int
    content: str
    """Digest of the document that the table was compiled from."""
    routes: tuple[RouteInForce, ...]
    pools: tuple[str, ...]
    """Pools that the daemon has."""
    services: tuple[str, ...]
    """Services that the daemon has."""


class CallSent(TraceEvent, frozen=True):
    """A caller sent a request to a daemon."""

    call: int
    customer: str
    daemon: str
    """Daemon that the caller is connected to."""
    token: str
    """Content of the request, unique to it unless the caller sends it again."""
    timeout_s: float
    key: str = ""
    """Idempotency key; empty for none."""


class RunStarted(TraceEvent, frozen=True):
    """An upstream got a request."""

    call: int
    daemon: str
    customer: str
    token: str
    key: str = ""
    at_most_once: bool = False
    """Whether the route's requests must run at most once."""


class RunEnded(TraceEvent, frozen=True):
    """An upstream ended a request; `complete` is False if it was cut off."""

    call: int
    daemon: str
    complete: bool


class CallAnswered(TraceEvent, frozen=True):
    """A caller got an upstream's answer."""

    call: int
    token: str
    """Content of the request that the answer is for."""
    complete: bool


class CallRefused(TraceEvent, frozen=True):
    """A caller got a refusal or failure from the mesh."""

    call: int
    verdict: Verdict
    reason: str


class CallCut(TraceEvent, frozen=True):
    """A caller's connection ended without an answer, since its daemon did."""

    call: int
    daemon: str


class UpstreamLeaving(TraceEvent, frozen=True):
    """An upstream announced to its daemon that it leaves, or its daemon began a planned stop."""

    daemon: str


class UpstreamReady(TraceEvent, frozen=True):
    """An upstream announced to its daemon that it takes requests."""

    daemon: str


class UpstreamCrashed(TraceEvent, frozen=True):
    """An upstream ended at once, with its requests."""

    daemon: str


class Trace:
    """Events in order of time; each is passed on to the listeners as it is recorded."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, TraceEvent]] = []
        self._listeners: list[Callable[[float, TraceEvent], None]] = []

    @property
    def entries(self) -> list[tuple[float, TraceEvent]]:
        """Times in seconds and events."""
        return self._entries

    def add_listener(self, listener: Callable[[float, TraceEvent], None]) -> None:
        """Registers a listener for the events recorded from now on.

        Args:
            listener: Called with the time in seconds and the event.
        """
        self._listeners.append(listener)

    def record(self, at: float, event: TraceEvent) -> None:
        """Adds an event.

        Args:
            at: Virtual time in seconds.
            event: What happened.
        """
        self._entries.append((at, event))
        for listener in self._listeners:
            listener(at, event)

    def encode(self, last: int = 0) -> bytes:
        """Encodes the trace, one event a line.

        Args:
            last: Number of events from the end; 0 for all.

        Returns:
            The lines.
        """
        encoder = msgspec.json.Encoder()
        entries = self._entries[-last:]
        return b"\n".join(b"%.6f %s" % (at, encoder.encode(event)) for at, event in entries)
