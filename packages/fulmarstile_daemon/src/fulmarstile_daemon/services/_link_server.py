"""Takes the connections of other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._body_gate import BodyGate, OfferKey
from fulmarstile_daemon.services._call import make_failure
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_daemon.services._handover import Handover
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
    SyncAnswer,
    SyncCall,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_http.byte_stream import ByteStream
    from fulmarstile_http.listener import OutOfDescriptorsError
    from fulmarstile_wire.services import HopOutcome, LinkMessage, SyncReply, SyncRequest

_LOGGER: Final = logging.getLogger(__name__)


class LinkServer:
    """Answers forwarded requests and synchronizations.

    What a connection has asked for is cancelled when it ends.

    Args:
        answer_call: Answers a forwarded request; is cancelled at its deadline, in seconds, when
            the daemon that forwarded it waits no longer.
        answer_sync: Answers a synchronization.
        describe: Adds to an outcome what other daemons choose by.
        gate: Orders the large bodies that other daemons send.
        budget: Bound of the memory that messages take.
    """

    def __init__(
        self,
        answer_call: Callable[[HopCall, float, Handover], Awaitable[HopAnswer]],
        answer_sync: Callable[[SyncRequest], SyncReply],
        describe: Callable[[HopOutcome], HopOutcome],
        gate: BodyGate,
        budget: ByteBudget,
    ) -> None:
        self._answer_call = answer_call
        self._answer_sync = answer_sync
        self._describe = describe
        self._gate = gate
        self._budget = budget
        self._in_flight = 0
        self._connections: dict[FrameStream, None] = {}

    @property
    def in_flight(self) -> int:
        """Requests that have no answer yet, and bodies that are on their way."""
        return self._in_flight + self._gate.granted

    @property
    def is_quiet(self) -> bool:
        """Whether nothing is in flight and all answers have left."""
        if self.in_flight:
            return False
        return not any(frames.has_unsent for frames in self._connections)

    def refuse_bodies(self) -> None:
        """Refuses the large bodies that wait for their turn, and all later ones."""
        for key in self._gate.close():
            self._refuse_body(key, RefusalReason.DRAINING)

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
                task_status.started(listener.address)
                await accept_forever(listener, nursery, self._serve_connection, _log_exhausted)

    async def _serve_connection(self, stream: ByteStream) -> None:
        frames = FrameStream(stream, self._budget)
        calls: dict[int, _ServedCall] = {}
        self._connections[frames] = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(frames.send_forever)
                await self._serve_messages(frames, calls, nursery)
        except* LinkBrokenError as group:
            _LOGGER.info("a connection from a daemon ended: %s", group.exceptions[0])
        finally:
            self._gate.release_all(frames)
            del self._connections[frames]
            frames.close()

    async def _serve_messages(
        self, frames: FrameStream, calls: dict[int, _ServedCall], nursery: trio.Nursery
    ) -> None:
        is_known = False
        while True:
            for message in await frames.receive():
                if not is_known:
                    _check_hello(message)
                    is_known = True
                elif isinstance(message, HopCall):
                    self._gate.release(OfferKey(frames, message.call_id))
                    served = calls[message.call_id] = _ServedCall(message)
                    nursery.start_soon(self._serve_call, frames, calls, served)
                elif isinstance(message, BodyOffer):
                    self._take_offer(frames, message)
                elif isinstance(message, HopCancel):
                    self._gate.release(OfferKey(frames, message.call_id))
                    if message.call_id in calls:
                        calls[message.call_id].scope.cancel()
                elif isinstance(message, HopWithdraw):
                    if message.call_id in calls:
                        calls[message.call_id].handover.withdraw()
                elif isinstance(message, SyncCall):
                    reply = self._answer_sync(message.request)
                    frames.send(SyncAnswer(message.call_id, reply))

    def _take_offer(self, frames: FrameStream, offer: BodyOffer) -> None:
        def grant() -> None:
            try:
                frames.send(BodyGrant(offer.call_id))
            except LinkBrokenError as error:
                _LOGGER.info("a body could not be granted: %s", error)

        key = OfferKey(frames, offer.call_id)
        wait_s = self._gate.wait_s
        if self._gate.is_closed:
            self._refuse_body(key, RefusalReason.DRAINING)
        elif wait_s * 1000 > offer.wait_ms:
            self._refuse_body(key, RefusalReason.LINK_BUSY, wait_s - offer.wait_ms / 1000)
        else:
            self._gate.offer(key, offer.size, grant)

    def _refuse_body(
        self, key: OfferKey, reason: RefusalReason, retry_after_s: float = 0.0
    ) -> None:
        failure = make_failure(Verdict.NOT_RUN, reason, retry_after_s=retry_after_s)
        try:
            key.connection.send(HopAnswer(key.call_id, self._describe(failure)))
        except LinkBrokenError as error:
            _LOGGER.info("a body could not be refused: %s", error)

    async def _serve_call(
        self, frames: FrameStream, calls: dict[int, _ServedCall], served: _ServedCall
    ) -> None:
        call = served.call
        self._in_flight += 1
        try:
            with served.scope, self._budget.hold() as held:
                await trio.lowlevel.checkpoint_if_cancelled()
                if held.take(len(call.body)):
                    answer = await self._answer_call(call, served.deadline, served.handover)
                else:
                    failure = make_failure(Verdict.NOT_RUN, RefusalReason.OVERLOADED)
                    answer = HopAnswer(call.call_id, self._describe(failure))
                frames.send(answer)
        except LinkBrokenError as error:
            _LOGGER.info("an answer could not be sent: %s", error)
        except Exception:
            # A fault in one request must not end the others of its connection.
            _LOGGER.exception("answering a forwarded request failed")
        finally:
            self._in_flight -= 1
            del calls[call.call_id]


class _ServedCall:
    """A forwarded request that is being answered."""

    __slots__ = ("call", "deadline", "handover", "scope")

    def __init__(self, call: HopCall) -> None:
        self.call = call
        self.deadline = trio.current_time() + call.hop.remaining_ms / 1000
        """Time at which the other daemon waits no longer, in seconds."""
        self.scope = trio.CancelScope(deadline=self.deadline)
        self.handover = Handover()


def _check_hello(message: LinkMessage) -> None:
    if not isinstance(message, Hello) or message.version != PROTOCOL_VERSION:
        raise LinkBrokenError("the other daemon speaks another protocol")


def _log_exhausted(error: OutOfDescriptorsError) -> None:
    _LOGGER.warning("cannot accept a daemon's connection: %s", error)
