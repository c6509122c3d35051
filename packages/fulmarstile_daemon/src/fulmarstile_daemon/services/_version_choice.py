"""Stage that chooses the version of an attempt, before the balancer chooses the upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from fulmarstile_daemon.services._call import ServiceCall
    from fulmarstile_daemon.services._known_rollout import KnownRollout
    from fulmarstile_daemon.services.rollouts import Rollouts
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import Member

_Members = tuple["Member", ...]


@dataclass(frozen=True, slots=True)
class _Sides:
    """The serving upstreams of a service, divided by what they may receive."""

    members: _Members
    """All of them, as the directory has them."""
    revision: int
    """Revision of the roll-outs by which they were divided."""
    valid_until: float
    """Time at which a version that is held is released, in seconds."""
    baseline: _Members
    """Those that serve apart from a running roll-out; `members` if that is all of them."""
    rollout: KnownRollout | None = None
    """The running roll-out; None if there is none."""
    target: _Members = ()
    canaries: _Members = ()


class VersionChoice:
    """Chooses among the versions of a service's upstreams.

    Tuples of members stay the same objects while their members do, because the balancer prepares
    the candidates of each tuple once.

    Args:
        directory: Directory of the known daemons.
        rollouts: What this daemon knows about roll-outs.
        random: Source of randomness.
    """

    def __init__(self, directory: Directory, rollouts: Rollouts, random: random.Random) -> None:
        self._directory = directory
        self._rollouts = rollouts
        self._random = random
        self._is_enabled = rollouts.bounds is not None
        self._sides: dict[str, _Sides] = {}

    def choose(self, call: ServiceCall) -> _Members:
        """Chooses the version of the next attempt of a request.

        The first attempt draws a version; every later one goes to the baseline, until all requests
        move to the target.

        Args:
            call: The request.

        Returns:
            Daemons beside the upstreams of that version.
        """
        members = self._directory.serving(call.service)
        if not self._is_enabled:
            return members
        sides = self._divide(call.service, members)
        rollout = sides.rollout
        if rollout is None:
            return sides.baseline
        is_first, call.is_version_drawn = not call.is_version_drawn, True
        now = self._rollouts.now()
        # A refusal by a daemon beside the baseline is newer than the state known here.
        is_moved = call.is_version_moved or rollout.is_moved(now)
        if not sides.baseline or (sides.target and is_moved):
            return sides.target
        if is_first and sides.canaries and self._random.random() < rollout.share(now):
            return sides.canaries
        return sides.baseline

    def find_alternative(self, call: ServiceCall, chosen: _Members) -> _Members:
        """Finds the members to try if none of those chosen may be sent the request.

        Args:
            call: The request.
            chosen: What `choose` has returned.

        Returns:
            The baseline if the canaries were chosen; otherwise nothing.
        """
        sides = self._sides.get(call.service)
        if sides is None or not chosen or chosen is not sides.canaries:
            return ()
        return sides.baseline

    def find_route(self, call: ServiceCall) -> str:
        """Returns the route of a request as evidence names it; empty without a roll-out."""
        sides = self._sides.get(call.service) if self._is_enabled else None
        if sides is None or sides.rollout is None:
            return ""
        return call.route.host + call.route.prefix

    def observe_all(self) -> None:
        """Records the versions that serve now, so that those that come later are held."""
        services = {member.service for member in self._directory.members if member.service}
        for service in services if self._is_enabled else ():
            self._divide(service, self._directory.serving(service))

    def _divide(self, service: str, members: _Members) -> _Sides:
        sides = self._sides.get(service)
        if (
            sides is not None
            and sides.members is members
            and sides.revision == self._rollouts.revision
            and (sides.valid_until == math.inf or self._rollouts.now() < sides.valid_until)
        ):
            return sides
        sides = self._sides[service] = self._make_sides(service, members, sides)
        return sides

    def _make_sides(self, service: str, members: _Members, last: _Sides | None) -> _Sides:
        rollouts, now = self._rollouts, self._rollouts.now()
        # Read first: what is observed and divided is at least as new.
        revision = rollouts.revision
        valid_until = rollouts.observe_versions(service, members, now) if members else math.inf
        rollout = rollouts.find(service)
        if rollout is None or rollout.is_final or rollout.problem:
            serving = _keep(members, (each for each in members if rollouts.serves(each, now)))
            serving = _keep(last.baseline, serving) if last else serving
            return _Sides(members, revision, valid_until, serving)
        target = tuple(each for each in members if rollout.names(each.upstream_version))
        baseline: Iterable[Member] = (
            each
            for each in members
            if not rollout.names(each.upstream_version) and rollouts.serves(each, now)
        )
        names = frozenset(rollout.state.canaries) if rollout.state else frozenset[str]()
        canaries = tuple(each for each in target if each.name in names)
        if last is None:
            return _Sides(
                members, revision, valid_until, tuple(baseline), rollout, target, canaries
            )
        return _Sides(
            members,
            revision,
            valid_until,
            _keep(last.baseline, baseline),
            rollout,
            _keep(last.target, target),
            _keep(last.canaries, canaries),
        )


def _keep(known: _Members, members: Iterable[Member]) -> _Members:
    """Returns the known tuple if it has the same members, and otherwise a new one."""
    found = tuple(members)
    return known if found == known else found
