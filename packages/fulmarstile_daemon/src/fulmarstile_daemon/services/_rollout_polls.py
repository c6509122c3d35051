"""Exchanges between daemons during a roll-out: reports, states, and the evaluation of both."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.background_tasks import keep_running, run_and_log
from fulmarstile_daemon.services._evaluator_ranking import rank_evaluators
from fulmarstile_daemon.services._known_rollout import REJECTED_PREFIX
from fulmarstile_daemon.services._links import DaemonUnreachableError
from fulmarstile_daemon.services._relay_choice import RelayChoice
from fulmarstile_wire.rollouts import RolloutPhase, RolloutReply, RolloutReport
from fulmarstile_wire.services import MemberPhase

if TYPE_CHECKING:
    import random

    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._rollout_recorder import RolloutRecorder
    from fulmarstile_daemon.services._service_pools import ServicePools
    from fulmarstile_daemon.services.rollouts import Rollouts
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.rollouts import RolloutState, UpstreamEvidence
    from fulmarstile_wire.services import Member

_LOGGER: Final = logging.getLogger(__name__)

_POLL_INTERVAL_S: Final = 0.25
_HANDOVER_INTERVAL_S: Final = 0.1
"""Poll interval of the evaluators and of the service's daemons at the hand-over, in seconds."""
_HANDOVER_S: Final = 1.0
"""Time around the deadline in which a promoted roll-out is polled at this interval, in seconds."""
_NO_REPORTS_REASON: Final = "no-evidence"
"""Reason of an evaluator's roll-back if too few daemons report to it."""
_HESITATION_S: Final = 0.5
"""Time after the deadline from which such a roll-back is recorded, in seconds."""
_QUERY_TIMEOUT_S: Final = 0.3
_DISTRUST_S: Final = 2.0
"""Time for which an evaluator that didn't reply is passed over, in seconds."""


class RolloutPolls:
    """Polls the evaluators of each running roll-out, or evaluates it.

    Args:
        rollouts: What this daemon knows about roll-outs.
        directory: Directory of the known daemons.
        balancer: Knows which daemons are reachable.
        pools: Lists the upstreams of a service for the evaluation.
        recorder: Records decisions in the store.
        links: Connections to other daemons.
        random: Source of randomness.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        directory: Directory,
        balancer: LeastWaitBalancer,
        pools: ServicePools,
        recorder: RolloutRecorder,
        links: DaemonLinks,
        random: random.Random,
    ) -> None:
        self._rollouts = rollouts
        self._directory = directory
        self._balancer = balancer
        self._pools = pools
        self._recorder = recorder
        self._links = links
        self._random = random
        self._relays = RelayChoice(rollouts.now)
        self._distrusted_until: dict[str, float] = {}

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Follows each roll-out from its start until it has ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._rollouts.on_active = partial(nursery.start_soon, self._follow)
            task_status.started()
            await trio.sleep_forever()

    def list_evaluators(self, rollout: KnownRollout) -> list[Member]:
        """Returns the evaluators of a roll-out as this daemon sees them, the first one first."""
        return rank_evaluators(rollout.order, self._directory.members, self._is_trusted)

    async def _follow(self, rollout: KnownRollout) -> None:
        await keep_running(self._poll_until_settled, rollout)
        await run_and_log(self._ensure_status, rollout)

    async def _poll_until_settled(self, rollout: KnownRollout) -> None:
        while self._rollouts.is_current(rollout) and not rollout.is_settled:
            started_at = trio.current_time()
            takes_part = False
            try:
                takes_part = await self._poll_once(rollout)
            except Exception:
                # Without polls the lease ends, so this daemon falls back to the baseline.
                _LOGGER.exception("following the roll-out of %s failed", rollout.order.service)
            interval_s = _POLL_INTERVAL_S
            if takes_part and _is_handing_over(rollout, self._rollouts.now()):
                interval_s = _HANDOVER_INTERVAL_S
            await trio.sleep_until(started_at + interval_s * self._random.uniform(0.9, 1.1))

    async def _ensure_status(self, rollout: KnownRollout) -> None:
        """Lets the status of a roll-out that has ended be written, as one of its evaluators."""
        evaluators = self.list_evaluators(rollout)
        if self._rollouts.is_current(rollout) and self._is_evaluator(rollout, evaluators):
            self._recorder.ensure_status(rollout)

    def _is_evaluator(self, rollout: KnownRollout, evaluators: list[Member]) -> bool:
        local_name = self._directory.local_member.name
        is_ranked = any(each.name == local_name for each in evaluators)
        return is_ranked or rollout.was_reported_to(self._rollouts.now())

    async def _poll_once(self, rollout: KnownRollout) -> bool:
        """Polls; returns whether this daemon evaluates the roll-out or has evidence."""
        now = self._rollouts.now()
        self._rollouts.validate(rollout)
        evidence = self._rollouts.export_evidence(rollout, now)
        evaluators = self.list_evaluators(rollout)
        local_name = self._directory.local_member.name
        others = [member for member in evaluators if member.name != local_name]
        is_evaluator = self._is_evaluator(rollout, evaluators)
        if is_evaluator:
            await self._evaluate(rollout, others, evidence)
        else:
            await self._ask(rollout, others, evidence)
        self._rollouts.log.write_lease(rollout, self._rollouts.now())
        return is_evaluator or evidence is not None

    async def _ask(
        self, rollout: KnownRollout, evaluators: list[Member], evidence: UpstreamEvidence | None
    ) -> None:
        """Reports to the evaluators; without evidence, only asks for the state."""
        if evidence is not None:
            await self._query_all(rollout, evaluators, evidence)
            return
        relay = self._relays.find(rollout.order, self._directory, self._is_trusted)
        for member in evaluators if relay is None else [relay, *evaluators]:
            await self._query(rollout, member, None)
            if rollout.is_settled or rollout.is_fresh(self._rollouts.now()):
                return

    async def _evaluate(
        self, rollout: KnownRollout, others: list[Member], evidence: UpstreamEvidence | None
    ) -> None:
        """Exchanges states with the other evaluators, then evaluates."""
        bounds = self._rollouts.bounds
        if bounds is None:
            return
        has_replies = await self._query_all(rollout, others, evidence)
        now = self._rollouts.now()
        if not (has_replies or rollout.was_reported_to(now) or self._is_alone()):
            # Cut off from all others, this daemon sees too little to decide.
            return
        if rollout.state is None and not self._rollouts.has_decisions:
            return
        if rollout.problem:
            reason = REJECTED_PREFIX + rollout.problem
            proposal = rollout.make_state(RolloutPhase.ROLLED_BACK, reason, now)
        else:
            evaluator = rollout.open_evaluator(bounds)
            if evidence is not None:
                evaluator.on_evidence(evidence, now)
            proposal = evaluator.evaluate(self._pools.make_pool(rollout, now), now)
        if not self._rollouts.is_current(rollout) or rollout.is_settled:
            return
        self._apply(rollout, proposal)

    def _apply(self, rollout: KnownRollout, proposal: RolloutState) -> None:
        """Applies the result of an evaluation; a completion waits for the store."""
        is_new = rollout.state is None
        is_decision = proposal.phase.is_final and not proposal.is_recorded
        rollout.proposal = proposal if is_decision else None
        if proposal.phase is not RolloutPhase.COMPLETED or proposal.is_recorded:
            self._rollouts.adopt(rollout, proposal)
        elif rollout.state is not None:
            # The promotion goes on until the completion is recorded, so its state stays fresh.
            state = msgspec.structs.replace(rollout.state, age_ms=proposal.age_ms)
            self._rollouts.adopt(rollout, state)
        if rollout.proposal is not None:
            if not self._should_leave_to_others(rollout, proposal):
                self._recorder.record(rollout)
        elif not rollout.is_final:
            evaluators = [member.name for member in self.list_evaluators(rollout)]
            local_name = self._directory.local_member.name
            rank = evaluators.index(local_name) if local_name in evaluators else len(evaluators)
            self._recorder.report_start(rollout, rank, is_new=is_new)

    def _should_leave_to_others(self, rollout: KnownRollout, proposal: RolloutState) -> bool:
        """Returns whether a roll-back for lack of reports should not be recorded yet.

        Beyond a partition, other evaluators may have the reports, and the first record stands.
        """
        if proposal.reason != _NO_REPORTS_REASON:
            return False
        return rollout.age_s(self._rollouts.now()) < rollout.order.duration_s + _HESITATION_S

    def _is_alone(self) -> bool:
        """Returns whether no other daemon runs, as far as this one knows."""
        local_name = self._directory.local_member.name
        return all(
            member.name == local_name or member.phase is MemberPhase.STOPPED
            for member in self._directory.members
        )

    async def _query_all(
        self, rollout: KnownRollout, members: list[Member], evidence: UpstreamEvidence | None
    ) -> bool:
        """Reports to several daemons at once; returns whether any of them replied."""
        replies: list[RolloutReply] = []

        async def query(member: Member) -> None:
            reply = await self._query(rollout, member, evidence, is_evaluator=True)
            if reply is not None:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(query, member)
        return bool(replies)

    async def _query(
        self,
        rollout: KnownRollout,
        member: Member,
        evidence: UpstreamEvidence | None,
        *,
        is_evaluator: bool = False,
    ) -> RolloutReply | None:
        order = rollout.order
        sent_at = self._rollouts.now()
        seeks_state = evidence is None and not is_evaluator
        report = RolloutReport(
            self._directory.local_member.name,
            order.service,
            order.offset,
            evidence,
            None if seeks_state else rollout.state,
            int(rollout.age_s(sent_at) * 1000),
            seeks_state,
        )
        try:
            reply = await self._links.query(member, report, _QUERY_TIMEOUT_S)
        except DaemonUnreachableError:
            # Not logged: the gossip does so, and the lease is logged when no evaluator replies.
            self._distrusted_until[member.name] = sent_at + _DISTRUST_S
            return None
        if not isinstance(reply, RolloutReply):
            return None
        if reply.state is not None:
            self._rollouts.merge(rollout, reply.state)
        return reply

    def _is_trusted(self, name: str) -> bool:
        if name == self._directory.local_member.name:
            return True
        until = self._distrusted_until.get(name)
        if until is not None and until > self._rollouts.now():
            return False
        return self._balancer.is_reachable(name)


def _is_handing_over(rollout: KnownRollout, now: float) -> bool:
    """Returns whether the requests have moved, or will move soon, and the deadline is near."""
    if rollout.was_moved_for_s(now) < -_HANDOVER_S:
        return False
    return abs(rollout.order.duration_s - rollout.age_s(now)) < _HANDOVER_S
