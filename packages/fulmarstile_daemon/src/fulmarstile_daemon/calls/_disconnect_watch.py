"""Watch over the calls in flight."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from fulmarstile_daemon.calls._call import Call
    from fulmarstile_daemon.calls._caller import CallerConnection

_GRACE_S: Final = 0.05
"""Age from which a call is watched, in seconds; most are over before."""


class CallWatch:
    """Cancels calls whose callers have left.

    Callers are not read from while their call runs, so their leaving is found by polling.
    """

    def __init__(self) -> None:
        self._calls: dict[Call, CallerConnection] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call, caller: CallerConnection) -> None:
        """Starts to watch a call.

        Args:
            call: The call.
            caller: Connection that it came from.
        """
        self._calls[call] = caller

    def discard(self, call: Call | None) -> None:
        """Ends the watch of a call, if it is watched.

        Args:
            call: The call, if it got that far.
        """
        self._calls.pop(call, None)

    def tick(self, now: float) -> None:
        """Cancels the calls whose callers have left since the last tick.

        A claimed call runs on, so that its answer can be kept.

        Args:
            now: Current time in seconds.
        """
        by_descriptor = {
            caller.fileno(): call
            for call, caller in self._calls.items()
            if now - call.arrived_at > _GRACE_S and call.claim is None
        }
        for descriptor in _find_hung_up(list(by_descriptor)):
            _abandon(by_descriptor[descriptor])


def _find_hung_up(descriptors: list[int]) -> list[int]:
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
