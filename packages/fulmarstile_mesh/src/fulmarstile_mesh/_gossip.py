"""Gossip of the membership view: news over the overlay, and anti-entropy of whole views."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_mesh._news_queue import NewsPriority, split_news
from fulmarstile_mesh._rate import TokenBucket
from fulmarstile_mesh._view_digest import find_differing_buckets
from fulmarstile_mesh.effects import Effect, Send
from fulmarstile_mesh.overlay import choose_peers
from fulmarstile_wire.messages import MemberDigest, Members
from fulmarstile_wire.records import MemberStatus, News

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from fulmarstile_mesh._news_queue import NewsRecord
    from fulmarstile_mesh._shared_view import SharedView
    from fulmarstile_mesh.membership_state import MembershipCounters
    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import MemberRecord

_MAX_VIEW_MESSAGE_BYTES: Final = 131_072
_MIN_DIGEST_INTERVAL_S: Final = 1.0


class Gossip:
    """Chooses the active peers, and sends news and views within their byte budgets."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: SharedView,
        counters: MembershipCounters,
        random: Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._counters = counters
        self._random = random
        self._news_budget = TokenBucket(settings.news_bytes_per_s, settings.news_burst_bytes)
        self._view_budget = TokenBucket(settings.view_bytes_per_s, settings.view_burst_bytes)
        self._active_peers: tuple[MemberRecord, ...] = ()
        self._are_peers_outdated = True
        self._last_urgent_push_at = float("-inf")
        self._next_news_at = 0.0
        self._next_reconnect_at = 0.0
        self._next_digest_at = 0.0
        self._digest_interval_s = _MIN_DIGEST_INTERVAL_S
        self._digest_sent_at: dict[str, float] = {}

    @property
    def active_peers(self) -> tuple[MemberRecord, ...]:
        """Members that the local daemon has direct links to, sorted by `daemon_id`."""
        if self._are_peers_outdated:
            self._update_active_peers()
        return self._active_peers

    def is_active_peer(self, daemon_id: str) -> bool:
        """Returns whether a member was among the active peers when they were last chosen."""
        return any(peer.daemon_id == daemon_id for peer in self._active_peers)

    def on_members_changed(self) -> None:
        """Schedules a new choice of the active peers."""
        self._are_peers_outdated = True

    def reset_digest_interval(self) -> None:
        """Resets the digest interval to its minimum after a comparison yielded new records."""
        self._digest_interval_s = _MIN_DIGEST_INTERVAL_S

    def on_tick(self, now: float) -> list[Effect]:
        """Sends the digests and news that are due."""
        effects = self._send_digest_if_due(now)
        effects += self._contact_dead_member(now)
        effects += self.flush_urgent(now)
        if now < self._next_news_at:
            return effects
        self._next_news_at = now + self._settings.news_interval_s
        return effects + self._push_news_to_peers(NewsPriority.LOW, now)

    def flush_urgent(self, now: float, *, ignore_interval: bool = False) -> list[Effect]:
        """Pushes urgent news to the active peers.

        Args:
            now: Current time, in seconds.
            ignore_interval: Whether to push even if the urgent interval has not passed.

        Returns:
            The effects.
        """
        if (
            not ignore_interval
            and now - self._last_urgent_push_at < self._settings.urgent_interval_s
        ):
            return []
        effects = self._push_news_to_peers(NewsPriority.URGENT, now)
        if effects:
            self._last_urgent_push_at = now
        return effects

    def dequeue_news(self, peer: str, now: float) -> News:
        """Dequeues the news to piggyback on one message to a peer."""
        max_bytes = min(self._settings.news_bytes_per_message, self._news_budget.available(now))
        delivery = self._view.queue.dequeue(peer, max_bytes, NewsPriority.LOW)
        self._news_budget.consume(delivery.size, now)
        return delivery.news

    def answer_join(
        self, joining_id: str, address: str, now: float, *, is_settled: bool
    ) -> list[Effect]:
        """Sends the view, or a small part of it if the byte budget is used up.

        Args:
            joining_id: Id of the joining daemon.
            address: Address of the joining daemon.
            now: Current time, in seconds.
            is_settled: Whether the local daemon is settled, so that the answer settles the
                joining daemon as well.

        Returns:
            The effects.
        """
        records = self._view.list_records_of(joining_id)
        if self._view_budget.available(now) > 0:
            records += self._view.list_records(None, now)
        else:
            self._counters.views_withheld += 1
            records += [self._view.local_record, *self.active_peers]
        return self.send_view(address, records, now, answers_join=is_settled)

    def answer_digest(self, message: MemberDigest, now: float) -> list[Effect]:
        """Sends the records of the digest buckets that differ from the sender's view."""
        digest = self._view.digest
        if message.digest == digest.digest:
            return []
        if self._view_budget.available(now) <= 0:
            self._counters.views_withheld += 1
            return []
        differing_buckets = find_differing_buckets(digest.buckets, message.buckets)
        records = self._view.list_records(differing_buckets, now)
        effects = self.send_view(message.reply_to, records, now)
        last_sent_at = self._digest_sent_at.get(message.reply_to, float("-inf"))
        if now - last_sent_at >= _MIN_DIGEST_INTERVAL_S:
            effects.append(self.send_digest(message.reply_to, now))
        return effects

    def send_digest(self, address: str, now: float) -> Send:
        """Returns a message with the local view digest, which starts a comparison of views."""
        self._digest_sent_at[address] = now
        local_record = self._view.local_record
        digest = self._view.digest
        return Send(
            address,
            MemberDigest(
                local_record.daemon_id, local_record.peer_address, digest.digest, digest.buckets
            ),
        )

    def send_view(
        self,
        address: str,
        records: Iterable[NewsRecord],
        now: float,
        *,
        answers_join: bool = False,
    ) -> list[Effect]:
        """Sends records in messages of bounded size and charges them to the view budget."""
        local_record = self._view.local_record
        effects: list[Effect] = []
        for news in split_news(records, _MAX_VIEW_MESSAGE_BYTES):
            message = Members(local_record.daemon_id, local_record.peer_address, news, answers_join)
            self._view_budget.consume(len(msgspec.msgpack.encode(message)), now)
            effects.append(Send(address, message))
        return effects

    def expire(self, now: float) -> None:
        """Removes outdated entries of the digest send times."""
        self._digest_sent_at = {
            address: sent_at
            for address, sent_at in self._digest_sent_at.items()
            if now - sent_at < _MIN_DIGEST_INTERVAL_S
        }

    def _push_news_to_peers(self, priority: NewsPriority, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for peer in self.active_peers:
            if self._view.queue.has_news(peer.daemon_id, priority):
                effects += self._push_news(peer, now)
        return effects

    def _push_news(self, peer: MemberRecord, now: float) -> list[Effect]:
        news = self.dequeue_news(peer.daemon_id, now)
        if news == News():
            return []
        local_record = self._view.local_record
        return [
            Send(
                peer.peer_address, Members(local_record.daemon_id, local_record.peer_address, news)
            )
        ]

    def _send_digest_if_due(self, now: float) -> list[Effect]:
        peers = self.active_peers
        if now < self._next_digest_at or not peers:
            return []
        interval_s = self._digest_interval_s
        self._next_digest_at = now + self._random.uniform(0.5, 1.5) * interval_s
        self._digest_interval_s = min(2.0 * interval_s, self._settings.digest_interval_s)
        return [self.send_digest(self._random.choice(peers).peer_address, now)]

    def _contact_dead_member(self, now: float) -> list[Effect]:
        if now < self._next_reconnect_at:
            return []
        interval_s = self._settings.reconnect_interval_s
        self._next_reconnect_at = now + self._random.uniform(0.5, 1.5) * interval_s
        dead = [
            record
            for _, record in sorted(self._view.table.members.items())
            if record.status is MemberStatus.DEAD
        ]
        if not dead:
            return []
        return [self.send_digest(self._random.choice(dead).peer_address, now)]

    def _update_active_peers(self) -> None:
        self._are_peers_outdated = False
        known = {peer.daemon_id for peer in self._active_peers}
        others = self._view.list_other_members()
        self._active_peers = choose_peers(
            self._view.local_record,
            [other for other in others if other.status is not MemberStatus.SUSPECT] or others,
            self._settings.zone_rings,
            self._settings.global_rings,
        )
        self._view.queue.set_peers(peer.daemon_id for peer in self._active_peers)
        for peer in self._active_peers:
            if peer.daemon_id not in known:
                self._queue_local_records(peer)

    def _queue_local_records(self, peer: MemberRecord) -> None:
        for record in self._view.list_records_of(self._view.local_record.daemon_id):
            self._view.queue.add_for_peer(peer.daemon_id, record, NewsPriority.NORMAL)
