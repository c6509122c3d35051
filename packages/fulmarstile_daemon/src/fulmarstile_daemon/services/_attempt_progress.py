"""Progress of one attempt to deliver a request to an upstream."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._frame_stream import OutgoingFrame


class AttemptStage(enum.Enum):
    """Which process may have the request; the value is written to the log."""

    WAITING = "waiting"
    """Only this daemon: no upstream is selected yet, or it waits for a slot of the local one."""
    OFFERED = "body-offered"
    """Only this daemon: it has offered the body to another daemon and waits for the grant."""
    SENDING = "sending"
    """Another daemon may have received a part of it."""
    SENT = "sent"
    """Another daemon may have received all of it."""
    BEGUN = "begun"
    """The upstream on this VM may have received its head."""


class AttemptProgress:
    """Tracks one attempt, which can be withdrawn until an upstream receives the request."""

    def __init__(self) -> None:
        self._stage = AttemptStage.WAITING
        self._frame: OutgoingFrame | None = None
        self.is_withdrawn = False
        """Whether the request must not be passed to an upstream."""
        self.on_withdrawn: Callable[[], None] | None = None
        """Called by `withdraw`; set by the component that the request waits in."""
        self.may_begin: Callable[[], bool] = lambda: True
        """Returns whether the request may be passed to the upstream on this VM now."""
        self.is_answering: Callable[[], bool] = _is_not_answering
        """Returns whether a part of the answer has arrived, and the rest is expected."""

    @property
    def stage(self) -> AttemptStage:
        """Which process may have the request."""
        if self._frame is None:
            return self._stage
        return AttemptStage.SENT if self._frame.is_sent else AttemptStage.SENDING

    @property
    def frame(self) -> OutgoingFrame | None:
        """Message that forwards the request to another daemon, if any."""
        return self._frame

    @property
    def may_have_begun(self) -> bool:
        """Whether an upstream may have received the request, or may still receive it."""
        return self._frame is not None or self._stage is AttemptStage.BEGUN

    def mark_offered(self) -> None:
        """Records that the body was offered to another daemon."""
        self._stage = AttemptStage.OFFERED

    def mark_sending(self, frame: OutgoingFrame) -> None:
        """Records that the request is being sent to another daemon.

        Args:
            frame: The message that forwards it.
        """
        self._frame = frame

    def revert_to_waiting(self) -> None:
        """Records that the other daemon will never receive the complete message."""
        self._stage = AttemptStage.WAITING
        self._frame = None

    def try_begin(self) -> bool:
        """Records that the request is about to be sent to the upstream on this VM.

        Returns:
            False if it was withdrawn or may not begin any more, and must not be sent.
        """
        if self.is_withdrawn or not self.may_begin():
            return False
        self._stage = AttemptStage.BEGUN
        return True

    def withdraw(self) -> None:
        """Cancels the request unless an upstream has received it."""
        if self.is_withdrawn:
            return
        self.is_withdrawn = True
        if self.on_withdrawn is not None:
            self.on_withdrawn()


def _is_not_answering() -> bool:
    return False
