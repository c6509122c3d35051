"""Server for connections from other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.background_tasks import keep_running
from fulmarstile_daemon.services._body_admission import BodyAdmission, OfferKey
from fulmarstile_daemon.services._call import make_failure, make_lost_answer
from fulmarstile_daemon.services._error_frames import release_frames
from fulmarstile_daemon.services._frame_stream import (
    FrameStream,
    LinkBrokenError,
    QueueFullError,
    allow_late_readers,
)
from fulmarstile_daemon.services._link_bound import LinkBound
from fulmarstile_daemon.services._request_scope import FINAL_RECEIVE_S
from fulmarstile_daemon.services._served_link import ServedCall, ServedLink
from fulmarstile_http.listener import accept_forever, listen
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    BodyGrant,
    BodyOffer,
    DroppedMessage,
    GoAway,
    Hello,
    HopAnswer,
    HopCall,
    HopCancel,
    HopWithdraw,
    PeerAnswer,
    PeerCall,
    SyncAnswer,
    SyncCall,
    UnknownMessage,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.listener import OutOfDescriptorsError
    from fulmarstile_wire.services import (
        HopOutcome,
        PeerReply,
        PeerRequest,
        ReceivedMessage,
        SyncReply,
        SyncRequest,
    )

_LOGGER: Final = logging.getLogger(__name__)

_POLL_INTERVAL_S: Final = 0.01
"""Interval of the checks while the connections end, in seconds."""
_RETIRED_S: Final = 5.0
"""Time in which the other daemon closes a connection that has ended to make room, in seconds."""


class LinkServer:
    """Serves forwarded requests and state synchronizations.

    When a connection ends, the requests received on it are cancelled.

    Args:
        handle_call: Handles a forwarded request; cancelled at its deadline, in seconds, when the
            daemon that forwarded it stops waiting.
        handle_sync: Handles a synchronization.
        add_load: Adds the load to an outcome, which other daemons use for balancing.
        rate_wait_s: Returns the time for which the upstream's rate limit holds back a new request,
            in seconds.
        body_admission: Admits large request bodies that other daemons send.
        budget: Memory limit for messages.
        handlers: Handlers of other daemons' requests, by the type of the request.
        waiting_handlers: Handlers that may wait before they reply.
        max_connections: Returns the maximum number of connections.
    """

    def __init__(
        self,
        handle_call: Callable[[HopCall, float, AttemptProgress], Awaitable[HopAnswer]],
        handle_sync: Callable[[SyncRequest], SyncReply],
        add_load: Callable[[HopOutcome], HopOutcome],
        rate_wait_s: Callable[[], float],
        body_admission: BodyAdmission,
        budget: ByteBudget,
        handlers: Mapping[type[PeerRequest], Callable[[Any], PeerReply]],
        waiting_handlers: Mapping[type[PeerRequest], Callable[[Any], Awaitable[PeerReply]]],
        max_connections: Callable[[], int],
    ) -> None:
        self._waiting_handlers = waiting_handlers
        self._handlers = handlers
        self._handle_call = handle_call
        self._handle_sync = handle_sync
        self._add_load = add_load
        self._rate_wait_s = rate_wait_s
        self._body_admission = body_admission
        self._budget = budget
        self._connections: dict[ServedLink, None] = {}
        self._bound = LinkBound(max_connections, self._connections.keys())
        self._accepting = trio.CancelScope()
        self._ending = trio.Event()
        self._ended = trio.Event()

    @property
    def in_flight(self) -> int:
        """Requests without an answer so far, and granted bodies that have not arrived."""
        calls = sum(len(link.calls) for link in self._connections)
        return calls + self._body_admission.granted_count

    @property
    def is_quiet(self) -> bool:
        """Whether nothing is in flight and all answers have arrived."""
        return not (self.in_flight or self.has_unsent)

    @property
    def has_unsent(self) -> bool:
        """Whether another daemon's kernel has not confirmed all that was sent to it."""
        return any(link.frames.has_unacknowledged for link in self._connections)

    def refuse_bodies(self) -> None:
        """Refuses the large bodies that wait for a grant, and all later ones."""
        for key in self._body_admission.close():
            self._refuse_body(key, RefusalReason.DRAINING)

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
        with listen(address) as listener:
            async with trio.open_nursery() as watch_nursery:
                watch_nursery.start_soon(
                    keep_running,
                    allow_late_readers,
                    lambda: [link.frames for link in self._connections],
                )
                watch_nursery.start_soon(keep_running, self._bound.close_silent)
                async with trio.open_nursery() as nursery:
                    task_status.started(listener.address)
                    with self._accepting:
                        await accept_forever(
                            listener,
                            nursery,
                            self._serve_connection,
                            _log_out_of_descriptors,
                            self._bound.wait_for_room,
                        )
                    for stream in listener.accept_pending():
                        nursery.start_soon(self._serve_connection, stream)
                    listener.close()
                watch_nursery.cancel_scope.cancel()
        self._ended.set()

    async def end(self) -> None:
        """Ends all connections, such that the other daemons know what became of each request.

        Requests that have arrived are answered: those that no upstream has received, and all that
        still arrive, as not run. A connection is closed when the other daemon has closed it,
        because closing it with unread input would destroy what is still being sent. Wait for it
        with a timeout.
        """
        self.refuse_bodies()
        self._ending.set()
        for link in self._connections:
            link.ending.set()
        self._accepting.cancel()
        await self._ended.wait()

    async def _serve_connection(self, stream: ByteStream) -> None:
        link = ServedLink(FrameStream(stream, self._budget))
        self._connections[link] = None
        if self._ending.is_set():
            link.ending.set()
        try:
            with link.scope:
                await self._serve_link(link)
        except* LinkBrokenError as group:
            _LOGGER.info("connection from a daemon closed: %s", group.exceptions[0])
            release_frames(group)
        except* Exception:
            # An error on one connection must not end the daemon.
            _LOGGER.exception("serving a connection from a daemon failed")
        finally:
            self._body_admission.release_all(link.frames)
            del self._connections[link]
            link.frames.close()

    async def _serve_link(self, link: ServedLink) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.frames.send_forever)
            nursery.start_soon(self._end_connection, link)
            await self._serve_messages(link, nursery)

    async def _end_connection(self, link: ServedLink) -> None:
        """Waits until the connection should end, and says goodbye once all is answered."""
        await link.ending.wait()
        while not (link.is_quiet or self._ending.is_set()):
            await trio.sleep(_POLL_INTERVAL_S)
        if self._ending.is_set():
            await self._end_calls(link)
        await link.greeted.wait()
        while link.calls or link.frames.has_input:
            await trio.sleep(_POLL_INTERVAL_S)
        # No message is handled between this check and `GoAway`, or later.
        link.has_gone_away = True
        for call_id, progress in link.expired.items():
            self._answer_unfinished(link.frames, call_id, progress, RefusalReason.DEADLINE)
        try:
            if link.reads_go_away:
                link.frames.send(GoAway())
        except LinkBrokenError as error:
            _LOGGER.info("cannot announce the end of a connection: %s", error)
        while link.frames.has_unsent:
            await trio.sleep(_POLL_INTERVAL_S)
        link.frames.send_eof()
        if not self._ending.is_set():
            await trio.sleep(_RETIRED_S)
            raise LinkBrokenError("the other daemon kept a connection that has ended")

    async def _end_calls(self, link: ServedLink) -> None:
        """Cancels the requests of a connection, those whose answers arrive a little later."""
        for served in link.calls.values():
            if not served.progress.is_answering():
                served.scope.cancel()
        with trio.move_on_after(FINAL_RECEIVE_S):
            while any(served.progress.is_answering() for served in link.calls.values()):
                await trio.sleep(_POLL_INTERVAL_S)
        for served in link.calls.values():
            served.scope.cancel()

    async def _serve_messages(self, link: ServedLink, nursery: trio.Nursery) -> None:
        while True:
            messages = await link.frames.receive()
            link.received_at = trio.current_time()
            for message in messages:
                if not link.greeted.is_set():
                    link.on_hello(_check_hello(message))
                elif not link.has_gone_away:
                    self._handle_message(link, message, nursery)
            # They would be held until the next ones arrive.
            del message, messages

    def _handle_message(
        self, link: ServedLink, message: ReceivedMessage, nursery: trio.Nursery
    ) -> None:
        try:
            self._on_message(link, message, nursery)
        except LinkBrokenError:
            raise
        except Exception:
            # An error in one message must not end the requests of its connection.
            _LOGGER.exception("handling a message of another daemon failed")
            if isinstance(message, HopCall) and message.call_id not in link.calls:
                failure = make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED)
                link.frames.send(HopAnswer(message.call_id, failure))

    def _on_message(
        self, link: ServedLink, message: ReceivedMessage, nursery: trio.Nursery
    ) -> None:
        frames, calls = link.frames, link.calls
        if isinstance(message, HopCall):
            self._accept_call(link, message, nursery)
        elif isinstance(message, BodyOffer):
            self._handle_offer(frames, message)
        elif isinstance(message, HopCancel):
            self._body_admission.release(OfferKey(frames, message.call_id))
            link.expired.pop(message.call_id, None)
            if message.call_id in calls:
                calls[message.call_id].cancel()
        elif isinstance(message, HopWithdraw):
            if message.call_id in calls:
                calls[message.call_id].progress.withdraw()
        elif isinstance(message, SyncCall):
            self._answer_sync(frames, message)
        elif isinstance(message, PeerCall):
            self._answer_query(frames, message, nursery)
        elif isinstance(message, DroppedMessage):
            self._refuse_dropped(link, message)
        elif isinstance(message, UnknownMessage):
            # A daemon of a newer version doesn't rely on the answer of an older one.
            _LOGGER.info("ignored a message that can't be read, of kind %d", message.tag)

    def _refuse_dropped(self, link: ServedLink, message: DroppedMessage) -> None:
        """Refuses a forwarded request for which there was no memory; other calls time out."""
        _LOGGER.warning("no memory for a message of another daemon: %s", message.kind.__name__)
        if message.kind is not HopCall:
            return
        self._body_admission.release(OfferKey(link.frames, message.call_id))
        failure = make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED)
        link.frames.send(HopAnswer(message.call_id, self._add_load(failure)))

    def _accept_call(self, link: ServedLink, call: HopCall, nursery: trio.Nursery) -> None:
        self._body_admission.release(OfferKey(link.frames, call.call_id))
        if call.call_id in link.calls:
            raise LinkBrokenError(f"call id {call.call_id} is used twice")
        if self._ending.is_set():
            failure = make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING)
            link.frames.send(HopAnswer(call.call_id, self._add_load(failure)))
            return
        served = link.calls[call.call_id] = ServedCall(call)
        nursery.start_soon(self._serve_call, link, served)

    def _answer_sync(self, frames: FrameStream, call: SyncCall) -> None:
        try:
            reply = self._handle_sync(call.request)
        except Exception:
            # An error in one reply must not end the other requests of its connection.
            _LOGGER.exception("synchronizing with another daemon failed")
            return
        _send_reply(frames, SyncAnswer(call.call_id, reply))

    def _answer_query(self, frames: FrameStream, call: PeerCall, nursery: trio.Nursery) -> None:
        wait_and_handle = self._waiting_handlers.get(type(call.request))
        if wait_and_handle is not None:
            nursery.start_soon(self._answer_later, frames, call, wait_and_handle)
            return
        handle = self._handlers.get(type(call.request))
        if handle is None:
            # The part is switched off here; the other daemon treats this one as unavailable.
            return
        try:
            reply = handle(call.request)
        except Exception:
            # An error in one reply must not end the other requests of its connection.
            _LOGGER.exception("handling a request of another daemon failed")
            return
        _send_reply(frames, PeerAnswer(call.call_id, reply))

    async def _answer_later(
        self,
        frames: FrameStream,
        call: PeerCall,
        handle: Callable[[PeerRequest], Awaitable[PeerReply]],
    ) -> None:
        try:
            frames.send(PeerAnswer(call.call_id, await handle(call.request)))
        except LinkBrokenError as error:
            _LOGGER.info("cannot send a reply: %s", error)
        except Exception:
            # An error in one reply must not end the other requests of its connection.
            _LOGGER.exception("handling a request of another daemon failed")

    def _handle_offer(self, frames: FrameStream, offer: BodyOffer) -> None:
        def grant() -> None:
            try:
                frames.send(BodyGrant(offer.call_id))
            except LinkBrokenError as error:
                _LOGGER.info("cannot send the grant of a body: %s", error)

        key = OfferKey(frames, offer.call_id)
        wait_s, rate_wait_s = self._body_admission.wait_s, self._rate_wait_s()
        if self._body_admission.is_closed:
            self._refuse_body(key, RefusalReason.DRAINING)
        elif wait_s * 1000 > offer.wait_ms:
            self._refuse_body(key, RefusalReason.LINK_BUSY, wait_s - offer.wait_ms / 1000)
        elif rate_wait_s * 1000 > offer.wait_ms:
            self._refuse_body(key, RefusalReason.RATE_LIMITED, rate_wait_s)
        else:
            self._body_admission.offer(key, offer.size, grant)

    def _refuse_body(
        self, key: OfferKey, reason: RefusalReason, retry_after_s: float = 0.0
    ) -> None:
        failure = make_failure(Verdict.NOT_RUN, reason, retry_after_s=retry_after_s)
        try:
            key.connection.send(HopAnswer(key.call_id, self._add_load(failure)))
        except LinkBrokenError as error:
            _LOGGER.info("cannot send the refusal of a body: %s", error)

    async def _serve_call(self, link: ServedLink, served: ServedCall) -> None:
        call = served.call
        try:
            with served.scope, self._budget.allocate() as allocation:
                await trio.lowlevel.checkpoint_if_cancelled()
                if allocation.try_grow_call(len(call.body), len(call.body)):
                    answer = await self._handle_call(call, served.deadline, served.progress)
                else:
                    failure = make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED)
                    answer = HopAnswer(call.call_id, self._add_load(failure))
                _send_answer(link.frames, answer)
            if served.scope.cancelled_caught and not served.is_cancelled:
                self._on_cut(link, served)
        except LinkBrokenError as error:
            _LOGGER.info("cannot send an answer: %s", error)
        except Exception:
            # An error in one request must not end the other requests of its connection.
            _LOGGER.exception("handling a forwarded request failed")
            self._answer_unfinished(
                link.frames, call.call_id, served.progress, RefusalReason.CONNECTION_LOST
            )
        finally:
            del link.calls[call.call_id]

    def _on_cut(self, link: ServedLink, served: ServedCall) -> None:
        """Handles the cancellation of a request by its deadline or by the end of the server."""
        if trio.current_time() >= served.deadline:
            link.expired[served.call.call_id] = served.progress
        else:
            self._answer_unfinished(
                link.frames, served.call.call_id, served.progress, RefusalReason.DRAINING
            )

    def _answer_unfinished(
        self,
        frames: FrameStream,
        call_id: int,
        progress: AttemptProgress,
        reason: RefusalReason,
    ) -> None:
        """Answers a request that ends without a result, by what its upstream has of it."""
        verdict = Verdict.MAY_HAVE_RUN if progress.may_have_begun else Verdict.NOT_RUN
        failure = make_failure(verdict, reason, reached_upstream=verdict is Verdict.MAY_HAVE_RUN)
        try:
            frames.send(HopAnswer(call_id, self._add_load(failure)))
        except LinkBrokenError as error:
            _LOGGER.info("cannot send an answer: %s", error)


def _send_reply(frames: FrameStream, reply: SyncAnswer | PeerAnswer) -> None:
    """Sends a reply, unless the other daemon reads too slowly: it gets none in time."""
    try:
        frames.send(reply)
    except QueueFullError as error:
        _LOGGER.warning("cannot send a reply: %s", error)


def _send_answer(frames: FrameStream, answer: HopAnswer) -> None:
    """Sends the answer to a request, or reports that it doesn't fit the queue."""
    try:
        frames.send(answer)
    except QueueFullError as error:
        _LOGGER.warning("cannot send an answer: %s", error)
        lost = make_lost_answer(RefusalReason.ANSWER_TOO_LARGE)
        frames.send(HopAnswer(answer.call_id, lost))


def _check_hello(message: ReceivedMessage) -> Hello:
    if not isinstance(message, Hello) or message.version != PROTOCOL_VERSION:
        raise LinkBrokenError("the other daemon uses a different protocol version")
    return message


def _log_out_of_descriptors(error: OutOfDescriptorsError) -> None:
    _LOGGER.warning("cannot accept a connection from a daemon: %s", error)
