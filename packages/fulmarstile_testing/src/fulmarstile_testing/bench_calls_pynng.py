"""Bare relay of two processes that talk over pynng, to be compared with HTTP between them.

The first process takes HTTP requests and sends each as one message; the second one calls
the upstream over HTTP and replies with one message.
"""

from __future__ import annotations

from typing import Final

import h11
import msgspec
import pynng
import trio
from absl import app, flags

from fulmarstile_testing.bench_calls_relay import BareRelay

_WORKERS: Final = 64
"""Requests that the second process handles at the same time."""


class RelayedMessage(msgspec.Struct, frozen=True, array_like=True):
    """A request or response between the two processes."""

    start: tuple[bytes, bytes]
    """Method and target of a request; status of a response and nothing."""
    headers: list[tuple[bytes, bytes]]
    body: bytes


class EntryRelay(BareRelay):
    """Sends requests to the second process.

    Args:
        socket: Socket connected to it.
    """

    def __init__(self, socket: pynng.Req0) -> None:
        super().__init__("")
        self._socket = socket

    async def exchange(self, request: h11.Request, body: bytes) -> tuple[h11.Response, bytes]:
        """See `BareRelay.exchange`."""
        message = RelayedMessage(
            (request.method, request.target), request.headers.raw_items(), body
        )
        with self._socket.new_context() as context:
            await context.asend(msgspec.msgpack.encode(message))
            reply = msgspec.msgpack.decode(await context.arecv(), type=RelayedMessage)
        response = h11.Response(status_code=int(reply.start[0]), headers=reply.headers)
        return response, reply.body


async def _serve_messages(socket: pynng.Rep0, relay: BareRelay) -> None:
    with socket.new_context() as context:
        while True:
            message = msgspec.msgpack.decode(await context.arecv(), type=RelayedMessage)
            method, target = message.start
            request = h11.Request(method=method, target=target, headers=message.headers)
            response, body = await relay.exchange(request, message.body)
            reply = RelayedMessage(
                (b"%d" % response.status_code, b""), response.headers.raw_items(), body
            )
            await context.asend(msgspec.msgpack.encode(reply))


async def _run_entry(peer: str) -> None:
    with pynng.Req0(dial=peer, block_on_dial=True, resend_time=-1) as socket:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(EntryRelay(socket).serve)
            print(f"ready {address}", flush=True)


async def _run_serving(upstream: str) -> None:
    with pynng.Rep0() as socket:
        listener = socket.listen("tcp://127.0.0.1:0")
        relay = BareRelay(upstream)
        async with trio.open_nursery() as nursery:
            for _ in range(_WORKERS):
                nursery.start_soon(_serve_messages, socket, relay)
            print(f"ready {listener.local_address}", flush=True)


def _main(_: list[str]) -> None:
    if flags.FLAGS.peer:
        trio.run(_run_entry, flags.FLAGS.peer)
    else:
        trio.run(_run_serving, flags.FLAGS.upstream)


if __name__ == "__main__":
    flags.DEFINE_string("upstream", "", "host:port of the upstream, for the second process")
    flags.DEFINE_string("peer", "", "address of the second process, for the first one")
    app.run(_main)
