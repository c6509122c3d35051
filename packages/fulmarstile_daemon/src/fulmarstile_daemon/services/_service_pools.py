"""The upstreams of a service as the evaluation of a roll-out sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_services.rollouts.model import ServicePool, ServingUpstream

if TYPE_CHECKING:
    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services.rollouts import Rollouts
    from fulmarstile_services.balancing import LeastWaitBalancer
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member


class ServicePools:
    """Lists the serving upstreams of services with roll-outs.

    Args:
        directory: Directory of the known daemons.
        balancer: Knows which daemons are reachable.
        rollouts: Knows which versions may receive requests.
    """

    def __init__(
        self, directory: Directory, balancer: LeastWaitBalancer, rollouts: Rollouts
    ) -> None:
        self._directory = directory
        self._balancer = balancer
        self._rollouts = rollouts
        self._warm_from: dict[tuple[str, int], float] = {}

    def make_pool(self, rollout: KnownRollout, now: float) -> ServicePool:
        """Lists the upstreams that take part in a roll-out.

        Args:
            rollout: The roll-out.
            now: Current time in seconds.
        """
        members = self._directory.serving(rollout.order.service)
        self._forget_others(members)
        return ServicePool(
            tuple(
                self._describe(member, now)
                for member in members
                if self._balancer.is_reachable(member.name)
                and (rollout.names(member.upstream_version) or self._rollouts.serves(member, now))
            )
        )

    def _describe(self, member: Member, now: float) -> ServingUpstream:
        key = (member.upstream_id, member.upstream_born_ms)
        warm_from = self._warm_from.setdefault(key, now + member.cold_left_s)
        return ServingUpstream(
            member.name,
            member.upstream_id,
            member.upstream_version,
            member.slots,
            member.availability_zone,
            now < warm_from,
        )

    def _forget_others(self, members: tuple[Member, ...]) -> None:
        """Forgets the warm-up of upstreams that no longer serve."""
        if len(self._warm_from) <= 2 * len(members):
            return
        kept = {(member.upstream_id, member.upstream_born_ms) for member in members}
        self._warm_from = {key: at for key, at in self._warm_from.items() if key in kept}
