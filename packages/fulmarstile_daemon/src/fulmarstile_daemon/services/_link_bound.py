"""Bound of the connections from other daemons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from fulmarstile_daemon.services._served_link import ServedLink

_LOGGER: Final = logging.getLogger(__name__)

HELLO_TIMEOUT_S: Final = 30.0
"""Longest time until a connection has said Hello, in seconds; far more than a loop is late."""
RETIRE_IDLE_S: Final = 5.0
"""Time without a message from which a connection makes room for others, in seconds."""
_DESCRIPTOR_SHARE: Final = 0.2
"""Share of the unreserved descriptors that connections from other daemons may use at least."""
_MIN_LINKS: Final = 64
_LINKS_PER_DAEMON: Final = 2
"""Connections that another daemon may have open, as one is replaced by the next."""
_CHECK_INTERVAL_S: Final = 1.0
_RETRY_S: Final = 0.05
"""Interval at which a connection beyond the limit looks for an idle one, in seconds."""
_LOG_INTERVAL_S: Final = 10.0
"""Shortest time between two log lines about connections that make room, in seconds."""


def compute_link_limit(descriptors: int, daemons: int) -> int:
    """Computes the maximum number of connections from other daemons.

    Args:
        descriptors: Descriptors that are not reserved.
        daemons: Number of known daemons.
    """
    return max(_MIN_LINKS, int(descriptors * _DESCRIPTOR_SHARE)) + _LINKS_PER_DAEMON * daemons


class LinkBound:
    """Bounds the connections from other daemons, and ends those that are of no use.

    A connection that said nothing is closed; an idle one is retired such that the other daemon
    sends its next request on a new one. Connections with requests stay.

    Args:
        limit: Returns the maximum number of connections.
        links: Open connections.
    """

    def __init__(self, limit: Callable[[], int], links: Collection[ServedLink]) -> None:
        self._limit = limit
        self._links = links
        self._logged_at = float("-inf")

    async def wait_for_room(self) -> None:
        """Waits until one more connection may be served."""
        # The task of the last connection has to run first.
        for _ in range(2):
            await trio.lowlevel.checkpoint()
        while len(self._links) >= self._limit():
            self._make_room()
            await trio.sleep(_RETRY_S)

    async def close_silent(self) -> None:
        """Closes connections that don't say Hello in time, until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            oldest = trio.current_time() - HELLO_TIMEOUT_S
            for link in list(self._links):
                if link.is_silent and link.received_at < oldest:
                    _LOGGER.info("connection from a daemon closed: it said nothing")
                    link.scope.cancel()

    def _make_room(self) -> None:
        oldest = trio.current_time() - RETIRE_IDLE_S
        idle = [
            link
            for link in self._links
            if link.received_at < oldest and (link.is_silent or link.may_retire)
        ]
        if not idle:
            self._log("no room for another connection from a daemon: none is idle")
            return
        link = min(idle, key=lambda link: (link.greeted.is_set(), link.received_at))
        self._log("too many connections from daemons: the one idle longest makes room")
        if link.is_silent:
            link.scope.cancel()
        else:
            link.ending.set()

    def _log(self, event: str) -> None:
        now = trio.current_time()
        if now - self._logged_at >= _LOG_INTERVAL_S:
            self._logged_at = now
            _LOGGER.warning("%s (limit %d)", event, self._limit())
