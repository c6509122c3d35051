"""Admission of large request bodies to the network link of this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._frame_stream import FrameStream

_MAX_GRANTED_S: Final = 0.25
"""Link time that the granted bodies together may take, in seconds."""


class OfferKey(NamedTuple):
    """Identifies an offer."""

    connection: FrameStream
    call_id: int


class _Offer(NamedTuple):
    size: int
    grant: Callable[[], None]


class BodyAdmission:
    """Grants offered bodies first come, first served, so that only a few share the link at a time.

    Without it, small requests would queue behind all bodies that other daemons send concurrently.

    Args:
        bytes_per_s: Capacity of the link in bytes per second; 0 if unknown.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._granted: dict[OfferKey, int] = {}
        self._waiting: dict[OfferKey, _Offer] = {}
        self.is_closed = False
        """Whether no more offers are granted."""

    @property
    def granted_count(self) -> int:
        """Number of bodies granted and not yet received."""
        return len(self._granted)

    @property
    def wait_s(self) -> float:
        """Estimated wait of a body offered now until its sender may transmit it, in seconds."""
        if not self._granted or not self._bytes_per_s:
            return 0.0
        size = sum(self._granted.values()) + sum(offer.size for offer in self._waiting.values())
        return size / self._bytes_per_s

    def offer(self, key: OfferKey, size: int, grant: Callable[[], None]) -> None:
        """Queues an offer.

        Args:
            key: Identifies the offer.
            size: Size of the body in bytes.
            grant: Called when the body may be sent.
        """
        self._waiting[key] = _Offer(size, grant)
        self._grant_next()

    def close(self) -> tuple[OfferKey, ...]:
        """Stops granting offers.

        Returns:
            The offers that were still waiting.
        """
        self.is_closed = True
        waiting = tuple(self._waiting)
        self._waiting.clear()
        return waiting

    def release(self, key: OfferKey) -> None:
        """Removes an offer whose body has arrived or will not be sent."""
        if not self._granted:
            return
        self._granted.pop(key, None)
        self._waiting.pop(key, None)
        self._grant_next()

    def release_all(self, connection: FrameStream) -> None:
        """Removes all offers of a connection that has ended."""
        for key in [
            key for key in (*self._granted, *self._waiting) if key.connection is connection
        ]:
            self.release(key)

    def _grant_next(self) -> None:
        while self._waiting:
            key, offer = next(iter(self._waiting.items()))
            granted_bytes = sum(self._granted.values())
            if granted_bytes and granted_bytes + offer.size > self._bytes_per_s * _MAX_GRANTED_S:
                return
            del self._waiting[key]
            self._granted[key] = offer.size
            offer.grant()
