"""Builders of a server for connections from other daemons, and of a connection to it."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio

from fulmarstile_daemon.services._body_admission import BodyAdmission
from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._link_server import LinkServer
from fulmarstile_wire.loads import LoadReply, LoadRequest
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    HopAnswer,
    HopCall,
    HopOutcome,
    HopRequest,
    SyncReply,
    SyncRequest,
    encode_frame,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Mapping

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_wire.services import LinkMessage, PeerReply


def make_hop_call(call_id: int, body: bytes = b"", **changes: Any) -> HopCall:
    """Makes a forwarded request with enough time left, and with some of its metadata changed."""
    fields: dict[str, Any] = {
        "service": "shop",
        "upstream_id": "upstream-1",
        "caller_service": "web",
        "priority": 0,
        "remaining_ms": 20_000,
        "max_slot_wait_ms": 20_000,
        "idempotent": False,
        "target_ms": 20_000,
    }
    return HopCall(call_id, HopRequest(**(fields | changes)), b"POST", b"/", [], body)


async def answer_call(call: HopCall, deadline: float, progress: AttemptProgress) -> HopAnswer:
    """Answers a forwarded request with its own body."""
    return HopAnswer(call.call_id, HopOutcome(Verdict.RAN), 200, [], call.body)


def answer_sync(request: SyncRequest) -> SyncReply:
    """Answers a synchronization of state."""
    return SyncReply("server", b"digest")


def answer_load(request: LoadRequest) -> LoadReply:
    """Answers a request for the load."""
    return LoadReply(is_serving=False)


def make_link_server(
    handle_call: Callable[[HopCall, float, AttemptProgress], Awaitable[HopAnswer]] = answer_call,
    handle_sync: Callable[[SyncRequest], SyncReply] = answer_sync,
    handlers: Mapping[type[LoadRequest], Callable[[Any], PeerReply]] | None = None,
    budget: ByteBudget | None = None,
    max_connections: int = 1_000,
) -> LinkServer:
    """Makes a server whose handlers answer at once."""
    return LinkServer(
        handle_call,
        handle_sync,
        lambda outcome: outcome,
        lambda: 0.0,
        BodyAdmission(0.0),
        budget or ByteBudget(1 << 30),
        {LoadRequest: answer_load} if handlers is None else handlers,
        {},
        lambda: max_connections,
    )


class LinkClient:
    """Connection to a server, with the messages that arrive on it.

    Args:
        stream: The connection.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._decoder = FrameDecoder()
        self._received: list[LinkMessage] = []

    async def send(self, *messages: LinkMessage) -> None:
        """Sends messages."""
        await self.stream.send_all(b"".join(encode_frame(message) for message in messages))

    async def receive(self) -> LinkMessage:
        """Returns the next message.

        Raises:
            EOFError: If the server has closed the connection.
            trio.BrokenResourceError: If the connection was reset.
        """
        while not self._received:
            data = await self.stream.receive_some()
            if not data:
                raise EOFError("the server has closed the connection")
            self._received += self._decoder.feed(data)
        return self._received.pop(0)


@asynccontextmanager
async def serve_links(server: LinkServer) -> AsyncIterator[str]:
    """Runs a server.

    Args:
        server: The server.

    Yields:
        Its address.
    """
    async with trio.open_nursery() as nursery:
        yield await nursery.start(server.serve, "127.0.0.1:0")
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_link(
    address: str, *, reads_go_away: bool = True, buffer_bytes: int = 0
) -> AsyncIterator[LinkClient]:
    """Opens a connection to a server, as another daemon does.

    Args:
        address: `host:port` of the server.
        reads_go_away: Whether the daemon knows the message `GoAway`.
        buffer_bytes: Size of the receive buffer; 0 for that of the system.

    Yields:
        The connection.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    if buffer_bytes:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, buffer_bytes)
    await sock.connect((host, int(port)))
    async with trio.SocketStream(sock) as stream:
        client = LinkClient(stream)
        await client.send(Hello(PROTOCOL_VERSION, "client", reads_go_away))
        yield client
