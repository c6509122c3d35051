"""One request and its whole answer over a connection to an upstream or a daemon."""

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
"""Size up to which a body is sent without looking for an early answer."""
_KEEP_ALIVE_MARGIN_S: Final = 1.0


class AnswerTooLargeError(ExchangeError):
    """An answer exceeds what may be held in memory, or is the largest one when that is full."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: MessageHeaders
    body: bytes


class Exchange:
    """Sends one request and receives the answers that arrive for it.

    Args:
        connection: Connection acquired for the exchange.
        method: Method of the request.
        target: Target of the request.
        headers: Headers without those of the body's length, with names in lower case.
        body: Whole body.
        budget: Bound of the memory that answers take while they arrive.
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
        framed = [each for each in headers if each[0] != b"content-length"]
        if body or method in (b"POST", b"PUT", b"PATCH"):
            framed.append((b"content-length", b"%d" % len(body)))
        self._head = RequestHead(method, target, framed)
        self._body = body
        self.is_cut = False
        """Whether the answer came before the body was sent, so that the connection must end."""

    @property
    def may_have_arrived(self) -> bool:
        """Whether the other side may have got the request's head."""
        return self._connection.head_may_have_arrived

    async def run(self) -> Answer:
        """Sends the request and receives the first answer.

        Returns:
            The answer.

        Raises:
            ExchangeError: If there is no whole answer.
        """
        if len(self._body) <= _SMALL_BODY_BYTES:
            await self._connection.send_request(self._head, self._body, True)
            return await self._receive()
        return await self._run_with_large_body()

    async def receive_next(self) -> Answer:
        """Receives the answer behind one that belonged to an earlier request.

        Returns:
            The answer.

        Raises:
            ExchangeError: If there is no whole answer.
        """
        self._connection.expect_another_response()
        return await self._receive()

    async def _run_with_large_body(self) -> Answer:
        """Sends the body while an early answer may arrive, which ends the sending."""
        sent = False
        send_error: ExchangeError | None = None

        async def send() -> None:
            nonlocal sent, send_error
            try:
                await self._connection.send_request(self._head, self._body, True)
                sent = True
            except ExchangeError as error:
                # The answer may have been sent before the other side stopped reading.
                send_error = error

        answer: Answer | None = None
        receive_error: ExchangeError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            try:
                answer = await self._receive()
            except ExchangeError as error:
                receive_error = error
            nursery.cancel_scope.cancel()
        self.is_cut = not sent
        if answer is not None:
            return answer
        raise send_error or receive_error or ExchangeError("the exchange was cancelled")

    async def _receive(self) -> Answer:
        response = await self._connection.receive_response()
        body = await self._receive_body()
        self._note_keep_alive(response)
        return Answer(response.status, read_headers(response.headers), body)

    async def _receive_body(self) -> bytes:
        parts: list[bytes] = []
        with self._budget.hold(self._connection.abort) as held:
            try:
                while (part := await self._connection.receive_body()) is not None:
                    if not held.take(len(part)):
                        raise AnswerTooLargeError(f"the answer has over {held.size} bytes")
                    parts.append(part)
            except ExchangeError as error:
                if held.is_cut:
                    raise AnswerTooLargeError("the answer was the largest one held") from error
                raise
        return b"".join(parts)

    def _note_keep_alive(self, response: ResponseHead) -> None:
        """Keeps the connection from being used when the other side is about to close it."""
        for name, value in response.headers:
            if name.lower() != b"keep-alive":
                continue
            for option in value.split(b","):
                key, _, seconds = option.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    self._connection.idle_limit_s = max(0.0, int(seconds) - _KEEP_ALIVE_MARGIN_S)
