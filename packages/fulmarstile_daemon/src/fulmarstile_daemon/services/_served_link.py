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

    __slots__ = ("calls", "expired", "frames", "greeted", "has_gone_away", "reads_go_away")

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

    def on_hello(self, message: Hello) -> None:
        """Records what the other daemon can read."""
        self.reads_go_away = message.reads_go_away
        self.greeted.set()
