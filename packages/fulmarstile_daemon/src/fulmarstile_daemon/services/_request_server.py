"""HTTP server for the requests of callers."""

from __future__ import annotations

import logging
import math
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_daemon.background_tasks import keep_running
from fulmarstile_daemon.services._caller_messages import CallerDisconnectedError, CallerResponse
from fulmarstile_daemon.services._loop_lateness import LoopLateness
from fulmarstile_daemon.services._request_pipeline import RequestPipeline
from fulmarstile_daemon.services._request_reader import never
from fulmarstile_daemon.services._request_scope import FINAL_RECEIVE_S
from fulmarstile_daemon.services._server_connection import ServerConnection
from fulmarstile_daemon.services.events import CallerLeft, RequestUnreadable
from fulmarstile_http.input_watch import open_input_watch
from fulmarstile_http.listener import accept_forever, listen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._caller_messages import ReceivedRequest
    from fulmarstile_daemon.services._request_scope import RequestScope
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.metrics import ServiceMetrics
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.input_watch import InputWatch
    from fulmarstile_http.listener import OutOfDescriptorsError
    from fulmarstile_http.request_checks import MalformedRequestError
    from fulmarstile_services.document import RequestLimits

_LOGGER: Final = logging.getLogger(__name__)

_WATCH_INTERVAL_S: Final = 0.2
"""Interval of the check for disconnected callers, in seconds."""
_MEMORY_RETRY_S: Final = 0.3
"""`retry-after` while request bodies exceed the memory limit or during shutdown, in seconds."""
_OUTDATED_RETRY_S: Final = 0.3
"""`retry-after` of a request that newer limits may allow, in seconds."""
_LIMIT_STATUSES: Final = (413, 431)
"""Statuses of requests that are larger than the document allows."""
_POLL_INTERVAL_S: Final = 0.01
"""Interval of the check whether all responses are sent, in seconds."""
_MIN_FINAL_PASSES: Final = 2
"""Times that the connections are looked at before they are closed: what waits is read, then
answered."""
_IDLE_CHECK_INTERVAL_S: Final = 1.0
"""Interval of the check for idle connections, in seconds."""


class RequestServer:
    """Accepts connections and serves their requests, answered in order.

    A request whose caller closes the connection is cancelled.

    Args:
        handle: Handles a request; sets the deadline of its scope.
        limits: Returns the current limits.
        connection_limit: Maximum number of open connections.
        budget: Memory limit for messages.
        log: Log of the daemon.
        id_header: Name of the header that identifies a request in the log.
        lateness: Measures how late the event loop is while requests are in flight.
        find_wait_s: Returns how long the caller of a request waits for the answer, in seconds.
        may_be_outdated: Returns whether newer limits may exist, which allow larger requests.
    """

    def __init__(
        self,
        handle: Callable[[ReceivedRequest, RequestScope], Awaitable[CallerResponse]],
        limits: Callable[[], RequestLimits],
        connection_limit: int,
        budget: ByteBudget,
        log: EventLog,
        id_header: bytes,
        lateness: LoopLateness | None = None,
        find_wait_s: Callable[[ReceivedRequest], float] = never,
        may_be_outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._connection_limit = connection_limit
        self._budget = budget
        self._log = log
        self._id_header = id_header
        self._lateness = lateness or LoopLateness(log)
        self._find_wait_s = find_wait_s
        self._may_be_outdated = may_be_outdated
        self._costly_input = trio.Lock()
        self._connections: dict[ServerConnection, RequestPipeline] = {}
        self._in_flight: dict[RequestScope, ServerConnection] = {}
        self._is_closing = False
        self._accept_scope = trio.CancelScope()
        self._has_stopped_accepting = trio.Event()
        self._expired_at = -math.inf
        self._last_answers: list[RequestScope] = []
        """Requests of which a part of the answer had arrived when all others were ended."""
        self._last_request_at = -math.inf
        self._lateness.add_sign_of_life(lambda: self._last_request_at)
        self._has_in_flight = trio.Event()
        self.abandoned_requests = 0
        """Requests whose caller disconnected before the response."""

    @property
    def in_flight(self) -> int:
        """Requests without a response so far."""
        return sum(pipeline.in_flight for pipeline in self._connections.values())

    @property
    def arriving(self) -> int:
        """Requests that have been received in part."""
        return sum(connection.is_receiving for connection in self._connections)

    @property
    def unread(self) -> int:
        """Connections with input that was not read."""
        return sum(connection.has_unread for connection in self._connections)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def add_gauges(self, metrics: ServiceMetrics) -> None:
        """Adds the gauges of callers' requests.

        Args:
            metrics: Metrics of the daemon.
        """
        add = metrics.add_gauge
        add("requests_in_flight", lambda: self.in_flight)
        add("caller_connections", lambda: self.connections)
        add("callers_left", lambda: self.abandoned_requests)

    def is_quiet(self, for_s: float) -> bool:
        """Checks that all responses are sent, and no request is being received or arrived lately.

        Args:
            for_s: Required time since the last request, in seconds.

        Returns:
            Whether the server is quiet.
        """
        if any(connection.is_busy for connection in self._connections):
            return False
        return trio.current_time() - self._last_request_at >= for_s

    async def serve(
        self, address: str, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts and serves connections until cancelled.

        Args:
            address: `host:port` to listen on.
            task_status: Receives the address in use.

        Raises:
            OSError: If it cannot listen on the address.
        """
        with listen(address, peer_may_read_late=True) as listener, open_input_watch() as watch:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(keep_running, watch.run)
                nursery.start_soon(keep_running, self._watch_callers)
                nursery.start_soon(keep_running, self._close_idle_forever)
                task_status.started(listener.address)
                serve = partial(self._serve_connection, nursery, watch)
                with self._accept_scope:
                    await keep_running(accept_forever, listener, nursery, serve, self._on_exhausted)
                for stream in listener.accept_pending():
                    nursery.start_soon(self._serve_pipeline, *self._open(nursery, watch, stream))
                listener.close()
                self._has_stopped_accepting.set()
                await trio.sleep_forever()

    def begin_closing(self) -> None:
        """Closes every connection after the response to the last request that has arrived on it."""
        self._is_closing = True
        for connection in self._connections:
            connection.must_close = True

    def withdraw_all(self) -> None:
        """Cancels the requests in flight at upstreams that have not received them yet."""
        for scope in tuple(self._in_flight):
            scope.withdraw()

    def expire_all(self) -> None:
        """Ends all requests in flight; their responses are derived from their state so far.

        Those whose answer is arriving are ended by `wait_answered` or `finish`.
        """
        self._expired_at = trio.current_time()
        self._last_answers = [scope for scope in self._in_flight if scope.is_answering()]
        for scope in tuple(self._in_flight):
            if scope not in self._last_answers:
                scope.expire()
        self.refuse_unreceived()

    def _expire_last_answers(self) -> None:
        for scope in self._last_answers:
            if scope in self._in_flight:
                scope.expire()

    async def wait_answered(self) -> None:
        """Waits until all responses are sent, and for a limited time for those that arrive."""
        with trio.move_on_after(FINAL_RECEIVE_S):
            while any(scope in self._in_flight for scope in self._last_answers):
                await trio.sleep(_POLL_INTERVAL_S)
        self._expire_last_answers()
        while any(connection.is_busy for connection in self._connections):
            await trio.sleep(_POLL_INTERVAL_S)

    async def finish(self, timeout_s: float) -> None:
        """Answers all requests that have arrived, then closes the connections and accepts no more.

        Returns when all connections are closed. The event loop gets the time to read what has
        arrived even if it is late, so the time limit may be exceeded by its lateness.

        Args:
            timeout_s: Time limit in seconds.
        """
        self._expire_last_answers()
        self._accept_scope.cancel()
        await self._has_stopped_accepting.wait()
        ends_at = trio.current_time() + timeout_s
        passes = 0
        while self._connections and (passes < _MIN_FINAL_PASSES or trio.current_time() < ends_at):
            self.refuse_unreceived()
            for connection in tuple(self._connections):
                if connection.is_reusable:
                    connection.try_close_idle()
            await trio.sleep(_POLL_INTERVAL_S)
            passes += 1

    def refuse_unreceived(self) -> None:
        """Refuses the requests that have not been received completely, and so have not run.

        Their connections are still read, because closing them could discard the refusals.
        """
        for pipeline in self._connections.values():
            try:
                pipeline.refuse_partial(_make_stopping_response())
            except CallerDisconnectedError:
                _LOGGER.info("caller disconnected before its request was refused")

    def _on_exhausted(self, error: OutOfDescriptorsError) -> None:
        _LOGGER.warning("cannot accept a connection: %s", error)
        self._evict()

    async def _serve_connection(
        self, nursery: trio.Nursery, watch: InputWatch, stream: ByteStream
    ) -> None:
        try:
            if len(self._connections) >= self._connection_limit:
                self._evict()
            connection, pipeline = self._open(nursery, watch, stream)
        except Exception:
            # An error on one connection must not terminate the daemon.
            _LOGGER.exception("accepting a connection failed")
            stream.close()
            return
        await self._serve_pipeline(connection, pipeline)

    def _open(
        self, nursery: trio.Nursery, watch: InputWatch, stream: ByteStream
    ) -> tuple[ServerConnection, RequestPipeline]:
        connection = ServerConnection(
            stream,
            self._limits,
            self._budget,
            self._make_malformed_response,
            self._find_wait_s,
            self._costly_input,
        )
        connection.must_close = self._is_closing
        pipeline = RequestPipeline(connection, self._run, nursery, watch)
        self._connections[connection] = pipeline
        return connection, pipeline

    def _make_malformed_response(self, error: MalformedRequestError) -> CallerResponse:
        """Creates and logs the response to a request that cannot be read or exceeds a limit."""
        status, detail, delay_s = error.status, str(error), 0.0
        if status in _LIMIT_STATUSES and self._may_be_outdated():
            status, delay_s = HTTPStatus.SERVICE_UNAVAILABLE.value, _OUTDATED_RETRY_S
            detail += ", but newer limits may exist"
        elif status == HTTPStatus.SERVICE_UNAVAILABLE:
            delay_s = _MEMORY_RETRY_S
        self._log.write(RequestUnreadable(status=status, reason=detail))
        return make_error_response(status, detail, delay_s)

    async def _serve_pipeline(
        self, connection: ServerConnection, pipeline: RequestPipeline
    ) -> None:
        try:
            await pipeline.serve()
        except CallerDisconnectedError:
            connection.close_now()
        except Exception:
            # An error in one request must not terminate the daemon.
            _LOGGER.exception("serving a connection failed")
            connection.close_now()
        except BaseException:
            connection.close_now()
            raise
        finally:
            del self._connections[connection]

    async def _run(
        self, connection: ServerConnection, request: ReceivedRequest, scope: RequestScope
    ) -> CallerResponse:
        if request.arrived_at <= self._expired_at:
            # It waited behind others of its connection, and there is no time left to run it.
            return _make_stopping_response()
        self._last_request_at = trio.current_time()
        self._in_flight[scope] = connection
        self._has_in_flight.set()
        try:
            with scope.cancel_scope:
                return await self._handle(request, scope)
        except Exception:
            # The caller still gets an answer, which doesn't say whether the request has run.
            _LOGGER.exception("handling a request failed")
            return make_error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")
        finally:
            del self._in_flight[scope]
            make_response = scope.release()
        if make_response is not None:
            return make_response()
        self.abandoned_requests += 1
        elapsed_ms = (trio.current_time() - request.arrived_at) * 1000
        self._log.write(
            CallerLeft(request_id=request.headers.get(self._id_header), elapsed_ms=elapsed_ms)
        )
        raise CallerDisconnectedError

    async def _watch_callers(self) -> None:
        while True:
            if not self._in_flight:
                self._has_in_flight = trio.Event()
                await self._has_in_flight.wait()
            await self._lateness.sleep(_WATCH_INTERVAL_S)
            for scope, connection in self._in_flight.items():
                if connection.has_ended:
                    scope.abandon()

    async def _close_idle_forever(self) -> None:
        while True:
            await trio.sleep(_IDLE_CHECK_INTERVAL_S)
            oldest = trio.current_time() - self._limits().idle_timeout_s
            for connection in list(self._connections):
                if connection.idle_since < oldest:
                    connection.try_close_idle()

    def _evict(self) -> None:
        """Makes room for a connection: closes an idle one, or ends a message without progress."""
        if not self._evict_idle():
            self._budget.transfers.drop_longest_stalled()

    def _evict_idle(self) -> bool:
        """Closes the connection that has been idle longest; returns whether one is idle."""
        idle = [connection for connection in self._connections if connection.is_idle]
        for connection in sorted(idle, key=lambda connection: connection.idle_since):
            if connection.try_close_idle():
                return True
        return False


def make_error_response(status: int, detail: str, retry_after_s: float = 0.0) -> CallerResponse:
    """Creates an error response of the daemon itself.

    Args:
        status: HTTP status.
        detail: Description of the error.
        retry_after_s: Delay before a retry is worthwhile, in seconds; 0 for none.

    Returns:
        The response.
    """
    headers = [(b"content-type", b"application/json")]
    if retry_after_s > 0.0:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    return CallerResponse(status, headers, msgspec.json.encode({"error": detail}))


def _make_stopping_response() -> CallerResponse:
    return make_error_response(HTTPStatus.SERVICE_UNAVAILABLE, "the daemon stops", _MEMORY_RETRY_S)
