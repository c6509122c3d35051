"""A connection to another daemon, and the calls on it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptStage
from fulmarstile_daemon.services._error_frames import release_frames
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_wire.services import (
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

if TYPE_CHECKING:
    from fulmarstile_daemon.services._attempt_progress import AttemptProgress
    from fulmarstile_daemon.services._frame_stream import OutgoingFrame

_LOGGER: Final = logging.getLogger(__name__)


class PendingCall:
    """A call that waits for its answer."""

    __slots__ = ("answer", "done", "granted", "is_dropped", "is_lost", "is_refused")

    def __init__(self) -> None:
        self.done = trio.Event()
        """Set when the call has ended, with an answer or without."""
        self.answer: HopAnswer | SyncAnswer | PeerAnswer | None = None
        self.granted = trio.Event()
        """Set when the body was granted, or when the call has ended without a grant."""
        self.is_lost = False
        """Whether the connection failed before the answer."""
        self.is_dropped = False
        """Whether there was no memory for the answer."""
        self.is_refused = False
        """Whether the other daemon has ended without having read the call."""


class Link:
    """A connection and the calls on it.

    Args:
        frames: Sends and receives the messages; owned by this object from now on.
        address: `host:port` of the other daemon.
    """

    def __init__(self, frames: FrameStream, address: str) -> None:
        self._address = address
        self.frames = frames
        """Sends and receives the messages."""
        self._pending: dict[int, PendingCall] = {}
        self._next_id = 0
        self._is_retired = False
        self._closed_because = ""
        self.received_at = trio.current_time()
        """Time of the last message, in seconds."""

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self.frames.is_closed

    @property
    def is_answering(self) -> bool:
        """Whether a part of an answer has arrived that a call waits for."""
        return self.frames.arriving_answer in self._pending

    def is_answering_call(self, call_id: int) -> bool:
        """Returns whether a part of the answer to a call has arrived."""
        return self.frames.arriving_answer == call_id

    def begin_call(self) -> tuple[int, PendingCall]:
        """Begins a call, of which nothing is sent yet.

        Returns:
            The id of the call, and its state.
        """
        self._next_id += 1
        pending = self._pending[self._next_id] = PendingCall()
        return self._next_id, pending

    def send(self, message: Hello | HopCall | SyncCall | PeerCall | BodyOffer) -> OutgoingFrame:
        """Sends a message; see `FrameStream.send`."""
        return self.frames.send(message)

    def withdraw(self, call_id: int, progress: AttemptProgress) -> None:
        """Withdraws a call, which the other daemon refuses unless its upstream has received it."""
        pending = self._pending[call_id]
        if progress.frame is None:
            pending.granted.set()
        elif self._drop_unsent(progress):
            # Releases the grant of its body.
            self._send_or_close(HopCancel(call_id))
            pending.done.set()
        else:
            self._send_or_close(HopWithdraw(call_id))

    def abandon_call(self, progress: AttemptProgress) -> None:
        """Drops a cancelled call that was not sent, so that the other daemon never runs it."""
        if progress.stage is not AttemptStage.SENDING:
            return
        if self.is_closed:
            # The other daemon cannot have received the complete message.
            progress.revert_to_waiting()
        else:
            self._drop_unsent(progress)

    def keep_unsent(self, progress: AttemptProgress) -> None:
        """Accounts for what is still to be sent of a call that has ended."""
        if progress.frame is not None:
            self.frames.keep(progress.frame)

    def _drop_unsent(self, progress: AttemptProgress) -> bool:
        frame = progress.frame
        if frame is None or not self.frames.drop(frame):
            return False
        progress.revert_to_waiting()
        return True

    def _send_or_close(self, message: HopCancel | HopWithdraw) -> None:
        try:
            self.frames.send(message)
        except LinkBrokenError as error:
            self.close(str(error))

    def end_call(self, call_id: int) -> None:
        """Removes a call, and cancels it at the other daemon if it has no answer."""
        pending = self._pending.pop(call_id)
        if not pending.done.is_set() and not self.frames.is_closed:
            self._send_or_close(HopCancel(call_id))
        self._close_if_unused()

    def retire(self, reason: str) -> None:
        """Closes the connection at the end of the last call on it; no more may begin.

        Args:
            reason: Why, for the log.
        """
        self._is_retired = True
        self._closed_because = self._closed_because or reason
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._pending:
            self.close()

    def close(self, reason: str = "") -> None:
        """Closes the connection; the calls on it are lost.

        Args:
            reason: Why, for the log, if the connection was not retired before.
        """
        self._closed_because = self._closed_because or reason
        self.frames.close()
        for pending in self._pending.values():
            pending.is_lost = True
            pending.granted.set()
            pending.done.set()

    async def run(self) -> None:
        """Receives answers until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.frames.send_forever)
                while True:
                    for message in await self.frames.receive():
                        self._on_message(message)
        except* LinkBrokenError as group:
            reason = self._closed_because or group.exceptions[0]
            _LOGGER.info("connection to %s closed: %s", self._address, reason)
            release_frames(group)
        except* Exception:
            # An error on one connection must not end the daemon.
            _LOGGER.exception("receiving from %s failed", self._address)
        finally:
            self.close()

    def _on_message(self, message: object) -> None:
        self.received_at = trio.current_time()
        if isinstance(message, GoAway):
            for pending in self._pending.values():
                pending.is_refused = not pending.done.is_set()
            raise LinkBrokenError("the other daemon has ended")
        if isinstance(message, DroppedMessage):
            self._on_dropped(message)
            return
        if isinstance(message, UnknownMessage):
            _LOGGER.info("ignored a message that can't be read, of kind %d", message.tag)
            return
        if not isinstance(message, HopAnswer | SyncAnswer | PeerAnswer | BodyGrant):
            raise LinkBrokenError(f"unexpected message {type(message).__name__}")
        pending = self._pending.get(message.call_id)
        if pending is None:
            return
        if isinstance(message, BodyGrant):
            pending.granted.set()
            return
        pending.answer = message
        pending.granted.set()
        pending.done.set()

    def _on_dropped(self, message: DroppedMessage) -> None:
        kind = message.kind.__name__
        _LOGGER.warning("no memory for a message from %s: %s", self._address, kind)
        pending = self._pending.get(message.call_id)
        if pending is not None:
            pending.is_dropped = True
            pending.granted.set()
            pending.done.set()
