"""Server for connections from other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._attempt_progress import AttemptProgress
from fulmarstile_daemon.services._body_admission import BodyAdmission, OfferKey
from fulmarstile_daemon.services._call import make_failure
from fulmarstile_daemon.services._error_frames import release_frames
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_http.listener import accept_forever, listen
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    BodyGrant,
    BodyOffer,
    Hello,
    HopAnswer,
    HopCall,
    HopCancel,
    HopWithdraw,
    PeerAnswer,
    PeerCall,
    SyncAnswer,
    SyncCall,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.listener import OutOfDescriptorsError
    from fulmarstile_wire.services import (
        HopOutcome,
        LinkMessage,
        PeerReply,
        PeerRequest,
        SyncReply,
        SyncRequest,
    )

_LOGGER: Final = logging.getLogger(__name__)


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
    ) -> None:
        self._waiting_handlers = waiting_handlers
        self._handlers = handlers
        self._handle_call = handle_call
        self._handle_sync = handle_sync
        self._add_load = add_load
        self._rate_wait_s = rate_wait_s
        self._body_admission = body_admission
        self._budget = budget
        self._in_flight = 0
        self._connections: dict[FrameStream, None] = {}

    @property
    def in_flight(self) -> int:
        """Requests without an answer so far, and granted bodies that have not arrived."""
        return self._in_flight + self._body_admission.granted_count

    @property
    def is_quiet(self) -> bool:
        """Whether nothing is in flight and all answers are sent."""
        if self.in_flight:
            return False
        return not any(frames.has_unsent for frames in self._connections)

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
            async with trio.open_nursery() as nursery:
                task_status.started(listener.address)
                await accept_forever(
                    listener, nursery, self._serve_connection, _log_out_of_descriptors
                )

    async def _serve_connection(self, stream: ByteStream) -> None:
        frames = FrameStream(stream, self._budget)
        calls: dict[int, _ServedCall] = {}
        self._connections[frames] = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(frames.send_forever)
                await self._serve_messages(frames, calls, nursery)
        except* LinkBrokenError as group:
            _LOGGER.info("connection from a daemon closed: %s", group.exceptions[0])
            release_frames(group)
        except* Exception:
            # An error on one connection must not end the daemon.
            _LOGGER.exception("serving a connection from a daemon failed")
        finally:
            self._body_admission.release_all(frames)
            del self._connections[frames]
            frames.close()

    async def _serve_messages(
        self, frames: FrameStream, calls: dict[int, _ServedCall], nursery: trio.Nursery
    ) -> None:
        is_greeted = False
        while True:
            for message in await frames.receive():
                if not is_greeted:
                    _check_hello(message)
                    is_greeted = True
                elif isinstance(message, HopCall):
                    self._body_admission.release(OfferKey(frames, message.call_id))
                    if message.call_id in calls:
                        raise LinkBrokenError(f"call id {message.call_id} is used twice")
                    served = calls[message.call_id] = _ServedCall(message)
                    nursery.start_soon(self._serve_call, frames, calls, served)
                elif isinstance(message, BodyOffer):
                    self._handle_offer(frames, message)
                elif isinstance(message, HopCancel):
                    self._body_admission.release(OfferKey(frames, message.call_id))
                    if message.call_id in calls:
                        calls[message.call_id].scope.cancel()
                elif isinstance(message, HopWithdraw):
                    if message.call_id in calls:
                        calls[message.call_id].progress.withdraw()
                elif isinstance(message, SyncCall):
                    self._answer_sync(frames, message)
                elif isinstance(message, PeerCall):
                    self._answer_query(frames, message, nursery)

    def _answer_sync(self, frames: FrameStream, call: SyncCall) -> None:
        try:
            reply = self._handle_sync(call.request)
        except Exception:
            # An error in one reply must not end the other requests of its connection.
            _LOGGER.exception("synchronizing with another daemon failed")
            return
        frames.send(SyncAnswer(call.call_id, reply))

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
        frames.send(PeerAnswer(call.call_id, reply))

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

    async def _serve_call(
        self, frames: FrameStream, calls: dict[int, _ServedCall], served: _ServedCall
    ) -> None:
        call = served.call
        self._in_flight += 1
        try:
            with served.scope, self._budget.allocate() as allocation:
                await trio.lowlevel.checkpoint_if_cancelled()
                if allocation.try_grow(len(call.body)):
                    answer = await self._handle_call(call, served.deadline, served.progress)
                else:
                    failure = make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED)
                    answer = HopAnswer(call.call_id, self._add_load(failure))
                frames.send(answer)
        except LinkBrokenError as error:
            _LOGGER.info("cannot send an answer: %s", error)
        except Exception:
            # An error in one request must not end the other requests of its connection.
            _LOGGER.exception("handling a forwarded request failed")
            self._answer_unfinished(frames, served, RefusalReason.CONNECTION_LOST)
        finally:
            self._in_flight -= 1
            del calls[call.call_id]

    def _answer_unfinished(
        self, frames: FrameStream, served: _ServedCall, reason: RefusalReason
    ) -> None:
        """Answers a request that ends without a result, by what its upstream has of it."""
        verdict = Verdict.MAY_HAVE_RUN if served.progress.may_have_begun else Verdict.NOT_RUN
        failure = make_failure(verdict, reason, reached_upstream=verdict is Verdict.MAY_HAVE_RUN)
        try:
            frames.send(HopAnswer(served.call.call_id, self._add_load(failure)))
        except LinkBrokenError as error:
            _LOGGER.info("cannot send an answer: %s", error)


class _ServedCall:
    """A forwarded request that is being handled."""

    __slots__ = ("call", "deadline", "progress", "scope")

    def __init__(self, call: HopCall) -> None:
        self.call = call
        self.deadline = trio.current_time() + call.hop.remaining_ms / 1000
        """Time at which the other daemon stops waiting, in seconds."""
        self.scope = trio.CancelScope(deadline=self.deadline)
        self.progress = AttemptProgress()


def _check_hello(message: LinkMessage) -> None:
    if not isinstance(message, Hello) or message.version != PROTOCOL_VERSION:
        raise LinkBrokenError("the other daemon uses a different protocol version")


def _log_out_of_descriptors(error: OutOfDescriptorsError) -> None:
    _LOGGER.warning("cannot accept a connection from a daemon: %s", error)
