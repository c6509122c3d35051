"""Roll-outs of services' versions: the orders, what is known of each, and the rules they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_daemon.services._known_rollout import KnownRollout, moves_requests, read_order
from fulmarstile_daemon.services._rollout_log import RolloutLog
from fulmarstile_services.rollouts.evidence import EvidenceCounter
from fulmarstile_services.rollouts.model import RolloutOrderError
from fulmarstile_services.rollouts.version_rules import SeenVersions, VersionRules
from fulmarstile_wire.rollouts import RolloutPhase, RolloutReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services._rollout_records import RolloutDecision
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform, ReceivedOrder
    from fulmarstile_platform.keyed_log import KeyedRecord
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.rollouts.model import RolloutOrder
    from fulmarstile_services.settings import RolloutBounds
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement
    from fulmarstile_wire.rollouts import RolloutReport, RolloutState, UpstreamEvidence
    from fulmarstile_wire.services import Member

_MOVED_S: Final = 0.2
"""Time after the promotion from which no daemon sends requests to the baseline, in seconds.

Those of daemons that know the promotion arrive within milliseconds.
"""
_NO_RULES: Final = VersionRules()


class Rollouts:
    """What this daemon knows about the roll-outs of all services.

    Args:
        bounds: Limits of roll-outs; None if the deployment has none.
        platform: Decodes orders.
        directory: Directory of the known daemons.
        documents: Holds the operator's document.
        routes: Active routing table.
        upstream: Upstream on this VM.
        log: Log of the daemon.
        clock: Returns the time in seconds, including suspensions of the VM.
    """

    def __init__(
        self,
        bounds: RolloutBounds | None,
        platform: Platform,
        directory: Directory,
        documents: ActiveDocument,
        routes: ActiveRoutes,
        upstream: LocalUpstream,
        log: EventLog,
        clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self.now = clock
        """Returns the time in seconds, including suspensions of the VM."""
        self.bounds = bounds
        """Limits of roll-outs; None if the deployment has none."""
        self.log = RolloutLog(log)
        """Writes the events of roll-outs."""
        self._platform = platform
        self._directory = directory
        self._documents = documents
        self._routes = routes
        self._upstream = upstream
        self._known: dict[str, KnownRollout] = {}
        self._rules: dict[str, VersionRules] = {}
        self._seen: dict[str, SeenVersions] = {}
        self._decisions: dict[str, RolloutDecision] = {}
        self._unrecorded_ends: dict[str, list[tuple[KnownRollout, RolloutPhase]]] = {}
        """Ends that became known before the decisions, by service, in their order."""
        self.has_decisions = False
        """Whether the decisions in the store were read since the start."""
        self.revision = 0
        """Raised whenever requests may have to go to other upstreams than before."""
        self.on_active: Callable[[KnownRollout], None] = lambda _: None
        """Called with each roll-out that starts, as far as this daemon knows."""
        if bounds is not None:
            upstream.find_version_refusal = self.find_refusal
            documents.on_other_records = self.on_records

    @property
    def known(self) -> tuple[KnownRollout, ...]:
        """The newest roll-out of each service."""
        return tuple(self._known.values())

    def find(self, service: str) -> KnownRollout | None:
        """Returns the newest roll-out of a service, if there is any."""
        return self._known.get(service)

    def is_current(self, rollout: KnownRollout) -> bool:
        """Returns whether no later order has replaced a roll-out."""
        return self._known.get(rollout.order.service) is rollout

    def rules(self, service: str) -> VersionRules:
        """Returns which versions of a service the past roll-outs allow."""
        return self._rules.get(service, _NO_RULES)

    def serves(self, member: Member, now: float) -> bool:
        """Returns whether a member's version may receive requests apart from a running roll-out.

        Args:
            member: Daemon beside an upstream.
            now: Current time in seconds.
        """
        service, version = member.service, member.upstream_version
        if not self.rules(service).allows(version):
            return False
        rollout = self._known.get(service)
        if rollout is not None and rollout.names(version):
            return True
        seen = self._seen.get(service)
        if seen is None:
            return True
        return not seen.is_held(version, now, orders_known=self._documents.was_read)

    def observe_versions(self, service: str, members: Iterable[Member], now: float) -> float:
        """Records which versions of a service serve.

        Args:
            service: Name of the service.
            members: Daemons beside its serving upstreams.
            now: Current time in seconds.

        Returns:
            When the next version that is held will be released, in seconds.
        """
        seen = self._seen.get(service)
        if seen is None:
            seen = self._seen[service] = SeenVersions(self._directory.local_member.incarnation)
        orders_known = self._documents.was_read
        held = seen.observe(members, now, orders_known=orders_known)
        rollout = self._known.get(service)
        for version in held:
            if rollout is None or not rollout.names(version):
                self.log.write_held(service, version)
        return seen.next_release(now, orders_known=orders_known)

    def find_refusal(self, announcement: UpstreamAnnouncement) -> RefusalReason | None:
        """Returns why the upstream on this VM must not run requests.

        Args:
            announcement: Announcement of the upstream.

        Returns:
            The reason; None if it may run them.
        """
        service, version = announcement.service, announcement.version
        rollout = self._known.get(service)
        if rollout is not None and not rollout.is_final:
            if rollout.names(version):
                return None
            if rollout.is_sealed and rollout.is_fresh(self.now()):
                return RefusalReason.VERSION_MOVED
        rules = self._rules.get(service)
        if rules is None or rules.allows(version):
            return None
        if version in rules.excluded:
            return RefusalReason.VERSION_WITHDRAWN
        return RefusalReason.VERSION_MOVED

    def on_records(self, records: Iterable[KeyedRecord]) -> None:
        """Reads the orders among the records of the operator's topic."""
        for record in records:
            received = self._platform.decode_order(record)
            if received is not None:
                self.on_order(received, "store")

    def on_order(self, received: ReceivedOrder, source: str) -> KnownRollout | None:
        """Starts a roll-out, unless a later order is known.

        Args:
            received: The order.
            source: Where it comes from, for the log.

        Returns:
            The roll-out; None if the order is not new.
        """
        order = received.order
        replaced = self._known.get(order.service)
        if replaced is not None and replaced.order.offset >= order.offset:
            return None
        now = self.now()
        rollout = KnownRollout(received, now)
        was_in_force = self._was_in_force(order)
        self.log.write_ordered(order, replaced, source)
        if replaced is not None and replaced.phase in (None, RolloutPhase.CANARY):
            self._end_rules(replaced, RolloutPhase.ROLLED_BACK)
        self._known[order.service] = rollout
        rollout.is_only_version = was_in_force and not self._has_other_version(order, now)
        self._stop_counting(replaced)
        if rollout.problem:
            self.log.write_rejected(order, rollout.problem)
        self.validate(rollout)
        self._apply_order(rollout)
        self.revision += 1
        self._apply_decision(rollout)
        if not rollout.is_settled:
            self.on_active(rollout)
        return rollout

    def validate(self, rollout: KnownRollout) -> None:
        """Checks an order against the operator's document as soon as one is known."""
        table = self._routes.table
        if rollout.is_validated or table is None:
            return
        rollout.is_validated = True
        try:
            rollout.order.validate(table.document.services)
        except RolloutOrderError as error:
            rollout.problem = str(error)
            self.log.write_rejected(rollout.order, rollout.problem)

    def on_decisions(self, decisions: Iterable[RolloutDecision]) -> None:
        """Applies the decisions that the store holds.

        Args:
            decisions: The last decision about each service.
        """
        for decision in decisions:
            self._decisions[decision.service] = decision
            self._set_rules(decision.service, decision.rules)
            self._reapply_later_orders(decision)
            rollout = self._known.get(decision.service)
            if rollout is not None:
                self._apply_decision(rollout)
        self.has_decisions = True
        self._unrecorded_ends.clear()
        self.revision += 1

    def merge(self, rollout: KnownRollout, state: RolloutState) -> None:
        """Merges the state that another daemon has of a service's roll-out.

        Args:
            rollout: The roll-out that this daemon asked about or was told of.
            state: The state, which may be that of a later order.
        """
        order = rollout.order
        if state.service != order.service or state.order_offset < order.offset:
            return
        if state.order_offset > order.offset:
            later = self.on_order(read_order(state), "daemon")
            if later is not None:
                self.merge(later, state)
            return
        self.adopt(rollout, state)

    def adopt(self, rollout: KnownRollout, state: RolloutState) -> None:
        """Applies a state of a roll-out.

        Args:
            rollout: The roll-out.
            state: State from this daemon's evaluator, another daemon or the store.
        """
        was_final, now = rollout.is_final, self.now()
        phase, known = rollout.phase, rollout.state
        if not rollout.merge(state, now) or rollout.state is None:
            return
        self.log.write_changed(rollout.state)
        if known is None or moves_requests(known, rollout.state):
            self.revision += 1
        if rollout.phase is not phase and self.is_current(rollout) and rollout.is_final:
            if was_final:
                # The store has accepted another decision than the one that took effect here.
                self._set_rules(
                    rollout.order.service,
                    self.rules(rollout.order.service).on_order(rollout.order.target_version),
                )
            self._end_rules(rollout, rollout.state.phase)
            self._stop_counting(rollout)
            announcement = self._upstream.announcement
            refusal = self.find_refusal(announcement) if announcement else None
            if refusal is not None:
                self._upstream.refuse_queued(refusal)

    def on_report(self, report: RolloutReport) -> RolloutReply:
        """Handles the report of another daemon.

        Args:
            report: Its evidence and state.

        Returns:
            The state known here; its age tells the other daemon whether it may be acted upon.
        """
        now = self.now()
        rollout = self._known.get(report.service)
        if rollout is None or rollout.order.offset < report.order_offset:
            if report.state is None:
                return RolloutReply()
            rollout = self.on_order(read_order(report.state), "daemon")
        if rollout is None:
            return RolloutReply()
        if rollout.order.offset == report.order_offset:
            self._merge_report(rollout, report, now)
        return RolloutReply(rollout.state)

    def export_evidence(self, rollout: KnownRollout, now: float) -> UpstreamEvidence | None:
        """Returns what the upstream on this VM has run since the order.

        Args:
            rollout: The roll-out.
            now: Current time in seconds.

        Returns:
            The evidence; None if no upstream of the service is on this VM.
        """
        upstream, local_member = self._upstream, self._directory.local_member
        announcement = upstream.announcement
        if announcement is None or announcement.service != rollout.order.service:
            return None
        incarnation = (announcement.upstream_id, announcement.born_ms)
        if rollout.counter is None or rollout.counted_upstream != incarnation:
            rollout.counted_upstream = incarnation
            rollout.counter = EvidenceCounter(
                local_member.name, local_member.incarnation, *incarnation, announcement.version
            )
        upstream.evidence = None if rollout.is_final else rollout.counter
        if announcement.version != rollout.order.target_version:
            rollout.is_sealed = self._should_seal(rollout, now)
        return rollout.counter.export(rollout.age_s(now), upstream.running, upstream.queued)

    def has_target(self, rollout: KnownRollout) -> bool:
        """Returns whether an upstream of the target version serves."""
        members = self._directory.serving(rollout.order.service)
        return any(each.upstream_version == rollout.order.target_version for each in members)

    def make_rules(self, rollout: KnownRollout, phase: RolloutPhase) -> VersionRules:
        """Returns the rules that hold once a roll-out has ended.

        Args:
            rollout: The roll-out.
            phase: Its final phase.
        """
        order = rollout.order
        rules = self.rules(order.service)
        if rollout.problem and self._was_in_force(order):
            return rules
        if rollout.is_only_version and phase is RolloutPhase.ROLLED_BACK:
            # Without it, the service would have no upstream left.
            return rules
        return rules.on_final(order.target_version, phase)

    def _merge_report(self, rollout: KnownRollout, report: RolloutReport, now: float) -> None:
        rollout.observe_age(report.age_ms / 1000, now)
        if not report.seeks_state:
            rollout.on_report(now)
        if report.evidence is not None and self.bounds is not None and not rollout.problem:
            rollout.open_evaluator(self.bounds).on_evidence(report.evidence, now)
        if report.state is not None:
            self.adopt(rollout, report.state)

    def _should_seal(self, rollout: KnownRollout, now: float) -> bool:
        """Decides whether the baseline upstream on this VM gets no further request.

        It stops as soon as the roll-out is completed, so a late request would be cut off.
        """
        if rollout.was_moved_for_s(now) < _MOVED_S or not self.has_target(rollout):
            return False
        return rollout.is_sealed or not (self._upstream.running or self._upstream.queued)

    def _was_in_force(self, order: RolloutOrder) -> bool:
        """Returns whether the version of an order served before it."""
        seen = self._seen.get(order.service)
        if seen is None or not self.rules(order.service).allows(order.target_version):
            return False
        now, orders_known = self.now(), self._documents.was_read
        return not seen.is_held(order.target_version, now, orders_known=orders_known)

    def _has_other_version(self, order: RolloutOrder, now: float) -> bool:
        """Returns whether an upstream of another version serves and may receive requests."""
        return any(
            member.upstream_version != order.target_version and self.serves(member, now)
            for member in self._directory.serving(order.service)
        )

    def _apply_decision(self, rollout: KnownRollout) -> None:
        decision = self._decisions.get(rollout.order.service)
        if decision is None or decision.order_offset != rollout.order.offset:
            return
        state = rollout.make_state(decision.phase, decision.reason, self.now())
        self.adopt(rollout, msgspec.structs.replace(state, is_recorded=True))
        self._set_rules(rollout.order.service, decision.rules)

    def _reapply_later_orders(self, decision: RolloutDecision) -> None:
        """Applies again what is known of the orders after the one that a decision is about.

        They ended while the store could not record that, or were replaced.
        """
        ends = self._unrecorded_ends.pop(decision.service, [])
        for rollout, phase in ends:
            if rollout.order.offset > decision.order_offset:
                self._apply_order(rollout)
                self._end_rules(rollout, phase)
        current = self._known.get(decision.service)
        if current is None or current.is_final:
            return
        if current.order.offset > decision.order_offset:
            self._apply_order(current)

    def _apply_order(self, rollout: KnownRollout) -> None:
        """Lets the version that an order names serve, unless the order cannot be carried out."""
        if not rollout.problem:
            service, target_version = rollout.order.service, rollout.order.target_version
            self._set_rules(service, self.rules(service).on_order(target_version))

    def _end_rules(self, rollout: KnownRollout, phase: RolloutPhase) -> None:
        if not self.has_decisions:
            self._unrecorded_ends.setdefault(rollout.order.service, []).append((rollout, phase))
        self._set_rules(rollout.order.service, self.make_rules(rollout, phase))

    def _stop_counting(self, rollout: KnownRollout | None) -> None:
        if rollout is not None and self._upstream.evidence is rollout.counter:
            self._upstream.evidence = None

    def _set_rules(self, service: str, rules: VersionRules) -> None:
        self._rules[service] = rules
        self.revision += 1
