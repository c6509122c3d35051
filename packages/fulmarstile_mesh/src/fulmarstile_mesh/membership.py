"""Membership core: the replicated view of the members, their upstreams and versions."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_mesh._gossip import Gossip
from fulmarstile_mesh._joiner import Joiner
from fulmarstile_mesh._member_health import MemberHealth
from fulmarstile_mesh._news_queue import NewsPriority
from fulmarstile_mesh._shared_view import SharedView
from fulmarstile_mesh.effects import AppendLog, Effect, MembersChanged, Send
from fulmarstile_mesh.membership_state import MembershipCounters, MembershipState
from fulmarstile_mesh.view import is_running
from fulmarstile_wire.messages import (
    IndirectProbe,
    Join,
    MemberDigest,
    Members,
    Probe,
    ProbeReply,
)
from fulmarstile_wire.records import (
    AppliedRecord,
    MemberRecord,
    MemberStatus,
    News,
    QuarantineRecord,
    UpstreamRecord,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.messages import Message

_EXPIRY_INTERVAL_S: Final = 1.0
_CRASHES_PER_INCARNATION: Final = 1000


class Membership:
    """Maintains the membership view by gossip with a bounded number of active peers.

    Args:
        settings: Settings.
        record: Record of the local daemon; its incarnation is the start time in milliseconds.
        random: Random number generator for all random choices.
    """

    def __init__(self, settings: MembershipSettings, record: MemberRecord, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._view = SharedView(settings, record)
        self._joiner = Joiner(settings, random)
        self._counters = MembershipCounters()
        self._gossip = Gossip(settings, self._view, self._counters, random)
        self._health = MemberHealth(settings, self._view, self._gossip, self._counters, random)
        self._next_expiry_at = 0.0
        self._reported_applied: dict[str, AppliedRecord] = {}
        self._crash_count = 0

    @property
    def record(self) -> MemberRecord:
        """Record of the local daemon."""
        return self._view.local_record

    @property
    def members(self) -> Mapping[str, MemberRecord]:
        """Known members by `daemon_id`, including the local daemon and dead or departed members."""
        return MappingProxyType(self._view.table.members)

    @property
    def members_version(self) -> int:
        """Version number that changes whenever a member record changes."""
        return self._view.table.version

    @property
    def upstreams(self) -> Mapping[str, UpstreamRecord]:
        """Announced upstreams by `daemon_id`."""
        return MappingProxyType(self._view.table.upstreams)

    @property
    def applied(self) -> Mapping[tuple[str, str], AppliedRecord]:
        """Applied configuration versions, keyed by `daemon_id` and customer."""
        return MappingProxyType(self._view.table.applied)

    @property
    def quarantine(self) -> frozenset[bytes]:
        """Request fingerprints that were in flight in at least two distinct crashes."""
        return self._view.crashes.fingerprints

    @property
    def active_peers(self) -> tuple[MemberRecord, ...]:
        """Members that the local daemon has direct links to, sorted by `daemon_id`."""
        return self._gossip.active_peers

    @property
    def is_settled(self) -> bool:
        """Whether a settled member has sent its view, or the settle timeout has passed."""
        return self._joiner.is_settled

    @property
    def counters(self) -> MembershipCounters:
        """Counters since the start."""
        return self._counters

    def applied_changed_at(self, daemon_id: str, customer: str) -> float:
        """Returns the local time at which the applied version of a member last changed."""
        return self._view.table.applied_changed_at(daemon_id, customer)

    def dump(self) -> MembershipState:
        """Returns the complete state for inspection."""
        table = self._view.table
        return MembershipState(
            record=self.record,
            is_settled=self.is_settled,
            slowness=self._health.slowness,
            members=tuple(table.members[key] for key in sorted(table.members)),
            upstreams=tuple(table.upstreams[key] for key in sorted(table.upstreams)),
            applied=tuple(table.applied[key] for key in sorted(table.applied)),
            active_peers=tuple(peer.daemon_id for peer in self.active_peers),
            suspected=self._health.suspected,
            pending_news=self._view.queue.count_pending(),
            quarantined=tuple(sorted(key.hex() for key in self.quarantine)),
            counters=self._counters,
        )

    def on_join(self, message: Join, now: float) -> list[Effect]:
        """Answers a join with the view, or a small part of it if the byte budget is used up."""
        effects = self._merge(News(members=(message.record,)), message, now, answer_stale=False)
        self._counters.joins_answered += 1
        effects += self._gossip.answer_join(
            message.sender, message.reply_to, now, is_settled=self.is_settled
        )
        return effects

    def on_members(self, message: Members, now: float) -> list[Effect]:
        """Merges a full or partial view."""
        if message.answers_join:
            self._joiner.on_join_answered()
        return self._merge(message.news, message, now, answer_stale=True)

    def on_member_digest(self, message: MemberDigest, now: float) -> list[Effect]:
        """Sends the records of the digest buckets that differ from the sender's view."""
        return self._sync_with_sender(message, now) + self._gossip.answer_digest(message, now)

    def on_probe(self, message: Probe, now: float) -> list[Effect]:
        """Replies to a probe."""
        effects = self._merge(message.news, message, now, answer_stale=False)
        news = self._gossip.dequeue_news(message.sender, now)
        reply = ProbeReply(self.record.daemon_id, self.record.peer_address, message.sequence, news)
        effects.append(Send(message.reply_to, reply))
        effects += self._sync_with_sender(message, now)
        return effects

    def on_probe_reply(self, message: ProbeReply, now: float) -> list[Effect]:
        """Records that a peer is alive; forwards the reply if the probe was for another daemon."""
        effects = self._health.on_probe_reply(message, now)
        effects += self._merge(message.news, message, now, answer_stale=False)
        return effects + self._sync_with_sender(message, now)

    def on_indirect_probe(self, message: IndirectProbe, now: float) -> list[Effect]:
        """Probes the target on behalf of the sender."""
        return self._health.on_indirect_probe(message, now)

    def on_rendezvous(
        self, records: Iterable[MemberRecord], now: float, end_offset: int = 0
    ) -> list[Effect]:
        """Handles records read from the `rendezvous` stream.

        Args:
            records: Member records that were read.
            now: Current time, in seconds.
            end_offset: Offset after the last record of the stream, so that the next read starts
                near the end; 0 if unknown.

        Returns:
            The effects.
        """
        self._joiner.on_rendezvous(records, end_offset)
        if not self._view.list_other_members():
            return self._joiner.join_candidates(self.record)
        known = [record.peer_address for record in self.members.values()]
        return self._joiner.join_new_addresses(self.record, known)

    def announce_upstream(
        self, service: str, status: UpstreamStatus, slots: int, now: float
    ) -> list[Effect]:
        """Announces the upstream of the local daemon; an unchanged announcement is ignored."""
        known = self.upstreams.get(self.record.daemon_id)
        record = UpstreamRecord(
            daemon_id=self.record.daemon_id,
            incarnation=self.record.incarnation,
            sequence=known.sequence + 1 if known else 1,
            service=service,
            status=status,
            slots=slots,
        )
        if known is not None and msgspec.structs.replace(record, sequence=known.sequence) == known:
            return []
        self._view.put_upstream(record)
        return [MembersChanged(), *self._gossip.flush_urgent(now)]

    def report_applied(
        self, customer: str, version: int, digest: bytes, now: float
    ) -> list[Effect]:
        """Reports the version that the local daemon has applied."""
        record = AppliedRecord(
            daemon_id=self.record.daemon_id,
            incarnation=self.record.incarnation,
            customer=customer,
            version=version,
            digest=digest,
        )
        self._reported_applied[customer] = record
        self._view.put_applied(record, now)
        return []

    def report_crash(self, fingerprint: bytes, now: float) -> list[Effect]:
        """Reports a request that was in flight when the local upstream crashed."""
        self._crash_count += 1
        record = QuarantineRecord(
            fingerprint=fingerprint,
            daemon_id=self.record.daemon_id,
            crash_id=self.record.incarnation * _CRASHES_PER_INCARNATION + self._crash_count,
            expires_in_ms=int(self._settings.quarantine_s * 1000),
        )
        self._view.put_crash(record, now)
        return self._gossip.flush_urgent(now, ignore_interval=True)

    def begin_leaving(self, now: float) -> list[Effect]:
        """Announces that the local daemon is draining and accepts no new calls."""
        return self._set_local_status(MemberStatus.LEAVING, now)

    def leave(self, now: float) -> list[Effect]:
        """Announces that the local daemon is stopping."""
        return self._set_local_status(MemberStatus.LEFT, now)

    def on_tick(self, now: float) -> list[Effect]:
        """Advances all timers; must be called about every 100 ms."""
        if not is_running(self.record):
            return []
        effects = self._health.on_tick(now)
        effects += self._join(now)
        effects += self._gossip.on_tick(now)
        self._expire(now)
        return effects

    def _join(self, now: float) -> list[Effect]:
        effects = self._joiner.on_tick(self.record, self._view.list_other_members(), now)
        for effect in effects:
            if isinstance(effect, Send):
                self._counters.joins_sent += 1
            elif isinstance(effect, AppendLog):
                self._counters.rendezvous_appends += 1
        return effects

    def _merge(
        self, news: News, message: Message, now: float, *, answer_stale: bool
    ) -> list[Effect]:
        if message.sender == self.record.daemon_id:
            return []
        summary = self._view.merge(news, message.sender, now)
        effects = self._health.on_members(summary.members, now)
        if summary.newer_count > 1 and answer_stale:
            self._gossip.reset_digest_interval()
        if summary.record_to_refute is not None:
            effects += self._refute(summary.record_to_refute, message.reply_to, now)
        if summary.stale and answer_stale:
            effects += self._gossip.send_view(message.reply_to, summary.stale, now)
        if summary.members_or_upstreams_changed:
            effects.append(MembersChanged())
        effects += self._gossip.flush_urgent(now, ignore_interval=bool(news.quarantine))
        return effects

    def _refute(self, record_to_refute: MemberRecord, reply_to: str, now: float) -> list[Effect]:
        if not is_running(self.record):
            return []
        self._counters.refutations += 1
        record = msgspec.structs.replace(self.record, incarnation=record_to_refute.incarnation + 1)
        self._view.put_member(record, NewsPriority.URGENT, now)
        for customer in sorted(self._reported_applied):
            applied = self._reported_applied[customer]
            self.report_applied(customer, applied.version, applied.digest, now)
        effects = self._gossip.send_view(reply_to, [record], now)
        upstream = self.upstreams.get(record.daemon_id)
        if upstream is None:
            return effects
        return effects + self.announce_upstream(
            upstream.service, upstream.status, upstream.slots, now
        )

    def _sync_with_sender(self, message: Message, now: float) -> list[Effect]:
        """Compares views with an unknown sender; lets a suspected or dead one refute its status."""
        known = self.members.get(message.sender)
        if known is None:
            return [self._gossip.send_digest(message.reply_to, now)]
        if known.status is MemberStatus.ALIVE or known.status is MemberStatus.LEAVING:
            return []
        return self._gossip.send_view(message.reply_to, [known], now)

    def _set_local_status(self, status: MemberStatus, now: float) -> list[Effect]:
        record = msgspec.structs.replace(self.record, status=status)
        if not self._view.put_member(record, NewsPriority.URGENT, now):
            return []
        return [MembersChanged(), *self._gossip.flush_urgent(now, ignore_interval=True)]

    def _expire(self, now: float) -> None:
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + _EXPIRY_INTERVAL_S
        self._view.expire(now - self._settings.tombstone_s, now)
        self._gossip.expire(now)
