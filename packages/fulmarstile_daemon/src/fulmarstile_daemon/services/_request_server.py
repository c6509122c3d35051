"""Serves requests of callers or of other daemons on one address."""

from __future__ import annotations

import logging
import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.services._request_ending import RequestEnding
from fulmarstile_daemon.services._server_connection import (
    CallerLeftError,
    Reply,
    ServerConnection,
)
from fulmarstile_daemon.services.events import CallerLeft
from fulmarstile_http.listener import accept_forever, listen
from fulmarstile_http.request_checks import MalformedRequestError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.listener import OutOfDescriptorsError
    from fulmarstile_services.document import RequestLimits

_LOGGER: Final = logging.getLogger(__name__)

_WATCH_S: Final = 0.2
"""Interval at which callers that have left are looked for, in seconds."""
_HELD_RETRY_S: Final = 0.3
"""Delay told to callers while too many large bodies are held, in seconds."""
_POLL_S: Final = 0.01
"""Interval at which answers that are being sent are looked at, in seconds."""
_SWEEP_S: Final = 1.0
"""Interval at which idle connections are looked for, in seconds."""


class RequestServer:
    """Accepts connections and answers their requests one after the other.

    A request whose sender closes the connection is cancelled.

    Args:
        answer: Answers a request; may set what ends it early.
        limits: Returns the limits in force.
        connection_limit: Most connections held open.
        budget: Bound of the memory that messages take.
        log: Log of the daemon.
        id_header: Name of the header that identifies a request in the log.
    """

    def __init__(
        self,
        answer: Callable[[ReceivedRequest, RequestEnding], Awaitable[Reply]],
        limits: Callable[[], RequestLimits],
        connection_limit: int,
        budget: ByteBudget,
        log: EventLog,
        id_header: bytes,
    ) -> None:
        self._answer = answer
        self._limits = limits
        self._connection_limit = connection_limit
        self._budget = budget
        self._log = log
        self._id_header = id_header
        self._connections: dict[ServerConnection, None] = {}
        self._in_flight: dict[ServerConnection, RequestEnding] = {}
        self._is_closing = False
        self._last_request_at = -math.inf
        self._has_in_flight = trio.Event()
        self.callers_left = 0
        """Requests whose sender left before the answer."""

    @property
    def in_flight(self) -> int:
        """Requests that have no answer yet."""
        return len(self._in_flight)

    @property
    def arriving(self) -> int:
        """Requests that have arrived in part."""
        return sum(
            connection.awaits_answer and connection not in self._in_flight
            for connection in self._connections
        )

    @property
    def connections(self) -> int:
        """Connections open."""
        return len(self._connections)

    def is_quiet(self, for_s: float) -> bool:
        """Tells whether all answers have left, no part of a request is there and none came lately.

        Args:
            for_s: Time for which none came, in seconds.

        Returns:
            Whether that is so.
        """
        if any(connection.is_busy for connection in self._connections):
            return False
        return trio.current_time() - self._last_request_at >= for_s

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts and serves connections until cancelled.

        Args:
            address: `host:port` to listen at.
            task_status: Told the address that is listened at.

        Raises:
            OSError: If the address cannot be listened at.
        """
        with listen(address) as listener:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_forever)
                nursery.start_soon(self._sweep_forever)
                task_status.started(listener.address)
                await accept_forever(listener, nursery, self._serve_connection, self._on_exhausted)

    def begin_closing(self) -> None:
        """Closes every connection after its next answer."""
        self._is_closing = True
        for connection in self._connections:
            connection.must_close = True

    def withdraw_all(self) -> None:
        """Keeps the requests in flight from upstreams that do not have them yet."""
        for ending in tuple(self._in_flight.values()):
            ending.withdraw()

    def expire_all(self) -> None:
        """Has everything in flight answered by what is known of it."""
        for ending in tuple(self._in_flight.values()):
            ending.expire()
        self.refuse_unreceived()

    async def wait_answered(self) -> None:
        """Waits until all answers have left."""
        while any(connection.is_busy for connection in self._connections):
            await trio.sleep(_POLL_S)

    def refuse_unreceived(self) -> None:
        """Refuses the requests that have not arrived whole, and so have not run.

        Their connections are read on, as closing them would destroy the refusals.
        """
        reply = make_error_reply(HTTPStatus.SERVICE_UNAVAILABLE, "the daemon stops", _HELD_RETRY_S)
        for connection in self._connections:
            if connection.awaits_answer and connection not in self._in_flight:
                try:
                    connection.refuse(reply)
                except CallerLeftError:
                    _LOGGER.info("a caller left before its request was refused")

    def _on_exhausted(self, error: OutOfDescriptorsError) -> None:
        _LOGGER.warning("cannot accept a connection: %s", error)
        self._evict_idle()

    async def _serve_connection(self, stream: ByteStream) -> None:
        if len(self._connections) >= self._connection_limit:
            self._evict_idle()
        connection = ServerConnection(stream, self._limits, self._budget)
        connection.must_close = self._is_closing
        self._connections[connection] = None
        try:
            await self._serve_requests(connection)
        except CallerLeftError:
            connection.end()
        except Exception:
            # A fault in one request must not end the daemon.
            _LOGGER.exception("serving a connection failed")
            connection.end()
        except BaseException:
            connection.end()
            raise
        finally:
            connection.release_body()
            del self._connections[connection]

    async def _serve_requests(self, connection: ServerConnection) -> None:
        while True:
            try:
                request = await connection.receive_request()
            except MalformedRequestError as error:
                connection.must_close = True
                retry_after_s = (
                    _HELD_RETRY_S if error.status == HTTPStatus.SERVICE_UNAVAILABLE else 0
                )
                await connection.send(make_error_reply(error.status, str(error), retry_after_s))
                break
            if request is None or not connection.awaits_answer:
                connection.end()
                return
            self._last_request_at = trio.current_time()
            reply = await self._run(connection, request)
            connection.release_body()
            await connection.send(reply)
            if not connection.may_continue:
                break
        await connection.close()

    async def _run(self, connection: ServerConnection, request: ReceivedRequest) -> Reply:
        ending = self._in_flight[connection] = RequestEnding()
        self._has_in_flight.set()
        try:
            with ending.scope:
                return await self._answer(request, ending)
        finally:
            del self._in_flight[connection]
        if ending.conclude is not None:
            return ending.conclude()
        self.callers_left += 1
        elapsed_ms = (trio.current_time() - request.arrived_at) * 1000
        self._log.write(
            CallerLeft(request_id=request.headers.get(self._id_header), elapsed_ms=elapsed_ms)
        )
        raise CallerLeftError

    async def _watch_forever(self) -> None:
        while True:
            if not self._in_flight:
                self._has_in_flight = trio.Event()
                await self._has_in_flight.wait()
            await trio.sleep(_WATCH_S)
            for connection, ending in self._in_flight.items():
                if connection.has_ended:
                    ending.leave()

    async def _sweep_forever(self) -> None:
        while True:
            await trio.sleep(_SWEEP_S)
            oldest = trio.current_time() - self._limits().idle_timeout_s
            for connection in list(self._connections):
                if connection.is_idle and connection.idle_since < oldest:
                    connection.end()

    def _evict_idle(self) -> None:
        """Closes the connection that has waited longest for a request, if any waits."""
        idle = [each for each in self._connections if each.is_idle]
        if idle:
            min(idle, key=lambda each: each.idle_since).end()


def make_error_reply(status: int, detail: str, retry_after_s: float = 0.0) -> Reply:
    """Makes an answer of the daemon's own.

    Args:
        status: HTTP status.
        detail: What is wrong, in plain words.
        retry_after_s: Earliest useful time to ask again, in seconds; 0 for none.

    Returns:
        The answer.
    """
    headers = [(b"content-type", b"application/json")]
    if retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return Reply(status, headers, msgspec.json.encode({"error": detail}))
