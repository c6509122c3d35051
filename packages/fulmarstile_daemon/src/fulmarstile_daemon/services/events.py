"""Events that the daemon writes to its log."""

from __future__ import annotations

from typing import ClassVar

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """Base class of the events."""

    lines_per_s: ClassVar[int | None] = 200
    """Lines of this kind written in a second, further ones are left out; None for all."""


class CallEnded(LogEvent, tag="call_ended"):
    """A caller got the final answer to its request."""

    request_id: str
    status: int
    route: str
    service: str
    document_version: int
    elapsed_ms: float
    attempts: int
    upstream: str = ""
    daemon_tried: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    refused_by: tuple[str, ...] = ()
    """Daemons that refused it before an upstream saw it, each with its reason."""
    caller: str = ""
    """Service on the VM where the request began."""


class CallServed(CallEnded, tag="call_ended"):
    """A caller got the answer of the first upstream that was asked.

    Has a bound of its own, so that it takes no room from requests that were refused or failed.
    """

    lines_per_s: ClassVar[int | None] = 40


class CallRejected(LogEvent, tag="call_rejected"):
    """A request was answered before a service was chosen for it."""

    request_id: str
    status: int
    reason: str
    host: str
    path: str
    document_version: int


class AttemptFailed(LogEvent, tag="attempt_failed"):
    """An upstream saw a request and gave no good answer; says whether it is sent again."""

    request_id: str
    daemon_tried: str
    verdict: str
    reason: str
    retried: bool
    why: str
    left_ms: float
    running: int = 0
    queued: int = 0
    slots: int = 0


class HedgeStarted(LogEvent, tag="hedge_started"):
    """An answer is late, so the request was sent to a second upstream, too."""

    request_id: str
    daemon_tried: str


class HopEnded(LogEvent, tag="hop_ended"):
    """The daemon beside the upstream did not get a good answer for a request."""

    request_id: str
    verdict: str
    reason: str
    running: int
    queued: int
    slots: int
    waited_ms: float
    left_ms: float


class CallerLeft(LogEvent, tag="caller_left"):
    """A caller or a daemon closed its connection before its answer."""

    request_id: str
    elapsed_ms: float


class RequestCut(LogEvent, tag="request_cut"):
    """The daemon ends before a caller got an answer to its request."""

    lines_per_s: ClassVar[int | None] = None
    request_id: str
    stage: str
    """Who had the request then, see `AttemptStage`."""
    daemon_tried: str
    body_bytes: int
    elapsed_ms: float
    attempt_ms: float
    """Time since the last attempt began."""
    left_ms: float
    """Time until its caller would have needed the answer."""


class HopCut(LogEvent, tag="hop_cut"):
    """The daemon beside the upstream ends before it answered another daemon."""

    lines_per_s: ClassVar[int | None] = None
    request_id: str
    stage: str
    waited_ms: float
    left_ms: float


class Started(LogEvent, tag="started"):
    """The daemon listens."""

    lines_per_s: ClassVar[int | None] = None
    name: str
    availability_zone: str
    service: str
    incarnation: int


class Stopping(LogEvent, tag="stopping"):
    """The daemon was told to stop."""

    lines_per_s: ClassVar[int | None] = None
    in_flight: int


class Stopped(LogEvent, tag="stopped"):
    """The daemon ends."""

    lines_per_s: ClassVar[int | None] = None
    in_flight: int
    """Requests of callers and of other daemons that got no answer."""
    arriving: int = 0
    """Requests of callers that had arrived in part."""


class SettingsReloaded(LogEvent, tag="settings_reloaded"):
    """The settings file was read again."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    error: str = ""


class DocumentApplied(LogEvent, tag="document_applied"):
    """Another version of the operator's document is in force."""

    lines_per_s: ClassVar[int | None] = None
    version: int
    replaced: int
    routes: int
    source: str


class DocumentRejected(LogEvent, tag="document_rejected"):
    """A document was not put in force."""

    reason: str
    source: str


class DependencyLost(LogEvent, tag="dependency_lost"):
    """The store or another daemon cannot be reached."""

    dependency: str
    reason: str


class DependencyRegained(LogEvent, tag="dependency_regained"):
    """The store or another daemon can be reached again."""

    dependency: str
    after_s: float = 0.0


class MemberChanged(LogEvent, tag="member_changed"):
    """Something new is known of a daemon."""

    member: str
    phase: str
    service: str
    upstream: str
    incarnation: int
    revision: int


class UpstreamChanged(LogEvent, tag="upstream_changed"):
    """The upstream on this VM came, left, or cannot be reached."""

    upstream: str
    born_ms: int
    change: str
    slots: int = 0


class RecordIgnored(LogEvent, tag="record_ignored"):
    """A record or an announcement of another writer cannot be used."""

    source: str
    reason: str


class CrashReported(LogEvent, tag="crash_reported"):
    """A request is suspected of having crashed an upstream."""

    fingerprint: str
    upstream: str


class Suspended(LogEvent, tag="suspended"):
    """The VM stood still; idle connections from before are not trusted."""

    for_s: float


class LibraryMessage(LogEvent, tag="message"):
    """A record of one of the standard loggers."""

    level: str
    text: str
