"""A single HTTP request and its response over a connection to the upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_http.client_connection import ExchangeError
from fulmarstile_http.headers import read_headers
from fulmarstile_http.messages import RequestHead

if TYPE_CHECKING:
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.client_connection import ClientConnection
    from fulmarstile_http.headers import Header, MessageHeaders
    from fulmarstile_http.messages import ResponseHead

_SMALL_BODY_BYTES: Final = 32 * 1024
"""Largest body that is sent without watching for an early response."""
_KEEP_ALIVE_MARGIN_S: Final = 1.0
"""Time before the server's keep-alive timeout from which a connection is not reused, in seconds."""

_MAX_TIMEOUT_DIGITS: Final = 9
"""Longest keep-alive timeout that is read, in decimal digits; a longer one sets no limit."""


class ResponseTooLargeError(ExchangeError):
    """A response exceeds the memory budget, or was aborted as the largest one when it ran out."""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete HTTP response."""

    status: int
    headers: MessageHeaders
    body: bytes
    head_at: float = 0.0
    """Time at which its head arrived, in seconds; 0 if another daemon received it."""


class Exchange:
    """Sends one request and receives the responses that follow it.

    Args:
        connection: Connection acquired for the exchange.
        method: Method of the request.
        target: Target of the request.
        headers: Headers with names in lower case; the content length is set from the body.
        body: Complete body.
        budget: Memory limit for responses while they are received.
    """

    def __init__(
        self,
        connection: ClientConnection,
        method: bytes,
        target: bytes,
        headers: list[Header],
        body: bytes,
        budget: ByteBudget,
    ) -> None:
        self._connection = connection
        self._budget = budget
        framed = [header for header in headers if header[0] != b"content-length"]
        if body or method in (b"POST", b"PUT", b"PATCH"):
            framed.append((b"content-length", b"%d" % len(body)))
        self._head = RequestHead(method, target, framed)
        self._body = body
        self.is_body_unfinished = False
        """Whether the response preceded the end of the body, so the connection must be closed."""
        self._has_answer = False

    @property
    def may_have_arrived(self) -> bool:
        """Whether the server may have received the request head."""
        return self._connection.head_may_have_arrived

    def is_answering(self) -> bool:
        """Returns whether the head of a response has arrived, and the rest too or is expected."""
        return self._has_answer

    async def run(self) -> UpstreamResponse:
        """Sends the request and receives the first response.

        Returns:
            The response.

        Raises:
            ExchangeError: If no complete response arrives.
        """
        if len(self._body) <= _SMALL_BODY_BYTES:
            await self._connection.send_request(self._head, self._body, True)
            return await self._receive()
        return await self._run_with_large_body()

    async def receive_next(self) -> UpstreamResponse:
        """Receives another response, after one that belonged to an earlier request.

        Returns:
            The response.

        Raises:
            ExchangeError: If no complete response arrives.
        """
        self._has_answer = False
        self._connection.expect_another_response()
        return await self._receive()

    async def _run_with_large_body(self) -> UpstreamResponse:
        """Sends the body while watching for an early response, which stops the sending."""
        sent = False
        send_error: ExchangeError | None = None

        async def send() -> None:
            nonlocal sent, send_error
            try:
                await self._connection.send_request(self._head, self._body, True)
                sent = True
            except ExchangeError as error:
                # The server may have sent a response before it stopped reading.
                send_error = error

        response: UpstreamResponse | None = None
        receive_error: ExchangeError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                response = await self._receive()
            except ExchangeError as error:
                receive_error = error
            nursery.cancel_scope.cancel()
        self.is_body_unfinished = not sent
        if response is not None:
            return response
        raise send_error or receive_error or ExchangeError("the exchange was cancelled")

    async def _receive(self) -> UpstreamResponse:
        response = await self._connection.receive_response()
        head_at = trio.current_time()
        self._has_answer = True
        try:
            body = await self._receive_body()
        except ExchangeError:
            self._has_answer = False
            raise
        self._note_keep_alive(response)
        return UpstreamResponse(response.status, read_headers(response.headers), body, head_at)

    async def _receive_body(self) -> bytes:
        body = bytearray()
        with self._budget.allocate(self._connection.abort) as allocation:
            try:
                while (part := await self._connection.receive_body()) is not None:
                    if not allocation.try_grow(len(part)):
                        raise ResponseTooLargeError(
                            f"the response is larger than {allocation.size} bytes"
                        )
                    body += part
            except ExchangeError as error:
                # The error refers to this call for as long as it is handled.
                body.clear()
                if allocation.is_aborted:
                    raise ResponseTooLargeError(
                        "the response was aborted as the largest in memory"
                    ) from error
                raise
        return bytes(body)

    def _note_keep_alive(self, response: ResponseHead) -> None:
        """Limits the idle time of the connection to less than the server's keep-alive timeout."""
        for name, value in response.headers:
            if name.lower() != b"keep-alive":
                continue
            for option in value.split(b","):
                key, _, timeout = option.strip().partition(b"=")
                is_number = timeout.isdigit() and len(timeout) <= _MAX_TIMEOUT_DIGITS
                if key.lower() == b"timeout" and is_number:
                    self._connection.idle_limit_s = max(0.0, int(timeout) - _KEEP_ALIVE_MARGIN_S)
