"""Notices input on connections whose tasks do not read."""

from __future__ import annotations

import select
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class InputWatch:
    """Calls back once when input arrives on a connection for which it is armed.

    Arming costs a system call, which is less than a task per connection that waits for input.

    Args:
        epoll: Event queue of its own, because each connection is also known to trio's.
    """

    def __init__(self, epoll: select.epoll) -> None:
        self._epoll = epoll
        self._callbacks: dict[int, Callable[[], None]] = {}

    async def run(self) -> None:
        """Calls back until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for descriptor, _ in self._epoll.poll(0):
                callback = self._callbacks.get(descriptor)
                if callback is not None:
                    callback()

    def add(self, descriptor: int, callback: Callable[[], None]) -> None:
        """Adds a connection, not armed.

        Args:
            descriptor: File descriptor of the connection.
            callback: Called in the task of `run`; must neither wait nor fail.
        """
        self._epoll.register(descriptor, select.EPOLLONESHOT)
        self._callbacks[descriptor] = callback

    def arm(self, descriptor: int) -> None:
        """Calls back once when the connection has input or has ended.

        Args:
            descriptor: File descriptor of an open connection.
        """
        self._epoll.modify(descriptor, select.EPOLLIN | select.EPOLLONESHOT)

    def disarm(self, descriptor: int) -> None:
        """Does not call back until armed again.

        Args:
            descriptor: File descriptor of an open connection.
        """
        self._epoll.modify(descriptor, select.EPOLLONESHOT)

    def remove(self, descriptor: int, callback: Callable[[], None]) -> None:
        """Forgets a connection that was closed.

        Args:
            descriptor: File descriptor that it had, perhaps that of another connection by now.
            callback: Callback of the connection.
        """
        if self._callbacks.get(descriptor) == callback:
            del self._callbacks[descriptor]


@contextmanager
def open_input_watch() -> Iterator[InputWatch]:
    """Opens an input watch and closes it at the end of the context."""
    with select.epoll() as epoll:
        yield InputWatch(epoll)
