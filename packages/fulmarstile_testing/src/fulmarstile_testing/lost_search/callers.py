"""Callers that record what became of their requests."""

from __future__ import annotations

import math
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.byte_stream import open_stream
from fulmarstile_testing.fakes.service_platform import HEADER_NAMES

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_testing.lost_search.daemon_run import DaemonRun

_PATIENCE_S: Final = 2.0
"""Time after its deadline for which a caller waits for an answer, in seconds."""


@dataclass(slots=True)
class SentRequest:
    """A request and what became of it; times are in seconds, infinite if it did not happen."""

    request_id: str
    method: str
    target: str
    body: bytes
    asked_s: float
    """Longest time until its deadline, in seconds."""
    wait_s: float
    """Shortest time until its deadline, where a document shortens its route's timeout."""
    size: int
    """Size of the upstream's answer, in bytes."""
    fault: str
    """Fault that the upstream is asked for."""
    sends_at: tuple[float, ...]
    """Pauses before the pieces in which it is sent."""
    entry: DaemonRun | None = None
    started_at: float = math.inf
    sent_at: float = math.inf
    """Time at which its last byte was sent."""
    ended_at: float = math.inf
    """Time of its whole answer, or of the end of its connection."""
    status: int = 0
    """Status of the whole answer; 0 if there is none."""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    answer: bytes = b""
    is_left: bool = False
    """Whether the caller closed the connection before the answer."""

    @property
    def is_own(self) -> bool:
        """Whether the daemon itself made the answer."""
        return HEADER_NAMES.response_signature not in self.headers

    def encode(self) -> bytes:
        """Returns the request as it is sent."""
        head = (
            f"{self.method} {self.target} HTTP/1.1\r\nhost: shop.example\r\n"
            f"request-id: {self.request_id}\r\ntime-left-ms: {int(self.asked_s * 1000)}\r\n"
            f"content-length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


class CallerConnection:
    """A connection of a caller to one daemon.

    Args:
        stream: The connection.
        entry: The daemon.
    """

    def __init__(self, stream: ByteStream, entry: DaemonRun) -> None:
        self._stream = stream
        self._received = b""
        self.entry = entry
        """The daemon that serves the connection."""
        self.is_open = True
        """Whether another request may be sent."""

    @property
    def is_reusable(self) -> bool:
        """Whether the daemon has not closed the connection as far as the caller can see."""
        return self.is_open and self._stream.is_open_without_input

    @classmethod
    async def open(cls, entry: DaemonRun) -> CallerConnection | None:
        """Connects to a daemon; returns None if it accepts no connection."""
        try:
            return cls(await open_stream(entry.node.address), entry)
        except OSError:
            return None

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False
        self._stream.close()

    async def exchange(
        self, requests: Sequence[SentRequest], *, leave_after_s: float, read_after_s: float
    ) -> None:
        """Sends requests one behind the other and reads their answers.

        Args:
            requests: The requests.
            leave_after_s: Time after which the caller leaves, in seconds.
            read_after_s: Time before it reads, in seconds.
        """
        patience_s = sum(each.asked_s + sum(each.sends_at) for each in requests) + _PATIENCE_S
        with trio.move_on_after(min(leave_after_s, patience_s)) as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, requests)
                await trio.sleep(read_after_s)
                await self._receive(requests, read_after_s)
                nursery.cancel_scope.cancel()
        if scope.cancelled_caught:
            for request in requests:
                if not request.status and math.isinf(request.ended_at):
                    request.is_left = leave_after_s < patience_s
        if scope.cancelled_caught or not self.is_open:
            self.close()

    async def _send(self, requests: Sequence[SentRequest]) -> None:
        with suppress(OSError):
            for request in requests:
                request.entry = self.entry
                await self._send_one(request)

    async def _send_one(self, request: SentRequest) -> None:
        data = request.encode()
        count = len(request.sends_at)
        for index, pause_s in enumerate(request.sends_at):
            await trio.sleep(pause_s)
            request.started_at = min(request.started_at, trio.current_time())
            part = data[index * len(data) // count : (index + 1) * len(data) // count]
            await self._stream.send_all(part)
        request.sent_at = trio.current_time()

    async def _receive(self, requests: Sequence[SentRequest], late_s: float) -> None:
        for index, request in enumerate(requests):
            try:
                await self._receive_one(request)
            except (OSError, EOFError):
                self.close()
                for later in requests[index:]:
                    later.ended_at = trio.current_time() - late_s
                return
            if request.headers.get(b"connection") == b"close":
                self.is_open = False

    async def _receive_one(self, request: SentRequest) -> None:
        while b"\r\n\r\n" not in self._received:
            await self._receive_some()
        head, _, _ = self._received.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        headers = dict(line.lower().split(b": ", 1) for line in lines[1:])
        end = len(head) + 4 + int(headers.get(b"content-length", b"0"))
        while len(self._received) < end:
            await self._receive_some()
        request.ended_at = trio.current_time()
        request.headers = headers
        request.answer = self._received[len(head) + 4 : end]
        request.status = int(lines[0].split()[1])
        self._received = self._received[end:]

    async def _receive_some(self) -> None:
        data = await self._stream.receive()
        if not data:
            raise EOFError
        self._received += data
