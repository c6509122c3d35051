"""Bare relay of HTTP requests: h11 on both sides, trio, one upstream, no decisions.

The lowest latency that a relay in this language and with these libraries can add; the call
proxy is compared with it.
"""

from __future__ import annotations

from typing import Final

import h11
import trio
from absl import app, flags

_READ_SIZE: Final = 64 * 1024


class BareRelay:
    """Relays requests to one upstream.

    Args:
        upstream: `host:port` of the upstream.
    """

    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._idle: list[tuple[trio.SocketStream, h11.Connection]] = []

    async def serve(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled.

        Args:
            task_status: Told the `host:port` that is listened at.
        """
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, self._serve_stream, listeners)
            task_status.started(f"127.0.0.1:{port}")

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            request, body = await receive_message(stream, http)
            if request is None:
                return
            response, answer = await self.exchange(request, body)
            data = http.send(
                h11.Response(status_code=response.status_code, headers=response.headers)
            )
            data += http.send(h11.Data(data=answer)) + http.send(h11.EndOfMessage())
            await stream.send_all(data)
            http.start_next_cycle()

    async def exchange(self, request: h11.Request, body: bytes) -> tuple[h11.Response, bytes]:
        """Brings a request to the upstream.

        Args:
            request: Head of the request.
            body: Its body.

        Returns:
            Head and body of the answer.
        """
        stream, http = await self._acquire()
        data = http.send(request)
        if body:
            data += http.send(h11.Data(data=body))
        await stream.send_all(data + http.send(h11.EndOfMessage()))
        response, answer = await receive_message(stream, http)
        http.start_next_cycle()
        self._idle.append((stream, http))
        return response, answer

    async def _acquire(self) -> tuple[trio.SocketStream, h11.Connection]:
        if self._idle:
            return self._idle.pop()
        host, _, port = self._upstream.rpartition(":")
        return await trio.open_tcp_stream(host, int(port)), h11.Connection(h11.CLIENT)


async def receive_message(
    stream: trio.SocketStream, http: h11.Connection
) -> tuple[h11.Request | h11.Response | None, bytes]:
    """Receives a whole message.

    Args:
        stream: Stream to read.
        http: State of the connection.

    Returns:
        Head and body; no head at the end of the stream.
    """
    head = None
    body = b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(_READ_SIZE))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            return head, body


async def _run_process(upstream: str) -> None:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(BareRelay(upstream).serve)
        print(f"ready {address}", flush=True)


def _main(_: list[str]) -> None:
    trio.run(_run_process, flags.FLAGS.upstream)


if __name__ == "__main__":
    flags.DEFINE_string("upstream", "", "host:port of the upstream")
    app.run(_main)
