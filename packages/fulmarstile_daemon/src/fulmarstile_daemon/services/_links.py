"""Connections to other daemons, shared by all requests that are sent to them."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_calls.request import RefusalReason
from fulmarstile_daemon.background_tasks import keep_running
from fulmarstile_daemon.services._attempt_progress import AttemptStage
from fulmarstile_daemon.services._call import AttemptResult, make_failure, make_lost_answer
from fulmarstile_daemon.services._exchange import UpstreamResponse
from fulmarstile_daemon.services._frame_stream import (
    FrameStream,
    LinkBrokenError,
    QueueFullError,
    allow_late_readers,
)
from fulmarstile_daemon.services._link import Link, PendingCall
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_http.headers import MessageHeaders
from fulmarstile_services.wait_policy import max_body_wait_s
from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.services import (
    PROTOCOL_VERSION,
    BodyOffer,
    Hello,
    HopAnswer,
    HopCall,
    PeerAnswer,
    PeerCall,
    SyncAnswer,
    SyncCall,
)
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._byte_budget import ByteBudget
    from fulmarstile_daemon.services._server_connection import ReceivedRequest
    from fulmarstile_wire.services import (
        HopOutcome,
        HopRequest,
        Member,
        PeerReply,
        PeerRequest,
        SyncReply,
        SyncRequest,
    )

_LOGGER: Final = logging.getLogger(__name__)

_MIN_LARGE_BODY_BYTES: Final = 32 * 1024
"""Size from which a body uses a second connection, so that small ones do not queue behind it."""
_MIN_OFFER_S: Final = 0.05
"""Time on the link of the other VM from which a body is offered before it is sent, in seconds."""
_CONNECT_TIMEOUT_S: Final = 0.4
"""Timeout for opening a connection, in seconds."""
_SILENCE_S: Final = 1.0
"""Time without a message after which a connection with pending calls is replaced, in seconds."""


class DaemonUnreachableError(FulmarstileError):
    """A daemon did not accept a connection, or did not reply."""


class _ConnectAttempt:
    """An attempt to open a connection, shared by all calls that wait for it."""

    __slots__ = ("ended", "failure", "link")

    def __init__(self) -> None:
        self.ended = trio.Event()
        """Set when the attempt has succeeded or failed."""
        self.link: Link | None = None
        """The connection; None until the attempt has succeeded."""
        self.failure = "the daemon ends"
        """Why there is no connection."""


class DaemonLinks:
    """Sends requests and state synchronizations to other daemons.

    Args:
        sender: Name of this daemon.
        budget: Memory limit for messages.
    """

    def __init__(self, sender: str, budget: ByteBudget) -> None:
        self._sender = sender
        self._budget = budget
        self._links: dict[tuple[str, bool], Link] = {}
        """Connections for new calls, by address and whether they are for large bodies."""
        self._open_links: dict[Link, None] = {}
        """All connections, also those that are no longer used for new calls."""
        self._connecting: dict[tuple[str, bool], _ConnectAttempt] = {}
        """Attempts to open the connections that calls wait for, by the same key."""
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs the connections until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await keep_running(
                    allow_late_readers, lambda: [link.frames for link in self._open_links]
                )
            finally:
                # Other tasks of the daemon may still ask for a connection while it ends.
                self._nursery = None

    def close_unknown(self, addresses: Iterable[str]) -> None:
        """Retires the connections to addresses that are no longer known.

        Calls on them may still be answered: a daemon may be known by a new address already while
        its earlier process finishes its requests.

        Args:
            addresses: `host:port` of the known daemons.
        """
        kept = set(addresses)
        for key in [key for key in self._links if key[0] not in kept]:
            self._links.pop(key).retire("its address is no longer known")

    def retire_all(self, reason: str = "it may be dead") -> None:
        """Retires all connections, which may be dead; later calls open new ones.

        Args:
            reason: Why, for the log.
        """
        links = tuple(self._links.values())
        self._links.clear()
        for link in links:
            link.retire(reason)

    def replace_silent(self, address: str, since: float) -> bool:
        """Makes later calls to a daemon open a new connection if the present one is silent.

        Args:
            address: `host:port` of the daemon.
            since: Time since which it must have received nothing, in seconds.

        Returns:
            Whether it is replaced.
        """
        link = self._links.get((address, False))
        if link is None or link.received_at > since:
            return False
        self._replace(address, link)
        return True

    def retire_silent(self, since: float) -> None:
        """Retires all connections that are silent, as others are known to have gone silent.

        Args:
            since: Time since which they must have received nothing, in seconds.
        """
        for (address, _), link in tuple(self._links.items()):
            if link.received_at <= since:
                self._replace(address, link)

    def close_all(self) -> None:
        """Closes all connections, so that no further data of any message arrives.

        Those on which an answer is arriving stay open.
        """
        for link in tuple(self._open_links):
            if not link.is_answering:
                link.close("the daemon ends")

    async def forward(
        self, member: Member, hop: HopRequest, request: ReceivedRequest, progress: AttemptProgress
    ) -> AttemptResult:
        """Forwards a request to the daemon on the VM of its upstream.

        Args:
            member: The daemon.
            hop: Metadata of the request.
            request: The request.
            progress: Updated with the progress of the request.

        Returns:
            The result of the attempt.

        Raises:
            DaemonUnreachableError: If the daemon accepts no connection.
        """
        link = await self._get_link(member.address, len(request.body) >= _MIN_LARGE_BODY_BYTES)
        if progress.is_withdrawn:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING))
        call_id, pending = link.begin_call()
        progress.on_withdrawn = partial(link.withdraw, call_id, progress)
        progress.is_answering = partial(link.is_answering_call, call_id)
        try:
            if _needs_grant(member, len(request.body)):
                wait_s = max_body_wait_s(hop.target_ms / 1000, hop.remaining_ms / 1000)
                link.send(BodyOffer(call_id, len(request.body), int(wait_s * 1000)))
                progress.mark_offered()
                hop = await _wait_for_grant(pending, hop, wait_s)
                if hop is None:
                    self._replace_if_silent(member.address, link)
                    return AttemptResult(_make_ungranted_outcome(wait_s))
            if pending.answer is None and not progress.is_withdrawn:
                headers = request.headers.end_to_end
                call = HopCall(call_id, hop, request.method, request.target, headers, request.body)
                progress.mark_sending(link.send(call))
                await pending.done.wait()
        except QueueFullError:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.LINK_BUSY))
        except LinkBrokenError:
            # The message was not sent completely, so the other daemon cannot have received it.
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.CONNECT_FAILED))
        except trio.Cancelled:
            link.abandon_call(progress)
            self._replace_if_silent(member.address, link)
            raise
        finally:
            progress.on_withdrawn = None
            link.keep_unsent(progress)
            link.end_call(call_id)
        if isinstance(pending.answer, HopAnswer):
            return _read_result(pending.answer)
        if pending.is_refused:
            return AttemptResult(make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING))
        if pending.is_dropped:
            return AttemptResult(make_lost_answer(RefusalReason.ANSWER_TOO_LARGE))
        return AttemptResult(_make_lost_outcome(progress))

    async def synchronize(
        self, member: Member, message: SyncRequest, timeout_s: float
    ) -> SyncReply:
        """Exchanges state with a daemon.

        Args:
            member: The daemon.
            message: Digest and state to send.
            timeout_s: Timeout of the exchange, in seconds.

        Returns:
            The daemon's reply.

        Raises:
            DaemonUnreachableError: If it did not reply in time.
        """
        answer = await self._ask(member, partial(SyncCall, request=message), timeout_s)
        if not isinstance(answer, SyncAnswer):
            raise DaemonUnreachableError("no reply in time")
        return answer.reply

    async def query(
        self,
        member: Member,
        request: PeerRequest,
        timeout_s: float,
        *,
        replace_silent: bool = True,
    ) -> PeerReply:
        """Sends a request to a daemon.

        Args:
            member: The daemon.
            request: The request.
            timeout_s: Timeout in seconds.
            replace_silent: Whether no reply in time shows that a connection may be dead; not if
                the timeout is shorter than a slow reply.

        Returns:
            The daemon's reply.

        Raises:
            DaemonUnreachableError: If it did not reply in time.
        """
        make_call = partial(PeerCall, request=request)
        answer = await self._ask(member, make_call, timeout_s, replace_silent=replace_silent)
        if not isinstance(answer, PeerAnswer):
            raise DaemonUnreachableError("no reply in time")
        return answer.reply

    async def _ask(
        self,
        member: Member,
        make_call: Callable[[int], SyncCall | PeerCall],
        timeout_s: float,
        *,
        replace_silent: bool = True,
    ) -> HopAnswer | SyncAnswer | PeerAnswer | None:
        """Sends a call and waits for its answer; None if there is none in time."""
        pending: PendingCall | None = None
        with trio.move_on_after(timeout_s):
            link = await self._get_link(member.address, large=False)
            call_id, pending = link.begin_call()
            try:
                link.send(make_call(call_id))
                await pending.done.wait()
            except LinkBrokenError as error:
                raise DaemonUnreachableError(str(error)) from error
            except trio.Cancelled:
                if replace_silent:
                    self._replace_if_silent(member.address, link)
                raise
            finally:
                link.end_call(call_id)
        return None if pending is None else pending.answer

    async def _get_link(self, address: str, large: bool) -> Link:
        key = (address, large)
        link = self._links.get(key)
        if link is not None and not link.is_closed:
            return link
        attempt = self._connecting.get(key) or self._begin_connecting(key)
        await attempt.ended.wait()
        if attempt.link is None:
            raise DaemonUnreachableError(attempt.failure)
        return attempt.link

    def _begin_connecting(self, key: tuple[str, bool]) -> _ConnectAttempt:
        nursery = self._nursery
        if nursery is None:
            raise DaemonUnreachableError("connections are opened only while the daemon runs")
        attempt = _ConnectAttempt()
        nursery.start_soon(self._connect, nursery, key, attempt)
        self._connecting[key] = attempt
        return attempt

    async def _connect(
        self, nursery: trio.Nursery, key: tuple[str, bool], attempt: _ConnectAttempt
    ) -> None:
        """Opens a connection for all calls that wait for it."""
        address, _ = key
        try:
            attempt.link = self._links[key] = await self._open_link(nursery, address)
        except DaemonUnreachableError as error:
            attempt.failure = str(error)
        except Exception:
            # An error in one attempt must not end the daemon.
            _LOGGER.exception("connecting to %s failed", address)
            attempt.failure = f"connecting to {address} failed"
        finally:
            del self._connecting[key]
            attempt.ended.set()

    async def _open_link(self, nursery: trio.Nursery, address: str) -> Link:
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            try:
                stream = await open_stream(address)
            except OSError as error:
                raise DaemonUnreachableError(f"cannot connect to {address}: {error}") from error
            link = Link(FrameStream(stream, self._budget), address)
            try:
                link.send(Hello(PROTOCOL_VERSION, self._sender, reads_go_away=True))
            except LinkBrokenError as error:
                link.close()
                raise DaemonUnreachableError(f"cannot connect to {address}: {error}") from error
            self._open_links[link] = None
            nursery.start_soon(self._run_link, link)
            return link
        raise DaemonUnreachableError(f"connecting to {address} timed out")

    async def _run_link(self, link: Link) -> None:
        try:
            await link.run()
        finally:
            del self._open_links[link]

    def _replace_if_silent(self, address: str, link: Link) -> None:
        """Makes later calls open a new connection if nothing was received on this one lately."""
        if trio.current_time() - link.received_at >= _SILENCE_S:
            self._replace(address, link)

    def _replace(self, address: str, link: Link) -> None:
        for key in ((address, False), (address, True)):
            if self._links.get(key) is link:
                del self._links[key]
        link.retire(f"silent for {trio.current_time() - link.received_at:.2f} s")


def _needs_grant(member: Member, size: int) -> bool:
    """Checks whether a body takes long enough on the other VM's link to delay other requests."""
    return member.link_kbps > 0 and size * 8 / 1000 >= member.link_kbps * _MIN_OFFER_S


async def _wait_for_grant(
    pending: PendingCall, hop: HopRequest, wait_s: float
) -> HopRequest | None:
    """Waits for the grant of a body.

    Returns:
        The metadata with the remaining times; None if the grant did not arrive in time.

    Raises:
        LinkBrokenError: If the connection failed.
    """
    started_at = trio.current_time()
    with trio.move_on_after(wait_s) as scope:
        await pending.granted.wait()
    if scope.cancelled_caught:
        return None
    if pending.is_lost:
        raise LinkBrokenError("the connection failed before the body was granted")
    waited_ms = int((trio.current_time() - started_at) * 1000)
    return msgspec.structs.replace(
        hop,
        remaining_ms=max(1, hop.remaining_ms - waited_ms),
        max_slot_wait_ms=max(0, hop.max_slot_wait_ms - waited_ms),
    )


def _make_ungranted_outcome(wait_s: float) -> HopOutcome:
    """Creates the outcome of a body that was not granted in time."""
    failure = make_failure(Verdict.NOT_RUN, RefusalReason.LINK_BUSY)
    return msgspec.structs.replace(failure, body_wait_ms=round(wait_s * 1000, 1))


def _make_lost_outcome(progress: AttemptProgress) -> HopOutcome:
    """Creates the outcome of a call that was withdrawn or whose connection failed."""
    if progress.stage is AttemptStage.SENT:
        return make_lost_answer(RefusalReason.CONNECTION_LOST)
    if progress.is_withdrawn:
        return make_failure(Verdict.NOT_RUN, RefusalReason.DRAINING)
    return make_failure(Verdict.NOT_RUN, RefusalReason.CONNECTION_LOST)


def _read_result(message: HopAnswer) -> AttemptResult:
    if not message.status:
        return AttemptResult(message.outcome)
    headers = MessageHeaders(end_to_end=message.headers)
    return AttemptResult(message.outcome, UpstreamResponse(message.status, headers, message.body))
