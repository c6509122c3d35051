"""Ends the answering of a request from outside."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._server_connection import CallerResponse


class RequestScope:
    """The one cancel scope of a request.

    Its deadline, its caller, a second attempt and the end of the daemon end it.
    """

    def __init__(self) -> None:
        self.cancel_scope = trio.CancelScope()
        """Scope in which the request is answered."""
        self.has_left = False
        """Whether the caller has left."""
        self.conclude: Callable[[], CallerResponse] | None = None
        """Makes the answer after the scope was cancelled; None if nobody waits for one."""
        self._withdraw: Callable[[], None] | None = None

    def limit(
        self, deadline: float, conclude: Callable[[], CallerResponse], withdraw: Callable[[], None]
    ) -> None:
        """Sets how long the request may take.

        Args:
            deadline: Time of the end, in seconds.
            conclude: Makes the answer at that time.
            withdraw: Keeps the request from an upstream that does not have it yet.
        """
        self.conclude = conclude
        self._withdraw = withdraw
        self.cancel_scope.deadline = deadline

    def withdraw(self) -> None:
        """Keeps the request from an upstream that does not have it yet."""
        if self._withdraw is not None:
            self._withdraw()

    def expire(self) -> None:
        """Ends the request with the answer that follows from what is known of it."""
        if self.conclude is not None:
            self.cancel_scope.cancel()

    def end_with(self, conclude: Callable[[], CallerResponse]) -> None:
        """Ends the request early, because it has an answer.

        Args:
            conclude: Makes the answer.
        """
        if not self.has_left:
            self.conclude = conclude
            self.cancel_scope.cancel()

    def leave(self) -> None:
        """Ends the request, because its caller has left."""
        self.has_left = True
        self.conclude = None
        self.cancel_scope.cancel()
