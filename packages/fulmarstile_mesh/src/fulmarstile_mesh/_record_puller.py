"""Requests for records and snapshots that a replica is missing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_mesh._stream import OutstandingRequest, Stream
from fulmarstile_mesh.settings import DisseminationMode

if TYPE_CHECKING:
    from random import Random

    from fulmarstile_mesh._relay_sender import RelaySender
    from fulmarstile_mesh.effects import Effect
    from fulmarstile_mesh.relay_state import RelayCounters
    from fulmarstile_mesh.settings import RelaySettings
    from fulmarstile_mesh.view import MeshView


class RecordPuller:
    """Decides when to send a request to which peer; one request per stream is outstanding."""

    def __init__(
        self,
        settings: RelaySettings,
        availability_zone: str,
        view: MeshView,
        relay_sender: RelaySender,
        counters: RelayCounters,
        random: Random,
    ) -> None:
        self._settings = settings
        self._availability_zone = availability_zone
        self._view = view
        self._relay_sender = relay_sender
        self._counters = counters
        self._random = random

    def schedule(self, stream: Stream, sender: str, now: float) -> list[Effect]:
        """Requests announced records, at once or after a delay that lets a push arrive first."""
        if stream.lagging_since is None:
            stream.lagging_since = now
        if stream.outstanding_request is not None:
            return []
        record = self._view.members.get(sender)
        is_same_zone = record is not None and record.availability_zone == self._availability_zone
        if is_same_zone and self._settings.mode is DisseminationMode.PULL:
            return self._request(stream, sender, now)
        delay_s = self._random.uniform(0.5, 1.5) * self._settings.pull_delay_s
        stream.next_pull_at = min(stream.next_pull_at, now + delay_s)
        return []

    def on_tick(self, stream: Stream, now: float) -> list[Effect]:
        """Sends requests that are due and retries unanswered ones with another peer."""
        if stream.outstanding_request is not None and now >= stream.outstanding_request.expires_at:
            self._counters.requests_timed_out += 1
            stream.outstanding_request = None
            stream.next_pull_at = now
        if stream.reset_detected_at is not None:
            return []
        if not stream.can_serve_peers and stream.outstanding_request is None:
            return self._request_from_neighbour(stream, now)
        if now < stream.next_pull_at:
            return []
        return self.pull(stream, now)

    def pull(self, stream: Stream, now: float) -> list[Effect]:
        """Requests records from a peer that is ahead, if possible in the same availability zone."""
        stream.next_pull_at = float("inf")
        peers_ahead = stream.list_peers_ahead()
        if not peers_ahead or stream.outstanding_request is not None:
            return []
        same_zone = [
            daemon_id
            for daemon_id in peers_ahead
            if daemon_id in self._view.members
            and self._view.members[daemon_id].availability_zone == self._availability_zone
        ]
        return self._request(stream, self._random.choice(same_zone or peers_ahead), now)

    def _request_from_neighbour(self, stream: Stream, now: float) -> list[Effect]:
        neighbours = stream.topology.neighbours
        if not neighbours:
            return []
        peer = self._random.choice(neighbours).daemon_id
        if stream.replica.needs_snapshot:
            return self.request_snapshot(stream, peer, now)
        return self._request(stream, peer, now)

    def _request(self, stream: Stream, peer: str, now: float) -> list[Effect]:
        record = self._view.members.get(peer)
        if record is None:
            return []
        timeout_s = self._settings.request_timeout_s * self._random.uniform(1.0, 1.5)
        stream.outstanding_request = OutstandingRequest(peer, now + timeout_s)
        stream.next_pull_at = float("inf")
        self._counters.requests_sent += 1
        remote = stream.peer_heads.get(peer)
        if remote is not None and remote.generation > stream.replica.head.generation:
            return [self._relay_sender.request_snapshot(record.peer_address, stream.replica)]
        return [self._relay_sender.request_records(record.peer_address, stream.replica)]

    def request_snapshot(self, stream: Stream, peer: str, now: float) -> list[Effect]:
        """Requests a snapshot from a peer."""
        record = self._view.members.get(peer)
        if record is None:
            return []
        stream.outstanding_request = OutstandingRequest(
            peer, now + self._settings.request_timeout_s
        )
        return [self._relay_sender.request_snapshot(record.peer_address, stream.replica)]

    def on_answer(self, stream: Stream, sender: str) -> None:
        """Ends the outstanding request if a message about the stream came from its peer."""
        if stream.outstanding_request is not None and stream.outstanding_request.peer == sender:
            stream.outstanding_request = None
