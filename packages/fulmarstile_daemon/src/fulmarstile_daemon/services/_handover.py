"""How far a request has come on its way to an upstream."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._frame_stream import OutgoingFrame


class HandoverStage(enum.Enum):
    """Who has a request; the value is written to the log."""

    WAITING = "waiting"
    """This daemon alone: no upstream is chosen yet, or a slot of the one here is awaited."""
    OFFERED = "body-offered"
    """This daemon alone: another one was asked whether the body may come."""
    SENDING = "sending"
    """Another daemon has a part of it at most."""
    SENT = "sent"
    """Another daemon may have all of it."""
    BEGUN = "begun"
    """The upstream on this VM may have its head."""


class Handover:
    """Follows one attempt of a request, which can be withdrawn until an upstream gets it."""

    def __init__(self) -> None:
        self._stage = HandoverStage.WAITING
        self._frame: OutgoingFrame | None = None
        self.is_withdrawn = False
        """Whether no upstream is to get the request any more."""
        self.on_withdrawn: Callable[[], None] | None = None
        """Called by `withdraw`; set by what the request waits for."""

    @property
    def stage(self) -> HandoverStage:
        """Who has the request."""
        if self._frame is None:
            return self._stage
        return HandoverStage.SENT if self._frame.is_sent else HandoverStage.SENDING

    @property
    def frame(self) -> OutgoingFrame | None:
        """Message that carries the request to another daemon; None if there is none."""
        return self._frame

    @property
    def may_have_begun(self) -> bool:
        """Whether an upstream may have got the request, or may still get it."""
        return self._frame is not None or self._stage is HandoverStage.BEGUN

    def offer(self) -> None:
        """Notes that another daemon was asked whether the body may come."""
        self._stage = HandoverStage.OFFERED

    def send(self, frame: OutgoingFrame) -> None:
        """Notes that the request is on its way to another daemon.

        Args:
            frame: The message that carries it.
        """
        self._frame = frame

    def take_back(self) -> None:
        """Notes that the other daemon will never have all of the message."""
        self._stage = HandoverStage.WAITING
        self._frame = None

    def begin(self) -> bool:
        """Notes that the request goes to the upstream on this VM from now on.

        Returns:
            Whether it may; False if it was withdrawn.
        """
        if self.is_withdrawn:
            return False
        self._stage = HandoverStage.BEGUN
        return True

    def withdraw(self) -> None:
        """Keeps the request from an upstream that does not have it yet."""
        if self.is_withdrawn:
            return
        self.is_withdrawn = True
        if self.on_withdrawn is not None:
            self.on_withdrawn()
