"""Lossy one-way links to peers: one PULL socket to receive, one PUSH socket for each peer.

PUSH never resends a message by itself, and a send that would block drops its message, so a
link behaves like a datagram channel; all messages are idempotent.
"""

from __future__ import annotations

from collections import OrderedDict
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import pynng

from fulmarstile_daemon.peers.frame_auth import TAG_BYTES, add_auth_tag, verify_and_strip_tag
from fulmarstile_wire.codec import MAX_FRAME_BYTES, decode_message, encode_message
from fulmarstile_wire.errors import FulmarstileError, WireError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarstile_wire.messages import AnyMessage

MAX_LINKS: Final = 48
"""Maximum number of open outgoing links; beyond it, the least recently used one is closed."""

SEND_BUFFER_MESSAGES: Final = 64
"""Messages queued on one link before further ones are dropped."""

RECONNECT_MIN_MS: Final = 200
"""First delay before a lost link is dialled again, in milliseconds."""

RECONNECT_MAX_MS: Final = 5_000
"""Longest delay before a lost link is dialled again, in milliseconds."""


class PeerListenError(FulmarstileError):
    """The listener for messages between daemons cannot be opened."""


@dataclass(slots=True)
class LinkCounters:
    """Traffic between daemons since the start."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    """Messages not sent because they were oversize, the link was full or dialling failed."""
    refused_frames: int = 0
    """Frames received that were malformed or not authenticated."""
    dialled: int = 0
    disconnected: int = 0


class PeerLinks:
    """Sends messages to individual peers and receives messages from all of them."""

    def __init__(self, listener: pynng.Pull0, key: bytes) -> None:
        self._listener = listener
        self._key = key
        self._links: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._counters = LinkCounters()

    @property
    def counters(self) -> LinkCounters:
        """Traffic counters."""
        return self._counters

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of the peers with an open link, sorted."""
        return tuple(sorted(self._links))

    def send(self, address: str, message: AnyMessage) -> None:
        """Sends a message to a peer, or drops it if that would block.

        Args:
            address: `host:port` of the peer's listener.
            message: Message to send.
        """
        try:
            frame = add_auth_tag(encode_message(message), self._key)
            self._get_link(address).send(frame, block=False)
        except (pynng.NNGException, WireError):
            self._counters.dropped_messages += 1
            return
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(frame)

    async def receive(self) -> AnyMessage:
        """Waits for the next valid message from any peer."""
        while True:
            tagged_frame = await self._listener.arecv()
            self._counters.received_messages += 1
            self._counters.received_bytes += len(tagged_frame)
            try:
                return decode_message(verify_and_strip_tag(tagged_frame, self._key))
            except WireError:
                self._counters.refused_frames += 1

    def disconnect(self, address: str) -> None:
        """Closes the link to a peer; the next message to it opens a new one."""
        link = self._links.pop(address, None)
        if link is None:
            return
        link.close()
        self._counters.disconnected += 1

    def close(self) -> None:
        """Closes all links and the listener."""
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._listener.close()

    def _get_link(self, address: str) -> pynng.Push0:
        link = self._links.get(address)
        if link is not None:
            self._links.move_to_end(address)
            return link
        while len(self._links) >= MAX_LINKS:
            _, oldest = self._links.popitem(last=False)
            oldest.close()
        return self._dial(address)

    def _dial(self, address: str) -> pynng.Push0:
        link = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            link.dial(f"tcp://{address}", block=False)
        except BaseException:
            link.close()
            raise
        self._links[address] = link
        self._counters.dialled += 1
        return link


@contextmanager
def open_peer_links(address: str, key: bytes) -> Iterator[PeerLinks]:
    """Opens the listener for messages between daemons.

    Args:
        address: `host:port` to listen on.
        key: The mesh key.

    Yields:
        The links; closed on exit.

    Raises:
        PeerListenError: If the daemon cannot listen on the address.
    """
    listener = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES + TAG_BYTES)
    try:
        listener.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        listener.close()
        raise PeerListenError(f"cannot listen at {address}: {error}") from error
    links = PeerLinks(listener, key)
    try:
        yield links
    finally:
        links.close()
