"""Connections to other daemons, shared by all requests that are sent to them."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.services._call import AttemptResult, make_failure
from fulmarstile_daemon.services._exchange import Answer
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_daemon.services._handover import HandoverStage
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.wait_policy import max_body_wait_s
from fulmarstile_wire.errors import FulmarstileError
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
    from collections.abc import Iterable

    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._frame_stream import OutgoingFrame
    from fulmarstile_daemon.services._handover import Handover
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_wire.services import HopOutcome, HopRequest, Member, SyncReply, SyncRequest

_LOGGER: Final = logging.getLogger(__name__)

_LARGE_BODY_BYTES: Final = 32 * 1024
"""Size from which a body goes over the second connection, where small ones don't wait for it."""
_OFFERED_FROM_S: Final = 0.05
"""Time on the link of the other VM from which a body is offered before it is sent, in seconds."""
_CONNECT_TIMEOUT_S: Final = 0.4
"""Longest time to open a connection, in seconds."""
_SILENT_S: Final = 1.0
"""Time without a byte after which a connection with calls that got no answer is replaced."""


class DaemonUnreachableError(FulmarstileError):
    """A daemon took no connection, or did not reply."""


class _Pending:
    """A call that waits for its answer."""

    __slots__ = ("answer", "event", "granted", "is_lost")

    def __init__(self) -> None:
        self.event = trio.Event()
        self.answer: HopAnswer | SyncAnswer | None = None
        self.granted = trio.Event()
        """Set once it is known whether the body is to be sent."""
        self.is_lost = False
        """Whether the connection broke before the answer."""


class _Link:
    """One connection and the calls on it."""

    def __init__(self, frames: FrameStream, address: str) -> None:
        self._address = address
        self._frames = frames
        self._pending: dict[int, _Pending] = {}
        self._next_id = 0
        self.received_at = trio.current_time()
        """Time of the last message, in seconds."""

    @property
    def is_closed(self) -> bool:
        return self._frames.is_closed

    def begin(self) -> tuple[int, _Pending]:
        self._next_id += 1
        pending = self._pending[self._next_id] = _Pending()
        return self._next_id, pending

    def send(self, message: Hello | HopCall | SyncCall | BodyOffer) -> OutgoingFrame:
        return self._frames.send(message)

    def withdraw(self, call_id: int, handover: Handover) -> None:
        """Has a call refused unless its upstream has it."""
        pending = self._pending[call_id]
        if handover.frame is None:
            pending.granted.set()
        elif self._take_back(handover):
            # The turn of its body is given back.
            self._tell(HopCancel(call_id))
            pending.event.set()
        else:
            self._tell(HopWithdraw(call_id))

    def abandon(self, handover: Handover) -> None:
        """Keeps what was not sent of a call from the other daemon, whose answer comes too late."""
        if handover.stage is not HandoverStage.SENDING:
            return
        if self.is_closed:
            # The other daemon can't have the end of the message.
            handover.take_back()
        else:
            self._take_back(handover)

    def _take_back(self, handover: Handover) -> bool:
        frame = handover.frame
        if frame is None or not self._frames.drop(frame):
            return False
        handover.take_back()
        return True

    def _tell(self, message: HopCancel | HopWithdraw) -> None:
        try:
            self._frames.send(message)
        except LinkBrokenError:
            self.close()

    def end(self, call_id: int) -> None:
        """Forgets a call; the other daemon is told if it may still work on it."""
        pending = self._pending.pop(call_id, None)
        if pending is None or pending.event.is_set() or self._frames.is_closed:
            return
        self._tell(HopCancel(call_id))

    def close(self) -> None:
        self._frames.close()
        for pending in self._pending.values():
            pending.is_lost = True
            pending.granted.set()
            pending.event.set()

    async def run(self) -> None:
        """Receives answers until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._frames.send_forever)
                while True:
                    for message in await self._frames.receive():
                        self._take(message)
        except* LinkBrokenError as group:
            _LOGGER.info("a connection to %s ended: %s", self._address, group.exceptions[0])
        finally:
            self.close()

    def _take(self, message: object) -> None:
        self.received_at = trio.current_time()
        if not isinstance(message, HopAnswer | SyncAnswer | BodyGrant):
            raise LinkBrokenError(f"unexpected message {type(message).__name__}")
        pending = self._pending.get(message.call_id)
        if pending is None:
            return
        if isinstance(message, BodyGrant):
            pending.granted.set()
            return
        pending.answer = message
        pending.granted.set()
        pending.event.set()


class DaemonLinks:
    """Sends requests and synchronizations to other daemons.

    Args:
        sender: Name of this daemon.
        budget: Bound of the memory that messages take.
    """

    def __init__(self, sender: str, budget: ByteBudget) -> None:
        self._sender = sender
        self._budget = budget
        self._links: dict[tuple[str, bool], _Link] = {}
        self._opening: dict[tuple[str, bool], trio.Lock] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Keeps the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def keep(self, addresses: Iterable[str]) -> None:
        """Closes the connections to daemons that are no longer known.

        Args:
            addresses: `host:port` of the daemons that are.
        """
        kept = set(addresses)
        for key in [key for key in self._links if key[0] not in kept]:
            self._links.pop(key).close()

    def drop_all(self) -> None:
        """Opens new connections for later calls, because the old ones may have gone silent."""
        self._links.clear()

    def close_all(self) -> None:
        """Closes all connections, so that nothing more of any message arrives."""
        for link in self._links.values():
            link.close()

    async def forward(
        self, member: Member, hop: HopRequest, request: ReceivedRequest, handover: Handover
    ) -> AttemptResult:
        """Forwards a request to the daemon beside its upstream.

        Args:
            member: The daemon.
            hop: What it must know.
            request: The request.
            handover: Told how far the request has come.

        Returns:
            How the attempt ended.

        Raises:
            DaemonUnreachableError: If the daemon takes no connection.
        """
        link = await self._find(member.address, len(request.body) >= _LARGE_BODY_BYTES)
        if handover.is_withdrawn:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING))
        call_id, pending = link.begin()
        handover.on_withdrawn = partial(link.withdraw, call_id, handover)
        try:
            if _is_offered(member, len(request.body)):
                wait_s = max_body_wait_s(hop.target_ms / 1000, hop.remaining_ms / 1000)
                link.send(BodyOffer(call_id, len(request.body), int(wait_s * 1000)))
                handover.offer()
                hop = await _await_grant(pending, hop, wait_s)
                if hop is None:
                    self._distrust(member.address, link)
                    return AttemptResult(_describe_wait(wait_s))
            if pending.answer is None and not handover.is_withdrawn:
                headers = request.headers.end_to_end
                call = HopCall(call_id, hop, request.method, request.target, headers, request.body)
                handover.send(link.send(call))
                await pending.event.wait()
        except LinkBrokenError:
            # The message was not sent whole, so the other daemon cannot have read it.
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED))
        except trio.Cancelled:
            link.abandon(handover)
            self._distrust(member.address, link)
            raise
        finally:
            handover.on_withdrawn = None
            link.end(call_id)
        if isinstance(pending.answer, HopAnswer):
            return _read_result(pending.answer)
        return AttemptResult(_describe_loss(handover))

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        """Exchanges state with a daemon.

        Args:
            member: The daemon.
            message: What to offer.
            timeout_s: Longest time for the exchange, in seconds.

        Returns:
            What the daemon replied.

        Raises:
            DaemonUnreachableError: If it did not reply in time.
        """
        pending: _Pending | None = None
        with trio.move_on_after(timeout_s):
            link = await self._find(member.address, large=False)
            call_id, pending = link.begin()
            try:
                link.send(SyncCall(call_id, message))
                await pending.event.wait()
            except LinkBrokenError as error:
                raise DaemonUnreachableError(str(error)) from error
            except trio.Cancelled:
                self._distrust(member.address, link)
                raise
            finally:
                link.end(call_id)
        if pending is None or not isinstance(pending.answer, SyncAnswer):
            raise DaemonUnreachableError("no reply in time")
        return pending.answer.reply

    async def _find(self, address: str, large: bool) -> _Link:
        key = (address, large)
        link = self._links.get(key)
        if link is not None and not link.is_closed:
            return link
        async with self._opening.setdefault(key, trio.Lock()):
            link = self._links.get(key)
            if link is None or link.is_closed:
                link = self._links[key] = await self._open(address)
            return link

    async def _open(self, address: str) -> _Link:
        if self._nursery is None:
            raise DaemonUnreachableError("no connection is opened before the daemon runs")
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            try:
                stream = await open_stream(address)
                link = _Link(FrameStream(stream, self._budget), address)
                link.send(Hello(PROTOCOL_VERSION, self._sender))
            except (OSError, LinkBrokenError) as error:
                raise DaemonUnreachableError(f"cannot connect to {address}: {error}") from error
            self._nursery.start_soon(link.run)
            return link
        raise DaemonUnreachableError(f"connecting to {address} took too long")

    def _distrust(self, address: str, link: _Link) -> None:
        """Replaces a connection on which nothing has arrived for long."""
        if trio.current_time() - link.received_at < _SILENT_S:
            return
        for key in ((address, False), (address, True)):
            if self._links.get(key) is link:
                del self._links[key]


def _is_offered(member: Member, size: int) -> bool:
    """Tells whether a body would hold up others on the link of another VM."""
    return member.link_kbps > 0 and size * 8 / 1000 >= member.link_kbps * _OFFERED_FROM_S


async def _await_grant(pending: _Pending, hop: HopRequest, wait_s: float) -> HopRequest | None:
    """Waits for the grant of a body.

    Returns:
        The request with the time that is left then; None if the grant did not come in time.

    Raises:
        LinkBrokenError: If the connection broke.
    """
    asked_at = trio.current_time()
    with trio.move_on_after(wait_s) as scope:
        await pending.granted.wait()
    if scope.cancelled_caught:
        return None
    if pending.is_lost:
        raise LinkBrokenError("the connection broke before a body was granted")
    waited_ms = int((trio.current_time() - asked_at) * 1000)
    return msgspec.structs.replace(
        hop,
        remaining_ms=max(1, hop.remaining_ms - waited_ms),
        max_slot_wait_ms=max(0, hop.max_slot_wait_ms - waited_ms),
    )


def _describe_wait(wait_s: float) -> HopOutcome:
    """Says that a body was not granted while waiting was of use."""
    failure = make_failure(Verdict.NOT_RUN, RefusalReason.LINK_BUSY)
    return msgspec.structs.replace(failure, body_wait_ms=round(wait_s * 1000, 1))


def _describe_loss(handover: Handover) -> HopOutcome:
    """Says what is known of a call that was withdrawn, or whose connection broke."""
    if handover.stage is HandoverStage.SENT:
        return make_failure(
            Verdict.MAY_HAVE_RUN, RefusalReason.CONNECTION_LOST, reached_upstream=True
        )
    if handover.is_withdrawn:
        return make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING)
    return make_failure(Verdict.NOT_RUN, RefusalReason.CONNECTION_LOST)


def _read_result(message: HopAnswer) -> AttemptResult:
    if not message.status:
        return AttemptResult(message.outcome)
    headers = MessageHeaders(end_to_end=message.headers)
    return AttemptResult(message.outcome, Answer(message.status, headers, message.body))
