"""Ends the answering of a request from outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._server_connection import Reply


class RequestEnding:
    """The one cancel scope of a request: its deadline, its caller and a second attempt end it."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        """Scope in which the request is answered."""
        self.has_left = False
        """Whether the caller has left."""
        self.conclude: Callable[[], Reply] | None = None
        """Makes the answer after the scope was cancelled; None if nobody waits for one."""

    def limit(self, deadline: float, conclude: Callable[[], Reply]) -> None:
        """Sets how long the request may take.

        Args:
            deadline: Time of the end, in seconds.
            conclude: Makes the answer at that time.
        """
        self.conclude = conclude
        self.scope.deadline = deadline

    def end_with(self, conclude: Callable[[], Reply]) -> None:
        """Ends the request early, because it has an answer.

        Args:
            conclude: Makes the answer.
        """
        if not self.has_left:
            self.conclude = conclude
            self.scope.cancel()

    def leave(self) -> None:
        """Ends the request, because its caller has left."""
        self.has_left = True
        self.conclude = None
        self.scope.cancel()
