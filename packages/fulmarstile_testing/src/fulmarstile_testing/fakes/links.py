"""Fake of the links between daemons in virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from fulmarstile_testing.fakes.clock import VirtualClock

JITTER: Final = 0.2
"""Largest random addition to the latency of a link, as a share of it."""

REORDERING_DELAY_S: Final = 0.5
"""Largest random extra delay while messages are reordered, in seconds."""


@dataclass(slots=True)
class _Connection:
    """One direction between two addresses, in order unless messages are reordered."""

    is_silent: bool = False
    last_arrival: float = 0.0


@dataclass(slots=True)
class LinkFaults:
    """Faults of all links."""

    loss: float = 0.0
    """Share of messages that are lost, from 0 to 1."""
    is_reordering: bool = False
    """Whether messages arrive out of order."""


class FakeLinks:
    """Delivers frames between addresses, subject to faults.

    Args:
        clock: Virtual time.
        random: Source of jitter and faults.
        latency_s: Returns the one-way latency between two addresses, in seconds.
    """

    def __init__(
        self, clock: VirtualClock, random: Random, latency_s: Callable[[str, str], float]
    ) -> None:
        self.faults = LinkFaults()
        """Faults of all links."""
        self._clock = clock
        self._random = random
        self._get_latency_s = latency_s
        self._receivers: dict[str, Callable[[bytes], None]] = {}
        self._connections: dict[tuple[str, str], _Connection] = {}
        self._blocked: list[tuple[frozenset[str], frozenset[str]]] = []

    def attach(self, address: str, receiver: Callable[[bytes], None]) -> None:
        """Opens a listener.

        Args:
            address: Its address.
            receiver: Called with each frame that arrives.
        """
        self._receivers[address] = receiver

    def detach(self, address: str) -> None:
        """Closes a listener and all connections of its address."""
        self._receivers.pop(address, None)
        for pair in [pair for pair in self._connections if address in pair]:
            del self._connections[pair]

    def send(self, source: str, destination: str, frame: bytes) -> None:
        """Sends a frame, which may be lost without an error.

        Args:
            source: Address of the sender.
            destination: Address of the receiver.
            frame: Encoded message.
        """
        receiver = self._receivers.get(destination)
        if receiver is None:
            return
        connection = self._connections.setdefault((source, destination), _Connection())
        is_lost = self._random.random() < self.faults.loss
        if connection.is_silent or is_lost or self.is_blocked(source, destination):
            return
        arrival = self._clock.now + self._draw_delay(source, destination)
        if not self.faults.is_reordering:
            arrival = max(arrival, connection.last_arrival)
            connection.last_arrival = arrival
        self._clock.call_at(
            arrival, lambda: self._deliver(source, destination, connection, receiver, frame)
        )

    def disconnect(self, source: str, destination: str) -> None:
        """Closes the connection from one address to another; the next frame opens a new one."""
        self._connections.pop((source, destination), None)

    def silence(self, first: str, second: str) -> None:
        """Drops all frames on the current connections between two addresses."""
        for pair in ((first, second), (second, first)):
            self._connections.setdefault(pair, _Connection()).is_silent = True

    def is_silent(self, source: str, destination: str) -> bool:
        """Returns whether the current connection from one address to another drops all frames."""
        connection = self._connections.get((source, destination))
        return connection is not None and connection.is_silent

    def block(self, first: frozenset[str], second: frozenset[str]) -> None:
        """Drops all frames between two groups of addresses."""
        self._blocked.append((first, second))

    def unblock(self, first: frozenset[str], second: frozenset[str]) -> None:
        """Undoes one `block` of the same two groups."""
        self._blocked.remove((first, second))

    def is_blocked(self, source: str, destination: str) -> bool:
        """Returns whether no frame can pass between two addresses."""
        return any(
            (source in first and destination in second)
            or (source in second and destination in first)
            for first, second in self._blocked
        )

    def _draw_delay(self, source: str, destination: str) -> float:
        delay_s = self._get_latency_s(source, destination) * (1 + JITTER * self._random.random())
        if self.faults.is_reordering:
            delay_s += REORDERING_DELAY_S * self._random.random()
        return delay_s

    def _deliver(
        self,
        source: str,
        destination: str,
        connection: _Connection,
        receiver: Callable[[bytes], None],
        frame: bytes,
    ) -> None:
        if connection.is_silent or self._connections.get((source, destination)) is not connection:
            return
        if self._receivers.get(destination) is receiver:
            receiver(frame)
