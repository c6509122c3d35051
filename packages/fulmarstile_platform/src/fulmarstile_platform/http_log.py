"""Client of the log over HTTP/JSON."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio

from fulmarstile_platform.http import HttpClient, HttpClientSettings, HttpError
from fulmarstile_platform.log import (
    DEFAULT_READ_LIMIT,
    LogPage,
    LogRecord,
    LogRefusedError,
    LogUnavailableError,
)
from fulmarstile_wire.decoding import DECODE_ERRORS
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_platform.http import HttpResponse

_Body = TypeVar("_Body", bound=msgspec.Struct)

_OK: Final = 200
_BAD_REQUEST: Final = 400
_TOO_MANY_REQUESTS: Final = 429
_SERVER_ERROR: Final = 500
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class HttpLogSettings:
    """Limits of an `HttpLog`."""

    append_timeout_s: float = 5.0
    read_timeout_s: float = 5.0
    """Longest time for a read, in addition to its long poll."""
    max_append_connections: int = 8
    max_read_connections: int = 32
    """Maximum number of connections for reads; a long poll occupies one."""
    connect_timeout_s: float = 2.0


class AppendRequest(msgspec.Struct, frozen=True):
    """Body of an append."""

    payload: bytes
    """Bytes of the record, base64 in JSON."""


class AppendResponse(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


class RecordBody(msgspec.Struct, frozen=True):
    """One record in the response to a read."""

    offset: int
    payload: bytes
    appended_at_ms: int


class ReadResponse(msgspec.Struct, frozen=True):
    """Response of the log to a read of records."""

    records: tuple[RecordBody, ...]
    first_offset: int
    end_offset: int


class HttpLog:
    """Client of a log with an HTTP/JSON interface.

    Args:
        address: `host:port` of the log.
        settings: Limits of the client.
    """

    def __init__(self, address: str, settings: HttpLogSettings | None = None) -> None:
        self._settings = settings or HttpLogSettings()
        self._appends = HttpClient(address, self._client_settings(appends=True))
        self._reads = HttpClient(address, self._client_settings(appends=False))

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record.

        Args:
            stream: Name of the stream.
            payload: Bytes of the record.

        Returns:
            Offset of the record.

        Raises:
            LogUnavailableError: If the append failed; its verdict says whether it may have taken
                effect.
            LogRefusedError: If the log refused the record.
        """
        body = msgspec.json.encode(AppendRequest(payload))
        timeout_s = self._settings.append_timeout_s
        try:
            response = await self._appends.request("POST", _records_path(stream), body, timeout_s)
        except HttpError as error:
            raise LogUnavailableError(f"log: {error}", error.verdict) from error
        _check_status(response, Verdict.MAY_HAVE_RUN)
        return _decode(response, AppendResponse, Verdict.MAY_HAVE_RUN).offset

    async def read(
        self,
        stream: str,
        offset: int,
        limit: int = DEFAULT_READ_LIMIT,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Reads records starting at an offset.

        Args:
            stream: Name of the stream; an unknown stream reads as empty.
            offset: First offset to read.
            limit: Maximum number of records to return.
            wait_s: Longest time to wait for a first record (long poll), in seconds.

        Returns:
            The page, possibly without records.

        Raises:
            LogUnavailableError: If the log cannot be reached.
            LogRefusedError: If the log refused the request.
        """
        query = urlencode({"offset": offset, "limit": limit, "wait_ms": round(wait_s * _MS_PER_S)})
        timeout_s = self._settings.read_timeout_s + wait_s
        path = f"{_records_path(stream)}?{query}"
        try:
            response = await self._reads.request("GET", path, timeout_s=timeout_s)
        except HttpError as error:
            raise LogUnavailableError(f"log: {error}", Verdict.NOT_RUN) from error
        _check_status(response, Verdict.NOT_RUN)
        page = _decode(response, ReadResponse, Verdict.NOT_RUN)
        records = tuple(LogRecord(r.offset, r.payload, r.appended_at_ms) for r in page.records)
        return LogPage(records, page.first_offset, page.end_offset)

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._appends.aclose()
        await self._reads.aclose()

    def _client_settings(self, *, appends: bool) -> HttpClientSettings:
        settings = self._settings
        limit = settings.max_append_connections if appends else settings.max_read_connections
        return HttpClientSettings(limit, settings.connect_timeout_s)


@asynccontextmanager
async def open_http_log(
    address: str, settings: HttpLogSettings | None = None
) -> AsyncIterator[HttpLog]:
    """Opens a client of the log and closes its connections at the end.

    Args:
        address: `host:port` of the log.
        settings: Limits of the client.

    Yields:
        The client.
    """
    log = HttpLog(address, settings)
    try:
        yield log
    finally:
        with trio.CancelScope(shield=True):
            await log.aclose()


def _records_path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}/records"


def _check_status(response: HttpResponse, verdict: Verdict) -> None:
    if response.status == _OK:
        return
    reason = response.body[:200].decode("utf-8", "replace")
    message = f"log answered {response.status}: {reason}"
    if response.status == _TOO_MANY_REQUESTS:
        raise LogUnavailableError(message, Verdict.NOT_RUN)
    if _BAD_REQUEST <= response.status < _SERVER_ERROR:
        raise LogRefusedError(message)
    raise LogUnavailableError(message, verdict)


def _decode(response: HttpResponse, body_type: type[_Body], verdict: Verdict) -> _Body:
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except DECODE_ERRORS as error:
        raise LogUnavailableError(f"log sent a malformed answer: {error}", verdict) from error
