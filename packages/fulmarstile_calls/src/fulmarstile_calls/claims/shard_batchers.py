"""The batchers of one daemon, for the shards that rank it first or second."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_calls.claims.batcher import ClaimBatcher
from fulmarstile_calls.claims.sharding import rank_batchers, stream_of
from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_calls.claims.settings import ClaimSettings
    from fulmarstile_mesh.effects import Effect
    from fulmarstile_platform.log import LogPage
    from fulmarstile_wire.messages import ClaimRequest, OutcomeReport
    from fulmarstile_wire.records import MemberRecord
    from fulmarstile_wire.verdict import Verdict

BATCHERS_PER_SHARD: Final = 2
"""Daemons that keep the claim table of a shard, so that one can replace another at once."""

IDLE_S: Final = 60.0
"""Time after which an unassigned, unused claim table is dropped, in seconds."""


class ShardBatchers:
    """Routes requests and log events to the batcher of their shard.

    Args:
        settings: Settings.
        daemon_id: Name of this daemon.
        address: `host:port` at which this daemon receives messages.
    """

    def __init__(self, settings: ClaimSettings, daemon_id: str, address: str) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._address = address
        self._alive: set[str] = set()
        self._assigned: frozenset[int] = frozenset()
        self._batchers: dict[str, ClaimBatcher] = {}

    @property
    def shards(self) -> tuple[int, ...]:
        """Shards whose claim tables this daemon keeps, sorted."""
        return tuple(sorted(batcher.shard for batcher in self._batchers.values()))

    @property
    def key_count(self) -> int:
        """Number of keys in all claim tables."""
        return sum(batcher.table.key_count for batcher in self._batchers.values())

    @property
    def due_at(self) -> float | None:
        """Monotonic time at which `on_tick` will start an append, in seconds; or None."""
        times = [batcher.due_at for batcher in self._batchers.values()]
        return min((at for at in times if at is not None), default=None)

    @property
    def append_count(self) -> int:
        """Number of appends started by the current batchers."""
        return sum(batcher.append_count for batcher in self._batchers.values())

    def replace_members(self, members: Iterable[MemberRecord], now: float) -> list[Effect]:
        """Starts the batchers of the shards that this daemon is now responsible for.

        Args:
            members: Records of all known daemons.
            now: Monotonic time in seconds.

        Returns:
            Effects.
        """
        alive = {m.daemon_id for m in members if m.status is MemberStatus.ALIVE}
        alive.add(self._daemon_id)
        if alive == self._alive:
            return []
        self._alive = alive
        assigned: list[int] = []
        for shard in range(self._settings.shards):
            if self._daemon_id in rank_batchers(shard, alive, BATCHERS_PER_SHARD):
                assigned.append(shard)
        self._assigned = frozenset(assigned)
        effects: list[Effect] = []
        for shard in assigned:
            effects.extend(self._get_batcher(shard).start(now))
        return effects

    def on_claim_request(self, request: ClaimRequest, now: float) -> list[Effect]:
        """See `ClaimBatcher.on_claim_request`; a request for an unknown shard is ignored."""
        if not 0 <= request.shard < self._settings.shards:
            return []
        return self._get_batcher(request.shard).on_claim_request(request, now)

    def on_outcome_report(self, report: OutcomeReport, now: float) -> list[Effect]:
        """See `ClaimBatcher.on_outcome_report`; a report for an unknown shard is ignored."""
        if not 0 <= report.shard < self._settings.shards:
            return []
        return self._get_batcher(report.shard).on_outcome_report(report, now)

    def on_append_done(self, stream: str, offset: int, now: float) -> list[Effect]:
        """Records that the append to a stream succeeded."""
        batcher = self._batchers.get(stream)
        return batcher.on_append_done(offset, now) if batcher is not None else []

    def on_append_failure(self, stream: str, verdict: Verdict, now: float) -> list[Effect]:
        """Records that the append to a stream failed."""
        batcher = self._batchers.get(stream)
        return batcher.on_append_failure(verdict, now) if batcher is not None else []

    def on_log_page(self, stream: str, page: LogPage, now: float) -> list[Effect]:
        """Folds a page of a stream."""
        batcher = self._batchers.get(stream)
        return batcher.on_log_page(page, now) if batcher is not None else []

    def on_log_failure(self, stream: str, now: float) -> list[Effect]:
        """Records that a read of a stream failed."""
        batcher = self._batchers.get(stream)
        return batcher.on_log_failure(now) if batcher is not None else []

    def on_tick(self, now: float) -> list[Effect]:
        """Appends what is due, and drops claim tables that are not needed any more."""
        effects: list[Effect] = []
        for stream in sorted(self._batchers):
            batcher = self._batchers[stream]
            if batcher.shard not in self._assigned and now - batcher.last_used_at > IDLE_S:
                del self._batchers[stream]
                continue
            effects.extend(batcher.on_tick(now))
        return effects

    def _get_batcher(self, shard: int) -> ClaimBatcher:
        stream = stream_of(shard)
        batcher = self._batchers.get(stream)
        if batcher is None:
            batcher = ClaimBatcher(self._settings, shard, self._daemon_id, self._address)
            self._batchers[stream] = batcher
        return batcher
