"""In-memory stand-in of the platform's log, served over HTTP/JSON.

Run it with `python -m fulmarstile_testing.log_stand_in --address=127.0.0.1:7300`.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import msgspec
import trio
from absl import app, flags

from fulmarstile_platform.http_log import AppendRequest, AppendResponse, ReadResponse, RecordBody
from fulmarstile_platform.http_server import (
    HttpAnswer,
    HttpRequest,
    listen_http,
    serve_http,
)
from fulmarstile_platform.log import DEFAULT_READ_LIMIT, LogPage
from fulmarstile_testing.log_store import (
    DEFAULT_APPENDS_PER_S,
    DEFAULT_RETENTION_S,
    LogStore,
    LogSwitches,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

_STREAMS_PREFIX: Final = "/v1/streams/"
_RECORDS_SUFFIX: Final = "/records"
_MS_PER_S: Final = 1000
_MAX_LIMIT: Final = 1000
_MAX_CONNECTIONS: Final = 8192

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:7300", "Address to listen on, host:port.")
_RETENTION_S = flags.DEFINE_float(
    "retention_s", DEFAULT_RETENTION_S, "Time for which records are kept, in seconds."
)
_APPENDS_PER_S = flags.DEFINE_float(
    "max_appends_per_s", DEFAULT_APPENDS_PER_S, "Appends accepted per second."
)


class LogStandIn:
    """Answers the requests of log clients and of tests that switch failures.

    Args:
        switches: Initial switches.
    """

    def __init__(self, switches: LogSwitches | None = None) -> None:
        self._store = LogStore(switches)
        self._changed = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Answers one request.

        Args:
            request: Request of a client.

        Returns:
            The response, or None to close the connection without one.
        """
        path = request.path
        if path.startswith("/__stand_in/"):
            return self._control(request)
        if not (path.startswith(_STREAMS_PREFIX) and path.endswith(_RECORDS_SUFFIX)):
            return HttpAnswer(404, b"unknown path")
        name = path[len(_STREAMS_PREFIX) : -len(_RECORDS_SUFFIX)]
        await trio.sleep(self._store.switches.delay_ms / _MS_PER_S)
        if self._store.switches.outage:
            return None
        if request.method == "POST":
            return self._append(name, request.body)
        if request.method == "GET":
            return await self._read(name, request.query)
        return HttpAnswer(405, b"method not allowed")

    def _append(self, name: str, body: bytes) -> HttpAnswer | None:
        try:
            payload = msgspec.json.decode(body, type=AppendRequest).payload
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return HttpAnswer(400, str(error).encode())
        offset = self._store.append(name, payload, time.time())
        if offset is None:
            return HttpAnswer(429, b"too many appends")
        self._wake_readers()
        if self._store.switches.lose_next_answers > 0:
            self._store.switches.lose_next_answers -= 1
            return None
        return HttpAnswer(200, msgspec.json.encode(AppendResponse(offset)))

    async def _read(self, name: str, query: Mapping[str, str]) -> HttpAnswer | None:
        try:
            offset = int(query.get("offset", "0"))
            limit = int(query.get("limit", DEFAULT_READ_LIMIT))
            wait_ms = int(query.get("wait_ms", "0"))
        except ValueError as error:
            return HttpAnswer(400, str(error).encode())
        if offset < 0 or not 1 <= limit <= _MAX_LIMIT or wait_ms < 0:
            return HttpAnswer(400, b"offset, limit or wait_ms is out of range")
        self._store.count_read(name)
        page = self._page(name, offset, limit)
        with trio.move_on_after(wait_ms / _MS_PER_S):
            while not page.records and page.end_offset >= offset:
                await self._changed.wait()
                if self._store.switches.outage:
                    return None
                page = self._page(name, offset, limit)
        records = tuple(RecordBody(r.offset, r.payload, r.appended_at_ms) for r in page.records)
        response = ReadResponse(records, page.first_offset, page.end_offset)
        return HttpAnswer(200, msgspec.json.encode(response))

    def _page(self, name: str, offset: int, limit: int) -> LogPage:
        return self._store.read(name, offset, limit, time.time())

    def _control(self, request: HttpRequest) -> HttpAnswer:
        match request.method, request.path:
            case "PUT", "/__stand_in/switches":
                return self._set_switches(request.body)
            case "POST", "/__stand_in/forget":
                self._store.forget()
                self._wake_readers()
                return HttpAnswer(200, b"{}")
            case "GET", "/__stand_in/counts":
                return HttpAnswer(200, msgspec.json.encode(self._store.counts))
        return HttpAnswer(404, b"unknown path")

    def _set_switches(self, body: bytes) -> HttpAnswer:
        current = msgspec.to_builtins(self._store.switches)
        try:
            changes = msgspec.json.decode(body, type=dict[str, object])
            self._store.switches = msgspec.convert(current | changes, LogSwitches)
        except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
            return HttpAnswer(400, str(error).encode())
        self._wake_readers()
        return HttpAnswer(200, msgspec.json.encode(self._store.switches))

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


async def serve_log(
    address: str,
    switches: LogSwitches | None = None,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a log stand-in until cancelled.

    Args:
        address: `host:port` to listen on; port 0 takes a free one.
        switches: Initial switches.
        task_status: Is given the bound address.
    """
    listeners = await listen_http(address)
    bound = listeners[0].socket.getsockname()
    task_status.started(f"{bound[0]}:{bound[1]}")
    await serve_http(listeners, LogStandIn(switches).handle, _MAX_CONNECTIONS)


def main(argv: list[str]) -> None:
    """Runs the stand-in.

    Args:
        argv: Command line; flags only.
    """
    if len(argv) > 1:
        raise app.UsageError("the log stand-in takes flags only")
    switches = LogSwitches(retention_s=_RETENTION_S.value, max_appends_per_s=_APPENDS_PER_S.value)
    trio.run(serve_log, _ADDRESS.value, switches)


if __name__ == "__main__":
    app.run(main)
