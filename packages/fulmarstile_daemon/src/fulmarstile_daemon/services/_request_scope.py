"""Cancellation of a request while it is handled."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._server_connection import CallerResponse

FINAL_RECEIVE_S: Final = 0.2
"""Longest time for which a daemon that ends receives the rest of answers, in seconds."""


class RequestScope:
    """Cancel scope of a request, with the response to send after cancellation.

    It is cancelled by the deadline, by the caller's disconnect, by a successful hedge and by the
    shutdown of the daemon.
    """

    def __init__(self) -> None:
        self.cancel_scope = trio.CancelScope()
        """Scope in which the request is handled."""
        self.is_abandoned = False
        """Whether the caller has disconnected."""
        self.make_response: Callable[[], CallerResponse] | None = None
        """Creates the response after cancellation; None if no caller waits for one."""
        self.is_answering: Callable[[], bool] = _is_not_answering
        """Returns whether a part of its answer has arrived, and the rest is expected."""
        self._withdraw: Callable[[], None] | None = None

    def set_deadline(
        self,
        deadline: float,
        make_response: Callable[[], CallerResponse],
        withdraw: Callable[[], None],
    ) -> None:
        """Sets the deadline of the request.

        Args:
            deadline: Time at which the request is cancelled, in seconds.
            make_response: Creates the response after cancellation.
            withdraw: Cancels the request at upstreams that have not received it yet.
        """
        self.make_response = make_response
        self._withdraw = withdraw
        self.cancel_scope.deadline = deadline

    def withdraw(self) -> None:
        """Cancels the request at upstreams that have not received it yet."""
        if self._withdraw is not None:
            self._withdraw()

    def expire(self) -> None:
        """Cancels the request; its response is derived from its state so far."""
        if self.make_response is not None:
            self.cancel_scope.cancel()

    def finish_early(self, make_response: Callable[[], CallerResponse]) -> None:
        """Cancels the request because its response is available early.

        Args:
            make_response: Creates the response.
        """
        if not self.is_abandoned:
            self.make_response = make_response
            self.cancel_scope.cancel()

    def release(self) -> Callable[[], CallerResponse] | None:
        """Ends the handling, and returns what creates the response after cancellation.

        Until then the request and its scope refer to each other: the cycle would keep its body.
        """
        make_response = self.make_response
        self.make_response = self._withdraw = None
        self.is_answering = _is_not_answering
        return make_response

    def abandon(self) -> None:
        """Cancels the request because its caller has disconnected."""
        self.is_abandoned = True
        self.make_response = None
        self.cancel_scope.cancel()


def _is_not_answering() -> bool:
    return False
