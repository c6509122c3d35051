"""Detection of callers that disconnect while their calls are in flight."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection

_MIN_WATCHED_AGE_S: Final = 0.05
"""Age from which a call is watched, in seconds; most calls end sooner."""


class DisconnectWatch:
    """Cancels calls whose callers have disconnected.

    Caller connections are not read while a call runs, so disconnects are detected by polling.
    """

    def __init__(self) -> None:
        self._calls: dict[Call, CallerConnection] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call, caller: CallerConnection) -> None:
        """Starts watching a call.

        Args:
            call: The call.
            caller: Connection that it came from.
        """
        self._calls[call] = caller

    def discard(self, call: Call | None) -> None:
        """Stops watching a call, if it is watched.

        Args:
            call: The call; None if its request was refused before it became a call.
        """
        self._calls.pop(call, None)

    def tick(self, now: float) -> None:
        """Cancels the calls whose callers have disconnected since the last tick.

        A claimed call continues, so that its answer can be stored.

        Args:
            now: Current time in seconds.
        """
        by_descriptor = {
            caller.fileno(): call
            for call, caller in self._calls.items()
            if now - call.arrived_at > _MIN_WATCHED_AGE_S and call.claim is None
        }
        for descriptor in _find_disconnected(list(by_descriptor)):
            _abandon(by_descriptor[descriptor])


def _find_disconnected(descriptors: list[int]) -> list[int]:
    poll = select.poll()
    count = 0
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, select.POLLRDHUP)
            count += 1
    if not count:
        return []
    return [descriptor for descriptor, _ in poll.poll(0)]


def _abandon(call: Call) -> None:
    call.abandoned = True
    if call.scope is not None:
        call.scope.cancel()
