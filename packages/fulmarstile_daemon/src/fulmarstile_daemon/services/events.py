"""Events that the daemon writes to its log."""

from __future__ import annotations

from typing import ClassVar

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, tag_field="event", omit_defaults=True):
    """Base class of the events."""

    lines_per_s: ClassVar[int | None] = 200
    """Maximum number of lines of this type per second, None for no limit; the rest are dropped."""


class RequestEvent(LogEvent):
    """Base class of the events about one request; what decides its route comes first."""

    request_id: str
    document_version: int
    """Version by which it was handled; -1 if none was known."""
    document_active_s: float | None
    """Time since this version, or a newer one, became active here, in seconds."""
    document_silent_s: float | None
    """Time since the last contact with the store, direct or through others; None if none."""


class CallEnded(RequestEvent, tag="call_ended"):
    """A request was answered to its caller."""

    status: int
    route: str
    service: str
    elapsed_ms: float
    attempts: int
    upstream: str = ""
    daemon_tried: str = ""
    reason: str = ""
    retry_after_s: float = 0.0
    refused_by: tuple[str, ...] = ()
    """Daemons that refused it before it reached an upstream, as `daemon:reason`."""
    caller: str = ""
    """Service that made the request."""
    customer: str = ""
    """Customer whose key the request presented."""


class CallServed(CallEnded, tag="call_ended"):
    """A request was answered successfully by the first attempt.

    It has its own count, so that it does not displace requests that were refused or failed.
    """

    lines_per_s: ClassVar[int | None] = 100


class CallRejected(RequestEvent, tag="call_rejected"):
    """A request was rejected before a service was selected."""

    status: int
    reason: str
    host: str
    path: str
    document_offset: int | None = None
    """Offset up to which the operator's topic is known; None if nothing is."""
    document_age_s: float | None = None
    """Time since the version was known to be the newest, if the document names customers."""


class RequestUnreadable(LogEvent, tag="request_unreadable"):
    """A request was rejected while it was read: malformed, too large, too slow or out of memory."""

    lines_per_s: ClassVar[int | None] = 40

    status: int
    reason: str


class AttemptFailed(RequestEvent, tag="attempt_failed"):
    """An attempt reached an upstream and failed; `retried` says whether another one follows."""

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
    """A response is late, so the request is also sent to a second upstream."""

    request_id: str
    daemon_tried: str


class HopEnded(LogEvent, tag="hop_ended"):
    """A forwarded request failed or was refused at the daemon on the upstream's VM."""

    request_id: str
    verdict: str
    reason: str
    running: int
    queued: int
    slots: int
    waited_ms: float
    left_ms: float


class CallerLeft(LogEvent, tag="caller_left"):
    """A caller closed its connection before the response."""

    request_id: str
    elapsed_ms: float


class RequestCut(LogEvent, tag="request_cut"):
    """The daemon terminates before a request of a caller is answered."""

    lines_per_s: ClassVar[int | None] = None
    request_id: str
    stage: str
    """Stage of the last attempt, see `AttemptStage`."""
    daemon_tried: str
    body_bytes: int
    elapsed_ms: float
    attempt_ms: float
    """Time since the start of the last attempt."""
    left_ms: float
    """Time left until the deadline of the caller."""


class HopCut(LogEvent, tag="hop_cut"):
    """The daemon on the upstream's VM terminates before a forwarded request is answered."""

    lines_per_s: ClassVar[int | None] = None
    request_id: str
    stage: str
    waited_ms: float
    left_ms: float


class Started(LogEvent, tag="started"):
    """The daemon has started and is listening."""

    lines_per_s: ClassVar[int | None] = None
    name: str
    availability_zone: str
    service: str
    incarnation: int


class Stopping(LogEvent, tag="stopping"):
    """The daemon starts its shutdown."""

    lines_per_s: ClassVar[int | None] = None
    in_flight: int
    late_ms: float = 0.0
    """Time since the earliest time of SIGTERM, in milliseconds."""
    uncertain_ms: float = 0.0
    """Time by which SIGTERM may have been sent later, in milliseconds."""


class StopPhase(LogEvent, tag="stop_phase"):
    """The daemon enters a phase of its shutdown."""

    lines_per_s: ClassVar[int | None] = None
    phase: str
    elapsed_ms: float
    """Time since the earliest time of SIGTERM, in milliseconds."""
    uncertain_ms: float
    """Time by which SIGTERM may have been sent later, in milliseconds."""
    in_flight: int
    """Requests of callers without an answer."""
    arriving: int
    """Requests of callers that have been received in part."""
    connections: int
    """Open connections of callers."""
    hops: int
    """Requests of other daemons without an answer, and bodies granted to them."""
    longest_late_ms: float
    """Largest lateness of the event loop since the start, in milliseconds."""
    has_unsent: bool = False
    """Whether messages to other daemons have not arrived there."""


class Ended(LogEvent, tag="ended"):
    """The event loop has ended, and the process is about to."""

    lines_per_s: ClassVar[int | None] = None
    elapsed_ms: float
    """Time since SIGTERM, in milliseconds."""


class Stopped(LogEvent, tag="stopped"):
    """The daemon terminates."""

    lines_per_s: ClassVar[int | None] = None
    in_flight: int
    """Requests of callers and of other daemons that were not answered."""
    arriving: int = 0
    """Requests of callers that had been received in part."""
    unread: int = 0
    """Connections of callers with input that was not read."""


class SettingsReloaded(LogEvent, tag="settings_reloaded"):
    """The settings file was read again."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    error: str = ""


class DependencyLost(LogEvent, tag="dependency_lost"):
    """The store or another daemon cannot be reached."""

    dependency: str
    reason: str


class DependencyRegained(LogEvent, tag="dependency_regained"):
    """The store or another daemon can be reached again."""

    dependency: str
    after_s: float = 0.0


class MemberChanged(LogEvent, tag="member_changed"):
    """The record of a daemon has changed."""

    member: str
    phase: str
    service: str
    upstream: str
    incarnation: int
    revision: int


class DepartureLearned(LogEvent, tag="departure_learned"):
    """An upstream is now known to have left, with all of its incarnations born until then."""

    member: str
    upstream: str
    born_ms: int


class UpstreamChanged(LogEvent, tag="upstream_changed"):
    """The upstream on this VM was announced, changed, is leaving or cannot be reached."""

    upstream: str
    born_ms: int
    change: str
    slots: int = 0


class NoticeLearned(LogEvent, tag="notice_learned"):
    """More is known about what an upstream says of itself in its responses."""

    upstream: str
    born_ms: int
    rate_limit: float
    """Requests per second that it accepts from all daemons together; 0 for no limit."""
    leaves: bool
    dated_ms: int
    """Time at which the daemon beside it read this, in milliseconds since the epoch."""
    source: str
    """`response` of the upstream on this VM, `request` of another daemon, or the daemon asked."""


class ZoneShareChanged(LogEvent, tag="zone_share_changed"):
    """Another part of a service's requests goes to another availability zone."""

    service: str
    availability_zone: str
    share: float
    local_load: float
    """Requests running and queued per slot in the daemon's own zone."""
    load: float
    """The same in the other zone."""


class RolloutOrdered(LogEvent, tag="rollout_ordered"):
    """The operator's order for a roll-out was read."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    order_offset: int
    target_version: str
    duration_s: float
    replaced_offset: int | None = None
    """Offset of the order that this one replaces."""
    source: str = "store"


class RolloutRejected(LogEvent, tag="rollout_rejected"):
    """The operator's order cannot be carried out."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    order_offset: int
    reason: str


class RolloutChanged(LogEvent, tag="rollout_changed"):
    """The state of a roll-out has changed as this daemon knows it."""

    service: str
    order_offset: int
    target_version: str
    age_s: float
    phase: str
    share: float = 0.0
    canaries: tuple[str, ...] = ()
    promote_at_s: float = 0.0
    reason: str = ""
    recorded: bool = False


class RolloutLease(LogEvent, tag="rollout_lease"):
    """The state of a roll-out has become too old to act upon, or is fresh again."""

    service: str
    order_offset: int
    fresh: bool


class RolloutDecided(LogEvent, tag="rollout_decided"):
    """This daemon has decided about a roll-out, or found the decision of another one."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    order_offset: int
    target_version: str
    phase: str
    reason: str
    decided_by: str
    requests: float = 0.0
    exposed: float = 0.0
    bad: float = 0.0
    baseline_requests: float = 0.0
    baseline_bad: float = 0.0
    evidence: float = 0.0


class RolloutStatusWritten(LogEvent, tag="rollout_status_written"):
    """The status of a roll-out was written for the operator."""

    lines_per_s: ClassVar[int | None] = None
    service: str
    order_offset: int
    phase: str


class VersionHeld(LogEvent, tag="version_held"):
    """A version that no order names receives no requests for a while."""

    service: str
    version: str
    for_s: float


class RecordIgnored(LogEvent, tag="record_ignored"):
    """A record or an announcement is outdated or invalid."""

    source: str
    reason: str


class CrashReported(LogEvent, tag="crash_reported"):
    """A request is suspected of having crashed an upstream."""

    fingerprint: str
    upstream: str


class QuotaOwnership(LogEvent, tag="quota_ownership"):
    """This daemon owns a shard of the customers' quotas, or no longer does."""

    lines_per_s: ClassVar[int | None] = None
    shard: int
    epoch: int
    owned: bool


class QuotaDeductions(LogEvent, tag="quota_deductions"):
    """The owner of a shard deducts another part of the customers' rates than before."""

    shard: int
    epoch: int
    rate: float
    """Sum of the customers' rates, in requests per second."""
    unknown: float
    """Deduction for shares of an earlier owner that no daemon has reported."""
    silent: float
    """Deduction for shares of daemons that are not heard from."""
    daemons: int
    """Daemons that hold tokens or shares."""


class Suspended(LogEvent, tag="suspended"):
    """The VM was suspended; idle connections are closed because they may be dead."""

    for_s: float


class LoopLate(LogEvent, tag="loop_late"):
    """The event loop ran its tasks late, so that requests waited unread."""

    late_ms: float
    processor_ms: float
    """Processor time that the loop has used since the wait began that ended late."""


class LibraryMessage(LogEvent, tag="message"):
    """A record of one of the standard loggers."""

    level: str
    text: str
