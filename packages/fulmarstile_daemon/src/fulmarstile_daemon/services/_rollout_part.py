"""Assembles what a daemon needs for roll-outs."""

from __future__ import annotations

import logging
from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

import trio

from fulmarstile_daemon.services._rollout_polls import RolloutPolls
from fulmarstile_daemon.services._rollout_recorder import RolloutRecorder
from fulmarstile_daemon.services._service_pools import ServicePools
from fulmarstile_daemon.services._version_choice import VersionChoice
from fulmarstile_daemon.services.rollouts import Rollouts
from fulmarstile_daemon.services.state import RolloutView
from fulmarstile_wire.rollouts import RolloutReply, RolloutReport

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services._links import DaemonLinks
    from fulmarstile_daemon.services._upstream import LocalUpstream
    from fulmarstile_daemon.services.active_routes import ActiveRoutes
    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import Platform
    from fulmarstile_platform.keyed_log import KeyedLog
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_services.settings import NodeSettings

_LOGGER: Final = logging.getLogger(__name__)


class RolloutPart:
    """Follows and evaluates roll-outs; does nothing if the deployment has no bounds for them.

    Args:
        settings: Settings as read at the start.
        platform: Platform that the daemon runs on.
        directory: Directory of the known daemons.
        documents: Holds the operator's document.
        routes: Active routing table.
        upstream: Upstream on this VM.
        balancer: Selects upstreams.
        links: Connections to other daemons.
        random: Source of randomness.
        log: Log of the daemon.
    """

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        directory: Directory,
        documents: ActiveDocument,
        routes: ActiveRoutes,
        upstream: LocalUpstream,
        balancer: LeastWaitBalancer,
        links: DaemonLinks,
        random: random.Random,
        log: EventLog,
    ) -> None:
        self.rollouts = Rollouts(
            settings.bounds.rollout, platform, directory, documents, routes, upstream, log
        )
        """What this daemon knows about roll-outs."""
        self.versions = VersionChoice(directory, self.rollouts, random)
        """Stage that chooses the version of an attempt."""
        self._recorder = RolloutRecorder(settings.name, self.rollouts, platform, random, log)
        pools = ServicePools(directory, balancer, self.rollouts)
        self._polls = RolloutPolls(
            self.rollouts, directory, balancer, pools, self._recorder, links, random
        )

    @property
    def handlers(self) -> dict[type[Any], Callable[[Any], Any]]:
        """Handlers of other daemons' requests, by the type of the request."""
        return {} if self.rollouts.bounds is None else {RolloutReport: self._handle_report}

    @property
    def running(self) -> int:
        """Number of roll-outs that have not ended, as far as this daemon knows."""
        return sum(not rollout.is_final for rollout in self.rollouts.known)

    async def run(
        self, store: KeyedLog, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follows roll-outs until cancelled.

        Args:
            store: The platform's store.
            task_status: Told as soon as orders can be followed.
        """
        if self.rollouts.bounds is None:
            task_status.started()
            return
        async with trio.open_nursery() as nursery:
            await nursery.start(self._polls.run)
            await nursery.start(self._recorder.run, store)
            task_status.started()

    def dump(self) -> tuple[RolloutView, ...]:
        """Returns the newest roll-out of each service for inspection."""
        now = self.rollouts.now()
        return tuple(self._describe(rollout, now) for rollout in self.rollouts.known)

    def _handle_report(self, report: RolloutReport) -> RolloutReply:
        try:
            return self.rollouts.on_report(report)
        except Exception:
            # An error in one roll-out must not end the requests on the other daemon's connection.
            _LOGGER.exception("handling a report about %s failed", report.service)
            return RolloutReply()

    def _describe(self, rollout: KnownRollout, now: float) -> RolloutView:
        order, state, evaluator = rollout.order, rollout.state, rollout.evaluator
        rules = self.rollouts.rules(order.service)
        return RolloutView(
            service=order.service,
            order_offset=order.offset,
            target_version=order.target_version,
            duration_s=order.duration_s,
            age_s=round(rollout.age_s(now), 3),
            phase="unknown" if state is None else state.phase.value,
            share=0.0 if state is None else state.share,
            canaries=() if state is None else state.canaries,
            promote_at_s=0.0 if state is None else state.promote_at_ms / 1000,
            reason=rollout.problem if state is None else state.reason,
            is_recorded=state is not None and state.is_recorded,
            is_fresh=rollout.is_fresh(now),
            is_sealed=rollout.is_sealed,
            evaluators=tuple(each.name for each in self._polls.list_evaluators(rollout)),
            figures={} if evaluator is None else asdict(evaluator.figures),
            excluded=tuple(sorted(rules.excluded)),
            only=rules.only,
        )
