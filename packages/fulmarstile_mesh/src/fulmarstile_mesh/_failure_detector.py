"""Failure detector: probes, indirect probes, suspicion and local slowness."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import MemberRecord

_RELAYED_PROBE_LIFETIME_S: Final = 5.0
_SELF_DOUBT_SHARE: Final = 0.75
"""Share of the peers whose replies a VM has to miss before it doubts itself."""


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Send a probe to a peer."""

    peer: MemberRecord
    sequence: int


@dataclass(frozen=True, slots=True)
class ReplaceLink:
    """Close the link to a peer and use a fresh one."""

    peer: MemberRecord


@dataclass(frozen=True, slots=True)
class AskHelper:
    """Ask a helper to probe a target."""

    helper: MemberRecord
    target: MemberRecord
    sequence: int


@dataclass(frozen=True, slots=True)
class SuspectPeer:
    """A peer answered neither direct nor indirect probes."""

    peer: MemberRecord


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """A suspected member did not refute in time."""

    daemon_id: str
    incarnation: int


DetectorAction: TypeAlias = ProbePeer | ReplaceLink | AskHelper | SuspectPeer | DeclareDead


@dataclass(slots=True)
class _PendingProbe:
    peer: MemberRecord
    deadline: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    reply_to: str
    sequence: int
    expires_at: float


@dataclass(slots=True)
class _Suspicion:
    incarnation: int
    since: float


class FailureDetector:
    """Decides which peers to probe and which members to suspect or declare dead."""

    def __init__(self, settings: MembershipSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._sequence = random.getrandbits(31)
        self._slowness = 0
        self._next_probe_at: float | None = None
        self._order: list[str] = []
        self._pending: dict[int, _PendingProbe] = {}
        self._relayed: dict[int, _RelayedProbe] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._missed: set[str] = set()

    @property
    def slowness(self) -> int:
        """Times that the timeouts are stretched because the local VM seems slow."""
        return self._slowness

    @property
    def suspected(self) -> tuple[str, ...]:
        """Members under suspicion."""
        return tuple(sorted(self._suspicions))

    def on_late_tick(self, delay_s: float) -> None:
        """Extends all deadlines, because replies may wait unread on the local VM."""
        self._raise_slowness()
        for probe in self._pending.values():
            probe.deadline += delay_s
        for suspicion in self._suspicions.values():
            suspicion.since += delay_s

    def on_reply(self, daemon_id: str, sequence: int, now: float) -> _RelayedProbe | None:
        """Handles a probe's reply.

        Args:
            daemon_id: Daemon that replied.
            sequence: Sequence number of the reply.
            now: Current time, in seconds.

        Returns:
            Where to pass the reply on to, if the probe was sent for another daemon.
        """
        self._missed.discard(daemon_id)
        suspicion = self._suspicions.get(daemon_id)
        if suspicion is not None:
            suspicion.since = now
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            return relayed
        probe = self._pending.pop(sequence, None)
        if probe is not None and not probe.is_indirect:
            self._slowness = max(0, self._slowness - 1)
        return None

    def relay_probe(self, reply_to: str, sequence: int, now: float) -> int:
        """Returns the sequence number of a probe that is sent for another daemon."""
        own_sequence = self._take_sequence()
        expires_at = now + _RELAYED_PROBE_LIFETIME_S
        self._relayed[own_sequence] = _RelayedProbe(reply_to, sequence, expires_at)
        return own_sequence

    def suspect(self, daemon_id: str, incarnation: int, now: float) -> None:
        """Starts the time in which a member can refute."""
        known = self._suspicions.get(daemon_id)
        if known is None or known.incarnation < incarnation:
            self._suspicions[daemon_id] = _Suspicion(incarnation, now)

    def clear(self, daemon_id: str) -> None:
        """Ends a suspicion."""
        self._suspicions.pop(daemon_id, None)

    def on_tick(self, peers: Sequence[MemberRecord], now: float) -> list[DetectorAction]:
        """Advances the timers.

        Args:
            peers: Active peers.
            now: Current time, in seconds.

        Returns:
            What to do, in order.
        """
        actions = self._check_pending(peers, now)
        actions += self._check_suspicions(now)
        actions += self._probe_next(peers, now)
        self._expire_relayed(now)
        return actions

    def _check_pending(self, peers: Sequence[MemberRecord], now: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        self._forget_others({peer.daemon_id for peer in peers})
        overdue = [key for key, probe in self._pending.items() if probe.deadline <= now]
        for sequence in overdue:
            probe = self._pending.pop(sequence)
            if probe.is_indirect:
                actions.append(SuspectPeer(probe.peer))
            else:
                actions += self._retry(probe.peer, peers, now)
        return actions

    def _forget_others(self, peer_ids: set[str]) -> None:
        self._pending = {
            sequence: probe
            for sequence, probe in self._pending.items()
            if probe.peer.daemon_id in peer_ids
        }

    def _retry(
        self, peer: MemberRecord, peers: Sequence[MemberRecord], now: float
    ) -> list[DetectorAction]:
        self._missed.add(peer.daemon_id)
        self._doubt_self(peers)
        sequence = self._take_sequence()
        deadline = now + self._stretch(self._settings.indirect_probe_timeout_s)
        self._pending[sequence] = _PendingProbe(peer, deadline, is_indirect=True)
        helpers = [other for other in peers if other.daemon_id != peer.daemon_id]
        count = min(self._settings.indirect_probes, len(helpers))
        actions: list[DetectorAction] = [ReplaceLink(peer), ProbePeer(peer, sequence)]
        actions += [
            AskHelper(helper, peer, sequence) for helper in self._random.sample(helpers, count)
        ]
        return actions

    def _doubt_self(self, peers: Sequence[MemberRecord]) -> None:
        ids = {peer.daemon_id for peer in peers}
        self._missed &= ids
        if len(ids) > 1 and len(self._missed) > _SELF_DOUBT_SHARE * len(ids):
            self._raise_slowness()

    def _check_suspicions(self, now: float) -> list[DetectorAction]:
        limit_s = self._stretch(self._settings.suspicion_s)
        overdue = [
            daemon_id
            for daemon_id, suspicion in self._suspicions.items()
            if now - suspicion.since >= limit_s
        ]
        return [
            DeclareDead(daemon_id, self._suspicions.pop(daemon_id).incarnation)
            for daemon_id in overdue
        ]

    def _probe_next(self, peers: Sequence[MemberRecord], now: float) -> list[DetectorAction]:
        interval_s = self._settings.probe_interval_s
        if self._next_probe_at is None:
            self._next_probe_at = now + self._random.uniform(0.0, interval_s)
        if now < self._next_probe_at or not peers:
            return []
        self._next_probe_at = max(self._next_probe_at + interval_s, now)
        peer = self._choose_next(peers)
        if any(probe.peer.daemon_id == peer.daemon_id for probe in self._pending.values()):
            return []
        sequence = self._take_sequence()
        deadline = now + self._stretch(self._settings.probe_timeout_s)
        self._pending[sequence] = _PendingProbe(peer, deadline)
        return [ProbePeer(peer, sequence)]

    def _choose_next(self, peers: Sequence[MemberRecord]) -> MemberRecord:
        by_id = {peer.daemon_id: peer for peer in peers}
        self._order = [daemon_id for daemon_id in self._order if daemon_id in by_id]
        if not self._order:
            self._order = sorted(by_id)
            self._random.shuffle(self._order)
        return by_id[self._order.pop()]

    def _expire_relayed(self, now: float) -> None:
        if any(relayed.expires_at <= now for relayed in self._relayed.values()):
            self._relayed = {
                sequence: relayed
                for sequence, relayed in self._relayed.items()
                if relayed.expires_at > now
            }

    def _raise_slowness(self) -> None:
        self._slowness = min(self._settings.max_slowness, self._slowness + 1)

    def _stretch(self, timeout_s: float) -> float:
        return timeout_s * (1 + self._slowness)

    def _take_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
