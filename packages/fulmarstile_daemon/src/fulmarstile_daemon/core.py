"""Decision core of one daemon: combines membership, configuration and claims.

It does no I/O and reads no clock, so that the daemon and the simulated scenarios can share it:
it is given messages, log pages and the time, and returns effects for the I/O shell to execute.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_calls.request import UpstreamEndpoint
from fulmarstile_config import RoutingTable, compile_document
from fulmarstile_mesh import RENDEZVOUS_STREAM, Apply, MembersChanged, decode_rendezvous
from fulmarstile_wire import messages
from fulmarstile_wire.records import MemberStatus, UpstreamStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarstile_calls.claims import ClaimRequester, ShardBatchers
    from fulmarstile_config import CustomerFold
    from fulmarstile_mesh import Effect, Membership, Relay
    from fulmarstile_platform.log import LogPage
    from fulmarstile_wire.messages import AnyMessage
    from fulmarstile_wire.records import MemberRecord
    from fulmarstile_wire.verdict import Verdict

CLAIMS_PREFIX: Final = "claims."
"""Prefix of the names of the streams that hold claims."""

_USABLE_STATUSES: Final = frozenset({MemberStatus.ALIVE, MemberStatus.SUSPECT})


@dataclass(slots=True)
class CoreCounters:
    """Counters of the daemon's decisions since the start."""

    applied_versions: int = 0
    """Times that a configuration version was applied."""
    endpoint_changes: int = 0
    """Changes of the set of usable upstreams."""
    faults: int = 0
    """Events whose handling raised an exception; expected to stay 0."""


class DaemonCore:
    """Dispatches events to the decision cores and applies their results.

    Args:
        membership: Core that tracks the other daemons and their upstreams.
        relay: Core that keeps the configuration streams up to date.
        folds: Folded configuration of each customer that the daemon needs.
        requester: Core that claims idempotency keys for calls received by this daemon.
        batchers: Core that appends claims to the log for other daemons.
    """

    def __init__(
        self,
        membership: Membership,
        relay: Relay,
        folds: Mapping[str, CustomerFold],
        requester: ClaimRequester,
        batchers: ShardBatchers,
    ) -> None:
        self._membership = membership
        self._relay = relay
        self._folds = folds
        self._requester = requester
        self._batchers = batchers
        self._routing_table = RoutingTable()
        self._endpoints: tuple[UpstreamEndpoint, ...] = ()
        self._counters = CoreCounters()
        self._handlers: dict[type, Callable[..., list[Effect]]] = {
            messages.Join: membership.on_join,
            messages.Members: membership.on_members,
            messages.MemberDigest: membership.on_member_digest,
            messages.Probe: membership.on_probe,
            messages.ProbeReply: membership.on_probe_reply,
            messages.IndirectProbe: membership.on_indirect_probe,
            messages.Heads: relay.on_heads,
            messages.RecordRequest: relay.on_record_request,
            messages.RecordBatch: relay.on_record_batch,
            messages.SnapshotRequest: relay.on_snapshot_request,
            messages.SnapshotOffer: relay.on_snapshot_offer,
            messages.ClaimRequest: batchers.on_claim_request,
            messages.OutcomeReport: batchers.on_outcome_report,
            messages.ClaimReply: requester.on_claim_reply,
        }

    @property
    def membership(self) -> Membership:
        """Core that tracks the other daemons and their upstreams."""
        return self._membership

    @property
    def relay(self) -> Relay:
        """Core that keeps the configuration streams up to date."""
        return self._relay

    @property
    def folds(self) -> Mapping[str, CustomerFold]:
        """Folded configuration of each customer."""
        return self._folds

    @property
    def requester(self) -> ClaimRequester:
        """Core that claims idempotency keys."""
        return self._requester

    @property
    def batchers(self) -> ShardBatchers:
        """Core that appends claims for other daemons."""
        return self._batchers

    @property
    def routing_table(self) -> RoutingTable:
        """Active routing table; replaced as a whole."""
        return self._routing_table

    @property
    def endpoints(self) -> tuple[UpstreamEndpoint, ...]:
        """Upstreams that may receive new calls, sorted by daemon; replaced as a whole."""
        return self._endpoints

    @property
    def quarantine(self) -> frozenset[bytes]:
        """Fingerprints of requests refused for crashing upstreams; replaced as a whole."""
        return self._membership.quarantine

    @property
    def claims_due_at(self) -> float | None:
        """Time at which to call `on_claims_due`, in seconds; None if no append is scheduled."""
        return self._batchers.due_at

    @property
    def counters(self) -> CoreCounters:
        """Counters since the start."""
        return self._counters

    def start(self, now: float) -> list[Effect]:
        """Handles the start of the daemon.

        Args:
            now: Time in seconds.

        Returns:
            Effects for the shell.
        """
        return self.apply_local_effects([MembersChanged()], now)

    def on_message(self, message: AnyMessage, now: float) -> list[Effect]:
        """Handles a message from another daemon.

        Args:
            message: Message as received.
            now: Time in seconds.

        Returns:
            Effects for the shell.
        """
        handler = self._handlers[type(message)]
        return self.apply_local_effects(handler(message, now), now)

    def on_tick(self, now: float) -> list[Effect]:
        """Runs the periodic work of all cores; called about every 100 ms."""
        effects = self._membership.on_tick(now)
        effects += self._relay.on_tick(now)
        effects += self._requester.on_tick(now)
        effects += self._batchers.on_tick(now)
        return self.apply_local_effects(effects, now)

    def on_claims_due(self, now: float) -> list[Effect]:
        """Starts the appends of claims that are due between two ticks."""
        return self.apply_local_effects(self._batchers.on_tick(now), now)

    def on_log_page(self, stream: str, page: LogPage, now: float) -> list[Effect]:
        """Handles a page that was read from the log."""
        if stream == RENDEZVOUS_STREAM:
            records = decode_rendezvous(record.payload for record in page.records)
            effects = self._membership.on_rendezvous(records, now, page.end_offset)
        elif stream.startswith(CLAIMS_PREFIX):
            effects = self._batchers.on_log_page(stream, page, now)
        else:
            effects = self._relay.on_log_page(stream, page, now)
        return self.apply_local_effects(effects, now)

    def on_log_failure(self, stream: str, now: float) -> list[Effect]:
        """Handles a read of the log that failed."""
        if stream == RENDEZVOUS_STREAM:
            return []
        if stream.startswith(CLAIMS_PREFIX):
            return self.apply_local_effects(self._batchers.on_log_failure(stream, now), now)
        return self.apply_local_effects(self._relay.on_log_failure(stream, now), now)

    def on_append_done(self, stream: str, offset: int, now: float) -> list[Effect]:
        """Handles an append that succeeded."""
        if stream == RENDEZVOUS_STREAM:
            return []
        if stream.startswith(CLAIMS_PREFIX):
            return self.apply_local_effects(self._batchers.on_append_done(stream, offset, now), now)
        return self.apply_local_effects(self._relay.on_append_done(stream, offset, now), now)

    def on_append_failure(self, stream: str, verdict: Verdict, now: float) -> list[Effect]:
        """Handles an append that failed.

        Args:
            stream: Stream of the append.
            verdict: Whether the append may have taken effect.
            now: Time in seconds.

        Returns:
            Effects for the shell.
        """
        if stream == RENDEZVOUS_STREAM:
            return []
        if stream.startswith(CLAIMS_PREFIX):
            return self.apply_local_effects(
                self._batchers.on_append_failure(stream, verdict, now), now
            )
        return self.apply_local_effects(self._relay.on_append_failure(stream, now), now)

    def announce_upstream(
        self, service: str, status: UpstreamStatus, slots: int, now: float
    ) -> list[Effect]:
        """Announces the state of the local upstream to the mesh."""
        effects = self._membership.announce_upstream(service, status, slots, now)
        return self.apply_local_effects(effects, now)

    def report_crash(self, fingerprints: Iterable[bytes], now: float) -> list[Effect]:
        """Reports the requests that are suspected of crashing the local upstream."""
        effects: list[Effect] = []
        for fingerprint in fingerprints:
            effects += self._membership.report_crash(fingerprint, now)
        return self.apply_local_effects(effects, now)

    def begin_leaving(self, now: float) -> list[Effect]:
        """Announces that this daemon accepts no new calls."""
        return self.apply_local_effects(self._membership.begin_leaving(now), now)

    def leave(self, now: float) -> list[Effect]:
        """Announces that this daemon stops now."""
        return self.apply_local_effects(self._membership.leave(now), now)

    def apply_local_effects(self, effects: Iterable[Effect], now: float) -> list[Effect]:
        """Applies the effects that concern only this daemon.

        Args:
            effects: Effects of any core of this daemon.
            now: Time in seconds.

        Returns:
            The remaining effects, for the shell.
        """
        remaining: list[Effect] = []
        members_changed = False
        pending = list(effects)
        # Applying a version appends further effects to the list during the iteration.
        for effect in pending:
            if isinstance(effect, Apply):
                pending += self._apply_version(effect.customer, now)
            elif isinstance(effect, MembersChanged):
                members_changed = True
            else:
                remaining.append(effect)
        if members_changed:
            remaining += self._on_members_changed(now)
        return remaining

    def _apply_version(self, customer: str, now: float) -> list[Effect]:
        fold = self._folds[customer]
        active_version = self._routing_table.versions.get(customer, 0)
        if fold.version < active_version:
            return []
        compiled = compile_document(customer, fold.document, fold.version)
        self._routing_table = self._routing_table.replace_customer(compiled)
        self._counters.applied_versions += 1
        return self._membership.report_applied(customer, fold.version, fold.head.digest, now)

    def _on_members_changed(self, now: float) -> list[Effect]:
        members = tuple(self._membership.members.values())
        self._update_endpoints()
        self._requester.replace_members(members, now)
        return self._batchers.replace_members(members, now)

    def _update_endpoints(self) -> None:
        members = self._membership.members
        endpoints = []
        for daemon_id, upstream in sorted(self._membership.upstreams.items()):
            member = members.get(daemon_id)
            if member is None or member.status not in _USABLE_STATUSES:
                continue
            if upstream.status is UpstreamStatus.READY:
                endpoints.append(self._make_endpoint(member, upstream.service, upstream.slots))
        if tuple(endpoints) != self._endpoints:
            self._endpoints = tuple(endpoints)
            self._counters.endpoint_changes += 1

    def _make_endpoint(self, member: MemberRecord, service: str, slots: int) -> UpstreamEndpoint:
        return UpstreamEndpoint(
            daemon_id=member.daemon_id,
            calls_address=member.calls_address,
            service=service,
            availability_zone=member.availability_zone,
            region=member.region,
            slots=slots,
            is_local=member.daemon_id == self._membership.record.daemon_id,
        )
