"""Two simple ways to spread configuration, behind the interface of the relay core.

`TailingRelay`: every daemon follows the log itself. `FloodingRelay`: one reader in each
availability zone follows the log, and whole documents are sent to all peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from fulmarstile_mesh import Apply, ReadLog, Send
from fulmarstile_mesh.overlay import rank_candidates
from fulmarstile_mesh.relay_state import RelayCounters, RelayState
from fulmarstile_mesh.view import list_members_for_customer
from fulmarstile_wire.messages import SnapshotOffer
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from fulmarstile_mesh import Effect, MeshView, RelaySettings, StreamReplica
    from fulmarstile_platform.log import LogPage
    from fulmarstile_wire.messages import AnyMessage

APPLIED_MARK: Final = "applied"
"""First word of the line with which a bench daemon reports a version in force."""

STREAM_PREFIX: Final = "config."
POLL_WAIT_S: Final = 20.0
READ_TIMEOUT_S: Final = 30.0
RETRY_S: Final = 1.0
REPAIR_INTERVAL_S: Final = 5.0
"""Mean time between two whole documents sent to a random peer."""


class TailingRelay:
    """Follows every customer's stream by long polls of its own."""

    def __init__(
        self,
        settings: RelaySettings,
        daemon_id: str,
        reply_to: str,
        availability_zone: str,
        region: str,
        replicas: Mapping[str, StreamReplica],
        view: MeshView,
        random: Random,
        is_snapshot: object = None,
    ) -> None:
        self._daemon_id = daemon_id
        self._reply_to = reply_to
        self._availability_zone = availability_zone
        self._replicas = replicas
        self._view = view
        self._random = random
        self._counters = RelayCounters()
        self._next_read_at: dict[str, float] = {}
        self._applied: dict[str, int] = {}

    @property
    def counters(self) -> RelayCounters:
        """Counters since the start."""
        return self._counters

    def dump(self) -> RelayState:
        """Returns the state for inspection."""
        return RelayState("baseline", (), self._counters)

    def on_heads(self, message: AnyMessage, now: float) -> list[Effect]:
        """Ignores messages of the relay."""
        return []

    on_record_request = on_heads
    on_record_batch = on_heads
    on_snapshot_request = on_heads
    on_snapshot_offer = on_heads

    def on_log_page(self, stream: str, page: LogPage, now: float) -> list[Effect]:
        """Folds a page and reads on."""
        customer = stream.removeprefix(STREAM_PREFIX)
        replica = self._replicas[customer]
        for record in page.records:
            replica.on_record(StreamRecord(record.offset, record.payload, record.appended_at_ms))
        self._next_read_at[customer] = now
        if replica.head.next_offset < page.end_offset:
            return self._read_due(now)
        return self._apply(customer, "") + self._read_due(now)

    def on_log_failure(self, stream: str, now: float) -> list[Effect]:
        """Retries after a while."""
        self._counters.log_failures += 1
        customer = stream.removeprefix(STREAM_PREFIX)
        self._next_read_at[customer] = now + self._random.uniform(0.0, RETRY_S)
        return []

    def on_append_done(self, stream: str, offset: int, now: float) -> list[Effect]:
        """Never appends."""
        return []

    def on_append_failure(self, stream: str, now: float) -> list[Effect]:
        """Never appends."""
        return []

    def on_tick(self, now: float) -> list[Effect]:
        """Starts the reads that are due."""
        return self._read_due(now)

    def _is_reader(self, customer: str) -> bool:
        return True

    def _read_due(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for customer, replica in sorted(self._replicas.items()):
            is_due = now >= self._next_read_at.get(customer, now)
            if is_due and self._is_reader(customer):
                self._next_read_at[customer] = now + READ_TIMEOUT_S
                self._counters.log_reads += 1
                offset = replica.head.next_offset
                effects.append(ReadLog(STREAM_PREFIX + customer, offset, POLL_WAIT_S))
        return effects

    def _apply(self, customer: str, source: str) -> list[Effect]:
        version = self._replicas[customer].head.version
        if version <= self._applied.get(customer, 0):
            return []
        self._applied[customer] = version
        return [Apply(customer)]


class FloodingRelay(TailingRelay):
    """Sends whole documents to all peers that the customer concerns."""

    _next_repair_at = 0.0

    def on_snapshot_offer(self, message: SnapshotOffer, now: float) -> list[Effect]:
        """Adopts a newer document and passes it on."""
        replica = self._replicas.get(message.customer)
        if replica is None or not replica.restore_snapshot(message.payload):
            self._counters.duplicate_batches += 1
            return []
        self._counters.snapshots_restored += 1
        return self._apply(message.customer, message.sender)

    def on_tick(self, now: float) -> list[Effect]:
        """Reads, and repairs a random peer now and then."""
        effects = super().on_tick(now)
        if now < self._next_repair_at:
            return effects
        self._next_repair_at = now + self._random.uniform(0.5, 1.5) * REPAIR_INTERVAL_S
        for customer in sorted(self._applied):
            peers = self._list_peers(customer, "")
            if peers:
                effects.append(self._offer(customer, self._random.choice(peers)))
        return effects

    def _is_reader(self, customer: str) -> bool:
        zone = [
            record
            for record in list_members_for_customer(self._view, customer)
            if record.availability_zone == self._availability_zone
        ]
        ranked = rank_candidates(zone, f"reader {customer}")
        return ranked[0].daemon_id == self._daemon_id

    def _apply(self, customer: str, source: str) -> list[Effect]:
        effects = super()._apply(customer, source)
        if effects:
            effects += [
                self._offer(customer, address) for address in self._list_peers(customer, source)
            ]
        return effects

    def _list_peers(self, customer: str, source: str) -> list[str]:
        return [
            peer.peer_address
            for peer in self._view.active_peers
            if customer in peer.customers and peer.daemon_id != source
        ]

    def _offer(self, customer: str, address: str) -> Send:
        self._counters.snapshots_offered += 1
        payload = self._replicas[customer].encode_snapshot()
        return Send(address, SnapshotOffer(self._daemon_id, self._reply_to, customer, payload))
