"""Checks the health of other members and adopts the findings of the rest of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_mesh._failure_detector import (
    DeclareDead,
    FailureDetector,
    ProbePeer,
    ReplaceLink,
    RequestIndirectProbe,
    SuspectPeer,
)
from fulmarstile_mesh._news_queue import NewsPriority
from fulmarstile_mesh.effects import Disconnect, Effect, MembersChanged, Send
from fulmarstile_mesh.view import is_running
from fulmarstile_wire.messages import IndirectProbe, Probe, ProbeReply
from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from random import Random

    from fulmarstile_mesh._failure_detector import DetectorAction
    from fulmarstile_mesh._gossip import Gossip
    from fulmarstile_mesh._shared_view import SharedView
    from fulmarstile_mesh.membership_state import MembershipCounters
    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import MemberRecord

_TICK_INTERVAL_S: Final = 0.1


class MemberHealth:
    """Runs the failure detector and turns its actions into messages and member records."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: SharedView,
        gossip: Gossip,
        counters: MembershipCounters,
        random: Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._gossip = gossip
        self._counters = counters
        self._detector = FailureDetector(settings, random)
        self._last_tick_at: float | None = None

    @property
    def slowness(self) -> int:
        """Slowness of the local VM; timeouts are multiplied by `1 + slowness`."""
        return self._detector.slowness

    @property
    def suspected(self) -> tuple[str, ...]:
        """Sorted ids of the suspected members."""
        return self._detector.suspected

    def on_probe_reply(self, message: ProbeReply, now: float) -> list[Effect]:
        """Records that a peer is alive; forwards the reply if the probe was for another daemon."""
        relayed = self._detector.on_reply(message.sender, message.sequence, now)
        if relayed is None:
            return []
        reply = ProbeReply(message.sender, message.reply_to, relayed.sequence)
        return [Send(relayed.reply_to, reply)]

    def on_indirect_probe(self, message: IndirectProbe, now: float) -> list[Effect]:
        """Probes the target on behalf of the sender."""
        target = self._view.table.members.get(message.target)
        if target is None:
            return []
        sequence = self._detector.relay_probe(message.reply_to, message.sequence, now)
        return [self.send_probe(target, sequence, now)]

    def _check_tick_delay(self, now: float) -> None:
        if self._last_tick_at is not None:
            delay_s = now - self._last_tick_at - _TICK_INTERVAL_S
            if delay_s >= self._settings.late_tick_s:
                self._counters.late_ticks += 1
                self._detector.on_late_tick(delay_s)
        self._last_tick_at = now

    def on_tick(self, now: float) -> list[Effect]:
        """Advances the failure detector and executes the actions that are due."""
        self._check_tick_delay(now)
        effects: list[Effect] = []
        for action in self._detector.on_tick(self._gossip.active_peers, now):
            effects += self._execute_action(action, now)
        return effects

    def _execute_action(self, action: DetectorAction, now: float) -> list[Effect]:
        match action:
            case ProbePeer(peer, sequence):
                return [self.send_probe(peer, sequence, now)]
            case ReplaceLink(peer):
                self._counters.probes_missed += 1
                self._counters.links_replaced += 1
                return [Disconnect(peer.peer_address)]
            case RequestIndirectProbe(helper, target, sequence):
                local_record = self._view.local_record
                probe = IndirectProbe(
                    local_record.daemon_id, local_record.peer_address, sequence, target.daemon_id
                )
                return [Send(helper.peer_address, probe)]
            case SuspectPeer(peer):
                return self._suspect(peer.daemon_id, now)
            case DeclareDead(daemon_id, incarnation):
                return self._declare_dead(daemon_id, incarnation, now)

    def _suspect(self, daemon_id: str, now: float) -> list[Effect]:
        record = self._view.table.members.get(daemon_id)
        if record is None or not is_running(record):
            return []
        self._counters.suspicions += 1
        self._detector.suspect(daemon_id, record.incarnation, now)
        suspected = msgspec.structs.replace(record, status=MemberStatus.SUSPECT)
        if not self._view.put_member(suspected, NewsPriority.URGENT, now):
            return []
        effects: list[Effect] = [
            MembersChanged(),
            *self._gossip.flush_urgent(now, ignore_interval=True),
        ]
        effects += self._gossip.send_view(record.peer_address, [suspected], now)
        self._gossip.on_members_changed()
        return effects

    def _declare_dead(self, daemon_id: str, incarnation: int, now: float) -> list[Effect]:
        record = self._view.table.members.get(daemon_id)
        if record is None or record.incarnation != incarnation or not is_running(record):
            return []
        self._counters.deaths_declared += 1
        self._gossip.on_members_changed()
        dead = msgspec.structs.replace(record, status=MemberStatus.DEAD)
        self._view.put_member(dead, NewsPriority.URGENT, now)
        return [Disconnect(record.peer_address), MembersChanged(), *self._gossip.flush_urgent(now)]

    def on_members(self, records: list[MemberRecord], now: float) -> list[Effect]:
        """Updates suspicions and links after records from other members were accepted.

        Args:
            records: Accepted records of other members.
            now: Current time, in seconds.

        Returns:
            The effects.
        """
        if not records:
            return []
        effects: list[Effect] = []
        self._gossip.on_members_changed()
        for record in records:
            if record.status is MemberStatus.SUSPECT:
                self._detector.suspect(record.daemon_id, record.incarnation, now)
                continue
            self._detector.clear(record.daemon_id)
            if not is_running(record) and self._gossip.is_active_peer(record.daemon_id):
                effects.append(Disconnect(record.peer_address))
        return effects

    def send_probe(self, peer: MemberRecord, sequence: int, now: float) -> Send:
        """Returns a probe that carries news.

        If the peer is suspected, the probe also tells it, so that it can refute the suspicion.
        """
        self._counters.probes_sent += 1
        news = self._gossip.dequeue_news(peer.daemon_id, now)
        known = self._view.table.members.get(peer.daemon_id, peer)
        if known.status is MemberStatus.SUSPECT:
            news = msgspec.structs.replace(news, members=(*news.members, known))
        probe = Probe(
            self._view.local_record.daemon_id, self._view.local_record.peer_address, sequence, news
        )
        return Send(peer.peer_address, probe)
