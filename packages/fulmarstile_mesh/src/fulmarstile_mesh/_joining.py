"""How a daemon finds its first members, and keeps the rendezvous stream fresh."""

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
_FIRST_APPEND_RATE: Final = 0.07
"""Appends per second of an isolated daemon that found the stream empty; doubles every second."""
_ISOLATED_APPEND_RATE: Final = 0.05
"""Appends per second of an isolated daemon that could not read the stream or found records."""
_MAX_APPEND_RATE: Final = 1.0
_ISOLATED_APPEND_INTERVAL_S: Final = 30.0
_MAX_TICK_S: Final = 0.5
"""Longest time since the last tick that counts, so that a pause makes nothing due at once."""
_WATCH_WAIT_S: Final = 5.0
"""Longest wait of an isolated daemon for a new rendezvous record."""
_WATCH_GRACE_S: Final = 3.0
"""Time beyond the wait after which an unanswered read is given up."""
_EARLY_READS_S: Final = (3.0, 6.0, 10.0, 20.0, 40.0)
"""Ages at which a daemon reads the rendezvous stream again, whether it knows members or not.

Daemons that start together may meet in several groups before the stream names them all.
"""


class Joining:
    """Decides when to read the rendezvous stream, append to it and send joins."""

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
        self._has_seen_empty = False
        self._is_settled = False
        self._early_reads_at: list[float] = []
        self._has_read = False
        self._watch_ends_at: float | None = None
        self._candidates: dict[str, int] = {}

    @property
    def is_settled(self) -> bool:
        """Whether a settled member has answered, or none could be found in time."""
        return self._is_settled

    def on_join_answered(self) -> None:
        """Handles the answer of a settled member."""
        self._is_settled = True
        self._backoff.reset()

    def on_rendezvous(self, records: Iterable[MemberRecord], end_offset: int) -> None:
        """Handles records read from the rendezvous stream.

        Args:
            records: Records read.
            end_offset: Offset after the last record of the stream; 0 if unknown.
        """
        self._end_offset = max(end_offset, 0)
        if self._watch_ends_at is None:
            self._has_seen_empty = True
        self._has_read = True
        self._watch_ends_at = None
        for record in records:
            self._has_seen_empty = False
            self._candidates[record.peer_address] = 0

    def on_tick(self, own: MemberRecord, others: list[MemberRecord], now: float) -> list[Effect]:
        """Advances the timers.

        Args:
            own: Record of the local daemon.
            others: Running members besides the local daemon.
            now: Current time, in seconds.

        Returns:
            Joins, reads and appends.
        """
        if self._started_at is None:
            self._start(now)
        elapsed_s = min(_MAX_TICK_S, now - self._last_tick_at)
        self._last_tick_at = now
        if others:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        self._settle_alone(now)
        effects = self._attempt(own, others, now)
        effects += self._read_early(now)
        effects += self._watch(others, now)
        if self._must_append(len(others), elapsed_s, now):
            effects.append(AppendLog(RENDEZVOUS_STREAM, encode_rendezvous(own)))
            effects += self._read_tail()
        return effects

    def join_known(self, own: MemberRecord, known: Iterable[str]) -> list[Effect]:
        """Returns joins to a few rendezvous addresses that are not known.

        Two groups that started apart find each other this way.
        """
        addresses = sorted(set(self._candidates) - set(known) - {own.peer_address})
        self._candidates.clear()
        chosen = self._random.sample(addresses, min(_JOINS_PER_ATTEMPT, len(addresses)))
        return [self._join(own, address) for address in chosen]

    def join_candidates(self, own: MemberRecord) -> list[Effect]:
        """Returns joins to a few of the rendezvous addresses and seeds."""
        addresses = sorted({*self._candidates, *self._settings.seeds} - {own.peer_address})
        chosen = self._random.sample(addresses, min(_JOINS_PER_ATTEMPT, len(addresses)))
        for address in chosen:
            self._count_attempt(address)
        return [self._join(own, address) for address in chosen]

    def _start(self, now: float) -> None:
        self._started_at = now
        self._last_tick_at = now
        self._next_attempt_at = now + self._backoff.next_delay()
        self._early_reads_at = [
            now + age_s * self._random.uniform(0.7, 1.0) for age_s in _EARLY_READS_S
        ]

    def _read_early(self, now: float) -> list[Effect]:
        if not self._early_reads_at or now < self._early_reads_at[0]:
            return []
        del self._early_reads_at[0]
        return self._read_tail()

    def _watch(self, others: list[MemberRecord], now: float) -> list[Effect]:
        """Waits for new records, so that isolated daemons meet at the first append."""
        if others or not self._has_read:
            return []
        if self._watch_ends_at is not None and now < self._watch_ends_at:
            return []
        self._watch_ends_at = now + _WATCH_WAIT_S + _WATCH_GRACE_S
        return [ReadLog(RENDEZVOUS_STREAM, self._end_offset, _WATCH_WAIT_S)]

    def _settle_alone(self, now: float) -> None:
        assert self._started_at is not None
        if now - self._started_at >= self._settings.settle_s:
            self._is_settled = True

    def _attempt(self, own: MemberRecord, others: list[MemberRecord], now: float) -> list[Effect]:
        if now < self._next_attempt_at or (others and self._is_settled):
            return []
        self._next_attempt_at = now + max(0.1, self._backoff.next_delay())
        if others:
            return [self._join(own, self._random.choice(others).peer_address)]
        return [*self.join_candidates(own), *self._read_tail()]

    def _count_attempt(self, address: str) -> None:
        if address not in self._candidates:
            return
        self._candidates[address] += 1
        if self._candidates[address] >= _ATTEMPTS_PER_ADDRESS:
            del self._candidates[address]

    def _must_append(self, other_count: int, elapsed_s: float, now: float) -> bool:
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
        if not self._has_seen_empty:
            return _ISOLATED_APPEND_RATE
        isolated_s = min(now - self._isolated_since, _ISOLATED_APPEND_INTERVAL_S)
        return min(_MAX_APPEND_RATE, _FIRST_APPEND_RATE * 2.0**isolated_s)

    def _read_tail(self) -> list[Effect]:
        offset = max(0, self._end_offset - self._settings.rendezvous_tail)
        return [ReadLog(RENDEZVOUS_STREAM, offset, 0.0)]

    def _join(self, own: MemberRecord, address: str) -> Send:
        return Send(address, Join(own.daemon_id, own.peer_address, own))
