"""Runs the requests of one connection, and answers them in order."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._caller_messages import CallerDisconnectedError
from fulmarstile_daemon.services._read_ahead import READ_AHEAD_REQUESTS
from fulmarstile_daemon.services._request_scope import RequestScope

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._caller_messages import (
        CallerExchange,
        CallerResponse,
        ReceivedRequest,
    )
    from fulmarstile_daemon.services._server_connection import ServerConnection
    from fulmarstile_http.input_watch import InputWatch

_LOGGER: Final = logging.getLogger(__name__)

_ARRIVAL_CHECK_S: Final = 0.01
"""Time after which a request that is to be refused counts as not arrived whole, in seconds."""
_TRANSIT_S: Final = 0.05
"""Time within which requests arrive that a caller sent while its connection wasn't read."""
_TRANSIT_CHECK_S: Final = 0.005
"""Interval of the check whether one has arrived, in seconds."""


class RequestPipeline:
    """Serves a connection whose caller may send requests before earlier ones are answered.

    The task of the connection handles the request whose response is next and sends the response.
    Only while there is input behind that request, a second task reads ahead, and requests with safe
    methods run in tasks of their own. So a caller that doesn't pipeline is served by one task.

    Args:
        connection: The connection.
        handle: Handles a request; raises `CallerDisconnectedError` if it was abandoned.
        nursery: Runs the additional tasks, longer than the pipeline.
        watch: Notices input while the task of the connection doesn't read.
    """

    def __init__(
        self,
        connection: ServerConnection,
        handle: Callable[
            [ServerConnection, ReceivedRequest, RequestScope], Awaitable[CallerResponse]
        ],
        nursery: trio.Nursery,
        watch: InputWatch,
    ) -> None:
        self._connection = connection
        self._handle = handle
        self._nursery = nursery
        self._watch = watch
        self._descriptor = connection.fileno()
        self._next: CallerExchange | None = None
        self._waiting: deque[CallerExchange] = deque()
        self._running: dict[CallerExchange, RequestScope] = {}
        self._reading: trio.CancelScope | None = None
        self._is_input_ended = False
        self._is_lost = False
        self._is_armed = False
        self._refusal: CallerResponse | None = None

    @property
    def in_flight(self) -> int:
        """Requests that were read and have no response yet."""
        return self._connection.unanswered

    async def serve(self) -> None:
        """Serves requests until the connection is closed.

        Raises:
            CallerDisconnectedError: If the caller disconnected before all responses were sent.
        """
        if self._connection.fileno() < 0:
            # It was closed as idle at the end of the daemon, before this task ran.
            return
        self._watch.add(self._descriptor, self._on_input)
        try:
            await self._serve_requests()
        except trio.Cancelled:
            # The requests in flight are cut by the end of the daemon, not by their caller.
            self._running.clear()
            raise
        finally:
            self._watch.remove(self._descriptor, self._on_input)
            self._cancel()

    def refuse_partial(self, response: CallerResponse) -> None:
        """Refuses a request that has been received in part, so that it is not run.

        Behind requests without a response it is refused in its turn, and what has arrived of it is
        read until then.

        Args:
            response: The response, small enough to fit the send buffer.

        Raises:
            CallerDisconnectedError: If the caller disconnected or does not read.
        """
        connection = self._connection
        if not connection.is_receiving or not connection.is_reusable:
            return
        if not connection.is_busy_before_partial:
            connection.refuse(response)
            return
        connection.must_close = True
        self._refusal = response

    async def _serve_requests(self) -> None:
        connection = self._connection
        while connection.is_reusable:
            exchange = await self._take_next()
            if exchange is None:
                connection.close_now()
                return
            if connection.is_refused:
                connection.drop(exchange)
                break
            response = await self._answer(exchange)
            connection.release(exchange)
            has_next = self._has_next()
            if not has_next and connection.must_close and connection.sends_ahead:
                has_next = await self._wait_for_next()
            await connection.send(exchange, response, has_next)
        await self._stop_reading()
        await connection.close()

    async def _wait_for_next(self) -> bool:
        """Checks for a request again until those that were on their way must have arrived.

        What the kernels had no room for arrives only when what is before it has been read.
        """
        waits_until = trio.current_time() + _TRANSIT_S
        while not self._has_next() and trio.current_time() < waits_until:
            await trio.sleep(_TRANSIT_CHECK_S)
        return self._has_next()

    def _has_next(self) -> bool:
        """Checks for a request that the next response must not exclude by closing the connection.

        What has arrived may be a request, whether it was read or not.
        """
        connection = self._connection
        if self._waiting or not connection.must_close:
            return bool(self._waiting)
        if self._is_input_ended or not (connection.is_receiving or connection.has_unread):
            return False
        connection.sends_ahead = True
        return True

    async def _take_next(self) -> CallerExchange | None:
        """Returns the request whose response is next, once it is read."""
        self._next = None
        read_ahead = self._connection.read_ahead
        while not self._waiting:
            if self._is_lost:
                raise CallerDisconnectedError
            if self._reading is None:
                self._next = await self._connection.receive_request()
                return self._next
            read_ahead.is_next = True
            read_ahead.notify()
            if self._refusal is None:
                await read_ahead.wait_changed()
            else:
                await self._refuse_next(self._refusal)
        exchange = self._next = self._waiting.popleft()
        read_ahead.is_next = False
        read_ahead.pass_on(exchange.held_bytes)
        read_ahead.notify()
        return exchange

    async def _refuse_next(self, refusal: CallerResponse) -> None:
        """Refuses the request that is being read, whole if it has arrived whole."""
        connection = self._connection
        with trio.move_on_after(_ARRIVAL_CHECK_S):
            await connection.read_ahead.wait_changed()
        if connection.is_receiving and not connection.has_unread:
            connection.refuse(refusal)

    async def _answer(self, exchange: CallerExchange) -> CallerResponse:
        """Handles a request, or waits for the task that does, while input is read ahead."""
        if exchange.request is None:
            return self._get_response(exchange)
        if self._waiting:
            self._start_safe()
        self._resume_reading()
        try:
            if exchange.answered is None:
                return await self._handle(self._connection, exchange.request, RequestScope())
            await exchange.answered.wait()
            return self._get_response(exchange)
        finally:
            if self._is_armed:
                self._is_armed = False
                self._watch.disarm(self._descriptor)

    def _get_response(self, exchange: CallerExchange) -> CallerResponse:
        if exchange.response is None:
            raise CallerDisconnectedError
        return exchange.response

    def _start_safe(self) -> None:
        """Starts the requests that may run at the same time as the next one."""
        if self._next is None or not self._next.is_safe:
            return
        for exchange in self._waiting:
            if not exchange.is_safe or exchange.request is None:
                return
            if exchange.answered is None:
                exchange.answered = trio.Event()
                scope = self._running[exchange] = RequestScope()
                self._nursery.start_soon(self._run, exchange, exchange.request, scope)

    async def _run(
        self, exchange: CallerExchange, request: ReceivedRequest, scope: RequestScope
    ) -> None:
        """Handles a request before its turn."""
        try:
            response = await self._handle(self._connection, request, scope)
            if exchange in self._running:
                self._connection.hold_response(exchange, response)
        except CallerDisconnectedError:
            _LOGGER.debug("the caller of a pipelined request disconnected")
        except Exception:
            # An error in one request must not terminate the daemon.
            _LOGGER.exception("handling a pipelined request failed")
        finally:
            self._running.pop(exchange, None)
            if exchange.answered is not None:
                exchange.answered.set()

    @property
    def _may_read(self) -> bool:
        connection = self._connection
        if self._is_input_ended or connection.must_close or not connection.is_reusable:
            return False
        last = self._waiting[-1] if self._waiting else self._next
        return last is None or last.keeps_alive

    def _on_input(self) -> None:
        self._is_armed = False
        # Without memory, reading goes on when this response is sent.
        can_start = self._next is not None and self._reading is None and self._may_read
        if can_start and self._connection.read_ahead.has_memory:
            self._start_reading()

    def _resume_reading(self) -> None:
        """Reads ahead if there is input, now or when it arrives."""
        if self._reading is not None or not self._may_read:
            return
        if not self._connection.has_unparsed:
            # The connection is open, because only an idle one is closed by another task.
            self._watch.arm(self._descriptor)
            self._is_armed = True
        elif self._connection.try_hold_unparsed():
            self._start_reading()

    def _start_reading(self) -> None:
        self._connection.sends_ahead = True
        self._connection.read_ahead.is_next = False
        scope = self._reading = trio.CancelScope()
        self._nursery.start_soon(self._read_ahead, scope)

    async def _read_ahead(self, scope: trio.CancelScope) -> None:
        """Reads while there is input, within the limits."""
        try:
            with scope:
                await self._read_requests()
        except CallerDisconnectedError:
            self._is_lost = True
        except Exception:
            # An error on one connection must not terminate the daemon.
            _LOGGER.exception("reading ahead failed")
            self._is_lost = True
        finally:
            self._reading = None
            if scope.cancelled_caught:
                self._connection.forget_partial()
            self._connection.read_ahead.notify()
        if self._next is not None and not self._is_lost:
            self._resume_reading()

    async def _read_requests(self) -> None:
        connection = self._connection
        while self._may_read:
            if len(self._waiting) >= READ_AHEAD_REQUESTS:
                await connection.read_ahead.wait_changed()
                continue
            exchange = await connection.receive_request(is_ahead=True)
            if exchange is None:
                self._is_input_ended = True
                return
            connection.read_ahead.is_next = False
            if self._refusal is not None:
                exchange.request, exchange.response = None, self._refusal
                self._refusal = None
            if self._is_input_ended:
                # The end of the connection has returned the memory of all that was read ahead.
                exchange.held_bytes = 0
            if not connection.is_reusable or self._is_input_ended:
                connection.read_ahead.pass_on(exchange.held_bytes)
                connection.drop(exchange)
                return
            self._waiting.append(exchange)
            connection.read_ahead.notify()
            self._start_safe()
            if not connection.has_unparsed:
                return

    async def _stop_reading(self) -> None:
        while self._reading is not None:
            self._reading.cancel()
            await self._connection.read_ahead.wait_changed()

    def _cancel(self) -> None:
        """Cancels what still runs, and returns the memory of what was not answered."""
        self._is_input_ended = True
        if self._reading is not None:
            self._reading.cancel()
        connection = self._connection
        if self._next is not None:
            connection.release(self._next)
        for exchange in self._waiting:
            connection.read_ahead.pass_on(exchange.held_bytes)
            connection.release(exchange)
        for scope in self._running.values():
            scope.abandon()
        self._next = None
        self._running.clear()
        self._waiting.clear()
        connection.release_unread()
