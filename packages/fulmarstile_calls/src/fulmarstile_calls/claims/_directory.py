"""Choice of the daemon that the claims and outcomes of a shard are sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_calls.claims.sharding import rank_batchers
from fulmarstile_wire.records import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarstile_wire.records import MemberRecord


class BatcherDirectory:
    """Addresses of the daemons that can batch claims, ranked for each shard.

    Args:
        daemon_id: Name of this daemon, which is always one of them.
        address: `host:port` at which this daemon receives messages.
        avoid_s: Time for which a daemon that did not answer is tried last, in seconds.
    """

    def __init__(self, daemon_id: str, address: str, avoid_s: float) -> None:
        self._daemon_id = daemon_id
        self._address = address
        self._avoid_s = avoid_s
        self._addresses: dict[str, str] = {daemon_id: address}
        self._ranks: dict[int, list[str]] = {}
        self._avoided_until: dict[str, float] = {}

    def replace_members(self, members: Iterable[MemberRecord]) -> None:
        """Replaces the daemons that are known to be alive."""
        addresses = {
            member.daemon_id: member.peer_address
            for member in members
            if member.status is MemberStatus.ALIVE
        }
        addresses[self._daemon_id] = self._address
        if addresses == self._addresses:
            return
        self._addresses = addresses
        self._ranks.clear()
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if name in addresses
        }

    def find(self, shard: int, rank: int, now: float) -> tuple[str, str]:
        """Returns the name and address of the daemon to send to.

        Args:
            shard: Number of the shard.
            rank: Number of daemons that have already been tried.
            now: Monotonic time in seconds.
        """
        ranked = self._ranks.get(shard)
        if ranked is None:
            ranked = self._ranks[shard] = rank_batchers(shard, self._addresses)
        if self._avoided_until:
            ranked = sorted(
                ranked, key=lambda daemon_id: self._avoided_until.get(daemon_id, now) > now
            )
        name = ranked[rank % len(ranked)]
        return name, self._addresses[name]

    def on_timeout(self, daemon_id: str, now: float) -> None:
        """Records that a daemon did not answer in time."""
        self._avoided_until[daemon_id] = now + self._avoid_s

    def on_answer(self, daemon_id: str) -> None:
        """Records that a daemon has answered."""
        self._avoided_until.pop(daemon_id, None)
