"""SWIM-style failure detector: probes, indirect probes, suspicion and local slowness."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import MemberRecord

_RELAYED_PROBE_LIFETIME_S: Final = 5.0
_LOCAL_SLOWNESS_MISS_RATIO: Final = 0.75
"""Fraction of unresponsive peers above which the local VM counts as slow."""


@dataclass(frozen=True, slots=True)
class ProbePeer:
    """Send a probe to a peer."""

    peer: MemberRecord
    sequence: int


@dataclass(frozen=True, slots=True)
class ReplaceLink:
    """Close the link to a peer so that a new connection is opened."""

    peer: MemberRecord


@dataclass(frozen=True, slots=True)
class RequestIndirectProbe:
    """Ask another peer, the helper, to probe a target."""

    helper: MemberRecord
    target: MemberRecord
    sequence: int


@dataclass(frozen=True, slots=True)
class SuspectPeer:
    """Suspect a peer that has answered neither direct nor indirect probes."""

    peer: MemberRecord


@dataclass(frozen=True, slots=True)
class DeclareDead:
    """Declare a suspected member dead that has not refuted the suspicion in time."""

    daemon_id: str
    incarnation: int


DetectorAction: TypeAlias = (
    ProbePeer | ReplaceLink | RequestIndirectProbe | SuspectPeer | DeclareDead
)


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
        self._probe_order: list[str] = []
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._unresponsive: set[str] = set()

    @property
    def slowness(self) -> int:
        """Slowness of the local VM; timeouts are multiplied by `1 + slowness`."""
        return self._slowness

    @property
    def suspected(self) -> tuple[str, ...]:
        """Sorted ids of the suspected members."""
        return tuple(sorted(self._suspicions))

    def on_late_tick(self, delay_s: float) -> None:
        """Extends all deadlines, because replies may already be waiting unread on the local VM."""
        self._raise_slowness()
        for probe in self._pending_probes.values():
            probe.deadline += delay_s
        for suspicion in self._suspicions.values():
            suspicion.since += delay_s

    def on_reply(self, daemon_id: str, sequence: int, now: float) -> _RelayedProbe | None:
        """Handles the reply to a probe.

        Args:
            daemon_id: Daemon that replied.
            sequence: Sequence number of the reply.
            now: Current time, in seconds.

        Returns:
            The requester to forward the reply to, if the probe was sent for another daemon.
        """
        self._unresponsive.discard(daemon_id)
        suspicion = self._suspicions.get(daemon_id)
        if suspicion is not None:
            suspicion.since = now
        relayed = self._relayed_probes.pop(sequence, None)
        if relayed is not None:
            return relayed
        probe = self._pending_probes.pop(sequence, None)
        if probe is not None and not probe.is_indirect:
            self._slowness = max(0, self._slowness - 1)
        return None

    def relay_probe(self, reply_to: str, sequence: int, now: float) -> int:
        """Registers a probe on behalf of another daemon; returns the probe's sequence number."""
        relayed_sequence = self._next_sequence()
        expires_at = now + _RELAYED_PROBE_LIFETIME_S
        self._relayed_probes[relayed_sequence] = _RelayedProbe(reply_to, sequence, expires_at)
        return relayed_sequence

    def suspect(self, daemon_id: str, incarnation: int, now: float) -> None:
        """Starts the period in which a member can refute, unless this incarnation is suspected."""
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
            The actions to take, in order.
        """
        actions = self._check_pending(peers, now)
        actions += self._check_suspicions(now)
        actions += self._probe_next(peers, now)
        self._expire_relayed(now)
        return actions

    def _check_pending(self, peers: Sequence[MemberRecord], now: float) -> list[DetectorAction]:
        actions: list[DetectorAction] = []
        self._drop_removed_peers({peer.daemon_id for peer in peers})
        overdue = [key for key, probe in self._pending_probes.items() if probe.deadline <= now]
        for sequence in overdue:
            probe = self._pending_probes.pop(sequence)
            if probe.is_indirect:
                actions.append(SuspectPeer(probe.peer))
            else:
                actions += self._start_indirect_probe(probe.peer, peers, now)
        return actions

    def _drop_removed_peers(self, peer_ids: set[str]) -> None:
        self._pending_probes = {
            sequence: probe
            for sequence, probe in self._pending_probes.items()
            if probe.peer.daemon_id in peer_ids
        }

    def _start_indirect_probe(
        self, peer: MemberRecord, peers: Sequence[MemberRecord], now: float
    ) -> list[DetectorAction]:
        self._unresponsive.add(peer.daemon_id)
        self._check_local_slowness(peers)
        sequence = self._next_sequence()
        deadline = now + self._scale_timeout(self._settings.indirect_probe_timeout_s)
        self._pending_probes[sequence] = _PendingProbe(peer, deadline, is_indirect=True)
        helpers = [other for other in peers if other.daemon_id != peer.daemon_id]
        count = min(self._settings.indirect_probes, len(helpers))
        actions: list[DetectorAction] = [ReplaceLink(peer), ProbePeer(peer, sequence)]
        actions += [
            RequestIndirectProbe(helper, peer, sequence)
            for helper in self._random.sample(helpers, count)
        ]
        return actions

    def _check_local_slowness(self, peers: Sequence[MemberRecord]) -> None:
        ids = {peer.daemon_id for peer in peers}
        self._unresponsive &= ids
        if len(ids) > 1 and len(self._unresponsive) > _LOCAL_SLOWNESS_MISS_RATIO * len(ids):
            self._raise_slowness()

    def _check_suspicions(self, now: float) -> list[DetectorAction]:
        limit_s = self._scale_timeout(self._settings.suspicion_timeout_s)
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
        peer = self._choose_next_peer(peers)
        if any(probe.peer.daemon_id == peer.daemon_id for probe in self._pending_probes.values()):
            return []
        sequence = self._next_sequence()
        deadline = now + self._scale_timeout(self._settings.probe_timeout_s)
        self._pending_probes[sequence] = _PendingProbe(peer, deadline)
        return [ProbePeer(peer, sequence)]

    def _choose_next_peer(self, peers: Sequence[MemberRecord]) -> MemberRecord:
        by_id = {peer.daemon_id: peer for peer in peers}
        self._probe_order = [daemon_id for daemon_id in self._probe_order if daemon_id in by_id]
        if not self._probe_order:
            self._probe_order = sorted(by_id)
            self._random.shuffle(self._probe_order)
        return by_id[self._probe_order.pop()]

    def _expire_relayed(self, now: float) -> None:
        if any(relayed.expires_at <= now for relayed in self._relayed_probes.values()):
            self._relayed_probes = {
                sequence: relayed
                for sequence, relayed in self._relayed_probes.items()
                if relayed.expires_at > now
            }

    def _raise_slowness(self) -> None:
        self._slowness = min(self._settings.max_slowness, self._slowness + 1)

    def _scale_timeout(self, timeout_s: float) -> float:
        return timeout_s * (1 + self._slowness)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
