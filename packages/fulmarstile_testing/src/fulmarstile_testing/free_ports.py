"""Ports of the loopback address for processes that are started later."""

from __future__ import annotations

import atexit
import random
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

LOOPBACK: Final = "127.0.0.1"
"""Address that the ports belong to."""

_FIRST_PORT: Final = 20_000
"""Below the ports that the operating system hands out by itself."""
_BLOCK_SIZE: Final = 64
_BLOCKS: Final = 187


class PortBlocks:
    """Blocks of ports that no other process chooses from while this one runs.

    A port is free until its process has been started, so it can't be held itself. The first
    port of a block is bound instead, and shows to other processes that the block is taken.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: list[int] = []

    def find(self, count: int) -> Iterator[int]:
        """Finds ports that nothing listens at, those given out longest ago first.

        Args:
            count: Number of ports.

        Returns:
            The ports.

        Raises:
            OSError: If every block is taken.
        """
        found = [port for port in self._ports if _is_free(port)]
        while len(found) < count:
            found += [port for port in self._claim_block() if _is_free(port)]
        chosen = found[:count]
        self._ports = [port for port in self._ports if port not in chosen] + chosen
        return iter(chosen)

    def close(self) -> None:
        """Lets other processes choose from the blocks."""
        for guard in self._guards:
            guard.close()
        self._guards.clear()
        self._ports.clear()

    def _claim_block(self) -> range:
        numbers = list(range(_BLOCKS))
        random.Random().shuffle(numbers)
        for number in numbers:
            first = _FIRST_PORT + number * _BLOCK_SIZE
            guard = socket.socket()
            try:
                guard.bind((LOOPBACK, first))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            block = range(first + 1, first + _BLOCK_SIZE)
            self._ports += block
            return block
        raise OSError(f"all {_BLOCKS} blocks of ports from {_FIRST_PORT} on are taken")


_blocks = PortBlocks()
atexit.register(_blocks.close)


def find_free_ports(count: int) -> Iterator[int]:
    """Finds ports of the loopback address for processes of this one.

    Args:
        count: Number of ports.

    Returns:
        The ports.
    """
    return _blocks.find(count)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
