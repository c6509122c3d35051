"""Discovers the first members and keeps the rendezvous stream up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_mesh._rate import Backoff
from fulmarstile_mesh.effects import AppendLog, Effect, ReadLog, Send
from fulmarstile_mesh.rendezvous import RENDEZVOUS_STREAM, encode_rendezvous
from fulmarstile_wire.messages import Join

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from fulmarstile_mesh.settings import MembershipSettings
    from fulmarstile_wire.records import MemberRecord

_JOINS_PER_ATTEMPT: Final = 3
_ATTEMPTS_PER_ADDRESS: Final = 3
_INITIAL_APPEND_RATE: Final = 0.07
"""Initial appends per second of an isolated daemon that found the stream empty.

The rate doubles every second, up to `_MAX_APPEND_RATE`.
"""
_ISOLATED_APPEND_RATE: Final = 0.05
"""Appends per second of an isolated daemon that has not read the stream or found records."""
_MAX_APPEND_RATE: Final = 1.0
_ISOLATED_APPEND_INTERVAL_S: Final = 30.0
_MAX_ELAPSED_S: Final = 0.5
"""Maximum time between ticks that counts, so that a pause does not make an append likely."""
_POLL_WAIT_S: Final = 5.0
"""Maximum wait of an isolated daemon's long poll for a new rendezvous record."""
_POLL_GRACE_S: Final = 3.0
"""Time after the end of the wait at which an unanswered poll is abandoned."""
_EARLY_READ_AGES_S: Final = (3.0, 6.0, 10.0, 20.0, 40.0)
"""Latest times, in seconds after the start, at which a daemon rereads the rendezvous stream.

It does so even if it already knows members: daemons that start at the same time may form several
separate groups before the stream lists them all.
"""


class Joiner:
    """Decides when to read the rendezvous stream, to append to it and to send joins."""

    def __init__(self, settings: MembershipSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._backoff = Backoff(settings.join_backoff_s, settings.join_backoff_max_s, random)
        self._started_at: float | None = None
        self._isolated_since: float | None = None
        self._last_tick_at = 0.0
        self._next_attempt_at = 0.0
        self._next_append_at = 0.0
        self._end_offset = 0
        self._found_stream_empty = False
        self._is_settled = False
        self._early_reads_at: list[float] = []
        self._has_read = False
        self._poll_expires_at: float | None = None
        self._attempts_by_address: dict[str, int] = {}

    @property
    def is_settled(self) -> bool:
        """Whether a settled member has answered a join, or the settle timeout has passed."""
        return self._is_settled

    def on_join_answered(self) -> None:
        """Handles the answer of a settled member to a join."""
        self._is_settled = True
        self._backoff.reset()

    def on_rendezvous(self, records: Iterable[MemberRecord], end_offset: int) -> None:
        """Handles records read from the rendezvous stream.

        Args:
            records: Member records that were read.
            end_offset: Offset after the last record of the stream; 0 if unknown.
        """
        self._end_offset = max(end_offset, 0)
        if self._poll_expires_at is None:
            self._found_stream_empty = True
        self._has_read = True
        self._poll_expires_at = None
        for record in records:
            self._found_stream_empty = False
            self._attempts_by_address[record.peer_address] = 0

    def on_tick(
        self, local_record: MemberRecord, others: list[MemberRecord], now: float
    ) -> list[Effect]:
        """Advances the timers.

        Args:
            local_record: Record of the local daemon.
            others: Running members other than the local daemon.
            now: Current time, in seconds.

        Returns:
            Joins, reads and appends.
        """
        if self._started_at is None:
            self._start(now)
        elapsed_s = min(_MAX_ELAPSED_S, now - self._last_tick_at)
        self._last_tick_at = now
        if others:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        self._settle_after_timeout(now)
        effects = self._join_if_due(local_record, others, now)
        effects += self._read_early_if_due(now)
        effects += self._poll_rendezvous(others, now)
        if self._should_append(len(others), elapsed_s, now):
            effects.append(AppendLog(RENDEZVOUS_STREAM, encode_rendezvous(local_record)))
            effects += self._read_tail()
        return effects

    def join_new_addresses(
        self, local_record: MemberRecord, known_addresses: Iterable[str]
    ) -> list[Effect]:
        """Returns joins to a few rendezvous addresses that belong to no known member.

        This connects groups that formed independently of each other.
        """
        addresses = sorted(
            set(self._attempts_by_address) - set(known_addresses) - {local_record.peer_address}
        )
        self._attempts_by_address.clear()
        chosen = self._random.sample(addresses, min(_JOINS_PER_ATTEMPT, len(addresses)))
        return [self._build_join(local_record, address) for address in chosen]

    def join_candidates(self, local_record: MemberRecord) -> list[Effect]:
        """Returns joins to a few rendezvous addresses and seeds."""
        addresses = sorted(
            {*self._attempts_by_address, *self._settings.seeds} - {local_record.peer_address}
        )
        chosen = self._random.sample(addresses, min(_JOINS_PER_ATTEMPT, len(addresses)))
        for address in chosen:
            self._count_attempt(address)
        return [self._build_join(local_record, address) for address in chosen]

    def _start(self, now: float) -> None:
        self._started_at = now
        self._last_tick_at = now
        self._next_attempt_at = now + self._backoff.next_delay()
        self._early_reads_at = [
            now + age_s * self._random.uniform(0.7, 1.0) for age_s in _EARLY_READ_AGES_S
        ]

    def _read_early_if_due(self, now: float) -> list[Effect]:
        if not self._early_reads_at or now < self._early_reads_at[0]:
            return []
        del self._early_reads_at[0]
        return self._read_tail()

    def _poll_rendezvous(self, others: list[MemberRecord], now: float) -> list[Effect]:
        """Long-polls for new records, so that isolated daemons meet at the first append."""
        if others or not self._has_read:
            return []
        if self._poll_expires_at is not None and now < self._poll_expires_at:
            return []
        self._poll_expires_at = now + _POLL_WAIT_S + _POLL_GRACE_S
        return [ReadLog(RENDEZVOUS_STREAM, self._end_offset, _POLL_WAIT_S)]

    def _settle_after_timeout(self, now: float) -> None:
        assert self._started_at is not None
        if now - self._started_at >= self._settings.settle_timeout_s:
            self._is_settled = True

    def _join_if_due(
        self, local_record: MemberRecord, others: list[MemberRecord], now: float
    ) -> list[Effect]:
        if now < self._next_attempt_at or (others and self._is_settled):
            return []
        self._next_attempt_at = now + max(0.1, self._backoff.next_delay())
        if others:
            return [self._build_join(local_record, self._random.choice(others).peer_address)]
        return [*self.join_candidates(local_record), *self._read_tail()]

    def _count_attempt(self, address: str) -> None:
        if address not in self._attempts_by_address:
            return
        self._attempts_by_address[address] += 1
        if self._attempts_by_address[address] >= _ATTEMPTS_PER_ADDRESS:
            del self._attempts_by_address[address]

    def _should_append(self, other_count: int, elapsed_s: float, now: float) -> bool:
        rate = self._get_append_rate(other_count, now)
        if self._random.random() >= rate * elapsed_s:
            return False
        if other_count == 0:
            self._next_append_at = now + _ISOLATED_APPEND_INTERVAL_S
        return True

    def _get_append_rate(self, other_count: int, now: float) -> float:
        if other_count > 0:
            fleet_interval_s = (other_count + 1) * self._settings.rendezvous_interval_s
            return 1.0 / max(fleet_interval_s, self._settings.rendezvous_min_interval_s)
        if self._isolated_since is None or now < self._next_append_at:
            return 0.0
        if not self._found_stream_empty:
            return _ISOLATED_APPEND_RATE
        isolated_s = min(now - self._isolated_since, _ISOLATED_APPEND_INTERVAL_S)
        return min(_MAX_APPEND_RATE, _INITIAL_APPEND_RATE * 2.0**isolated_s)

    def _read_tail(self) -> list[Effect]:
        offset = max(0, self._end_offset - self._settings.rendezvous_tail)
        return [ReadLog(RENDEZVOUS_STREAM, offset, 0.0)]

    def _build_join(self, local_record: MemberRecord, address: str) -> Send:
        return Send(address, Join(local_record.daemon_id, local_record.peer_address, local_record))
