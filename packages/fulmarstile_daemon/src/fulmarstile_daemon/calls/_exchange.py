"""Exchange of a request and its answer over an acquired connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.calls import _headers
from fulmarstile_daemon.calls._call import CallFailedError, make_refusal
from fulmarstile_http.client_connection import ClientConnection, ExchangeError
from fulmarstile_http.messages import RequestHead
from fulmarstile_wire.errors import VerdictError
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_calls.request import CallRefusal
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection
    from fulmarstile_daemon.calls.settings import CallSettings
    from fulmarstile_http.messages import ResponseHead

_NO_BODY_STATUSES: Final = (204, 304)


@dataclass(slots=True)
class Answer:
    """Answer of an upstream, with the whole body or its first part."""

    status: int
    headers: list[_headers.Header]
    body: bytes
    """Body, or its first part."""
    complete: bool
    """Whether `body` is the whole body."""


class Exchange:
    """Sends a call's request over a connection and receives the answer.

    Args:
        call: The call.
        caller: Connection that the call came from.
        connection: Connection acquired for this attempt.
        settings: Settings of the call proxy.
    """

    def __init__(
        self,
        call: Call,
        caller: CallerConnection,
        connection: ClientConnection,
        settings: CallSettings,
    ) -> None:
        self._call = call
        self._caller = caller
        self._connection = connection
        self._settings = settings

    async def run(self, headers: list[_headers.Header], *, to_daemon: bool) -> Answer:
        """Sends the request and receives the answer, or the beginning of a large one.

        Args:
            headers: Headers of the request.
            to_daemon: Whether the peer is a daemon; the verdict header of an upstream is ignored.

        Returns:
            The answer.

        Raises:
            CallFailedError: If there is no answer that may be passed on.
            CallerDisconnectedError: If the caller disconnected while it sent its body.
        """
        call = self._call
        if trio.current_time() >= call.deadline:
            raise call.make_error(
                RefusalReason.DEADLINE, "the deadline passed before the request was sent"
            )
        try:
            response = await self._send(headers, to_daemon)
            received = _headers.read_headers(response.headers)
            if not to_daemon or _headers.VERDICT not in received.daemon_headers:
                call.verdict = Verdict.RAN
                return await self._receive_body(response, received)
            refusal = await self._receive_refusal(response, received)
        except ExchangeError as error:
            self._update_verdict()
            raise self._make_error(error) from error
        except BaseException:
            self._update_verdict()
            raise
        call.verdict = refusal.verdict
        raise CallFailedError(refusal)

    async def stream_body(self) -> None:
        """Passes on the rest of the answer.

        Raises:
            CallFailedError: If the answer is cut off.
            CallerDisconnectedError: If the caller disconnected.
        """
        try:
            while (part := await self._connection.receive_body()) is not None:
                await self._caller.send_body(part)
                self._extend_deadline()
        except ExchangeError as error:
            raise self._make_error(error) from error

    def _update_verdict(self) -> None:
        call = self._call
        if call.verdict is Verdict.NOT_RUN and self._connection.head_may_have_arrived:
            call.verdict = Verdict.MAY_HAVE_RUN

    def _make_error(self, error: ExchangeError) -> CallFailedError:
        reason = RefusalReason.CONNECTION_LOST
        if self._call.verdict is Verdict.RAN:
            reason = RefusalReason.TRUNCATED
        return self._call.make_error(reason, str(error))

    async def _send(self, headers: list[_headers.Header], to_daemon: bool) -> ResponseHead:
        call = self._call
        connection = self._connection
        if call.body_complete:
            head = _request_head(call, headers)
            await connection.send_request(head, call.body, True)
            return await connection.receive_response()
        if to_daemon:
            headers.append((b"expect", b"100-continue"))
        await connection.send_request(_request_head(call, headers), b"", False)
        if to_daemon:
            response = await connection.receive_continue()
            if response is not None:
                return response
        return await self._upload()

    async def _upload(self) -> ResponseHead:
        """Streams the rest of the body; an early answer ends the upload."""
        call = self._call
        call.has_streamed = True
        call.is_streaming_body = True
        upload = _Upload()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stream_request, upload, nursery.cancel_scope)
            try:
                upload.response = await self._connection.receive_response()
            except ExchangeError as error:
                upload.error = error
            nursery.cancel_scope.cancel()
        if upload.response is not None:
            return upload.response
        if upload.error is None:
            raise ExchangeError("the upload was cancelled")
        raise upload.error

    async def _stream_request(self, upload: _Upload, scope: trio.CancelScope) -> None:
        call = self._call
        try:
            if self._caller.wants_continue:
                await self._caller.send_continue()
            if call.body:
                await self._connection.send_body(call.body)
            while (part := await self._caller.receive_body()) is not None:
                await self._connection.send_body(part)
                self._extend_deadline()
            call.is_streaming_body = False
            await self._connection.send_body(None)
            call.reset_attempt_deadline()
        except ExchangeError:
            return
        except VerdictError as error:
            upload.error = error
            scope.cancel()

    def _extend_deadline(self) -> None:
        """Sets the deadline for the next part of a long body, at most that of the call."""
        self._call.set_attempt_deadline(trio.current_time() + self._settings.progress_timeout_s)

    async def _receive_refusal(
        self, response: ResponseHead, headers: _headers.MessageHeaders
    ) -> CallRefusal:
        """Receives the rest of another daemon's refusal, and reads the refusal from its headers."""
        while await self._connection.receive_body() is not None:
            pass
        return _read_refusal(response.status, headers)

    async def _receive_body(
        self, response: ResponseHead, headers: _headers.MessageHeaders
    ) -> Answer:
        length = headers.content_length
        if length is None and not self._is_delimited(response, headers):
            raise ExchangeError(
                "the response has no length and is not chunked, so its end is unknown"
            )
        body, complete = self._connection.read_received_body()
        if not complete and length is not None and length <= self._settings.buffered_body_limit:
            body += await self._receive_rest()
            complete = True
        return Answer(response.status, headers.end_to_end, body, complete)

    async def _receive_rest(self) -> bytes:
        parts = []
        while (part := await self._connection.receive_body()) is not None:
            parts.append(part)
        return b"".join(parts)

    def _is_delimited(self, response: ResponseHead, headers: _headers.MessageHeaders) -> bool:
        if self._call.request.method == b"HEAD" or response.status in _NO_BODY_STATUSES:
            return True
        return headers.is_chunked


@dataclass(slots=True)
class _Upload:
    """Results of the two directions of an upload."""

    response: ResponseHead | None = None
    error: VerdictError | ExchangeError | None = None


def _request_head(call: Call, headers: list[_headers.Header]) -> RequestHead:
    if call.headers.is_chunked:
        headers.append(_body_header(call))
    return RequestHead(call.request.method, call.request.target, headers)


def _body_header(call: Call) -> _headers.Header:
    """Makes the framing header of a chunked request: its length if known, else chunked."""
    if call.body_complete:
        return (b"content-length", b"%d" % len(call.body))
    return (b"transfer-encoding", b"chunked")


def _read_refusal(status: int, headers: _headers.MessageHeaders) -> CallRefusal:
    """Reads a refusal from the headers of a daemon's answer."""
    try:
        return make_refusal(
            RefusalReason(headers.get_daemon_header(_headers.REASON)),
            Verdict(headers.get_daemon_header(_headers.VERDICT)),
            "refused by the upstream's daemon",
            status=status,
            retry_after_s=float(headers.daemon_headers.get(_headers.RETRY_AFTER, 0)),
        )
    except ValueError as error:
        raise ExchangeError(f"unknown refusal: {error}") from error
