"""State of a connection that another daemon has opened, and of the requests on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._attempt_progress import AttemptProgress

if TYPE_CHECKING:
    from fulmarstile_daemon.services._frame_stream import FrameStream
    from fulmarstile_wire.services import Hello, HopCall


class ServedCall:
    """A forwarded request that is being handled.

    Args:
        call: The request.
    """

    __slots__ = ("call", "deadline", "is_cancelled", "progress", "scope")

    def __init__(self, call: HopCall) -> None:
        self.call = call
        self.deadline = trio.current_time() + call.hop.remaining_ms / 1000
        """Time at which the other daemon stops waiting, in seconds."""
        self.scope = trio.CancelScope(deadline=self.deadline)
        self.progress = AttemptProgress()
        self.is_cancelled = False
        """Whether the other daemon needs no answer any more."""

    def cancel(self) -> None:
        """Cancels the request, whose answer the other daemon doesn't need any more."""
        self.is_cancelled = True
        self.scope.cancel()


class ServedLink:
    """A connection from another daemon.

    Args:
        frames: Messages on the connection.
    """

    __slots__ = (
        "calls",
        "ending",
        "expired",
        "frames",
        "greeted",
        "has_gone_away",
        "reads_go_away",
        "received_at",
        "scope",
    )

    def __init__(self, frames: FrameStream) -> None:
        self.frames = frames
        self.calls: dict[int, ServedCall] = {}
        """Requests without an answer so far, by the identifier of the call."""
        self.expired: dict[int, AttemptProgress] = {}
        """Requests that ended at their deadline, until the other daemon cancels them."""
        self.greeted = trio.Event()
        """Set when the other daemon has said which protocol it speaks."""
        self.reads_go_away = False
        """Whether the other daemon knows the message `GoAway`."""
        self.has_gone_away = False
        """Whether `GoAway` was sent, so that no later message may be handled."""

        self.ending = trio.Event()
        """Set when the connection should end once all that arrived on it is answered."""
        self.received_at = trio.current_time()
        """Time of the last message, at first of the connection, in seconds."""
        self.scope = trio.CancelScope()
        """Cancel scope of the task that serves the connection."""

    @property
    def is_silent(self) -> bool:
        """Whether the other side has never said Hello, and nothing waits to be read."""
        return not (self.greeted.is_set() or self.frames.has_input)

    @property
    def is_quiet(self) -> bool:
        """Whether no request is without an answer and nothing waits to be read."""
        return not (self.calls or self.frames.has_input)

    @property
    def may_retire(self) -> bool:
        """Whether it can end such that the other daemon knows that nothing was lost."""
        if self.ending.is_set() or not self.reads_go_away:
            return False
        return self.is_quiet and not self.expired and not self.frames.has_unsent

    def on_hello(self, message: Hello) -> None:
        """Records what the other daemon can read."""
        self.reads_go_away = message.reads_go_away
        self.greeted.set()
