"""Order in which large bodies come over the link of this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services._frame_stream import FrameStream

_GRANTED_S: Final = 0.25
"""Time for which the bodies on their way fill the link, in seconds."""


class OfferKey(NamedTuple):
    """Names an offer."""

    connection: FrameStream
    call_id: int


class _Offer(NamedTuple):
    size: int
    grant: Callable[[], None]


class BodyGate:
    """Grants offers of large bodies in turn, so that few of them fill the link at a time.

    Small requests would else wait behind all bodies that other daemons send at the same time.

    Args:
        bytes_per_s: Capacity of the link, in bytes a second; 0 if it is not known.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._granted: dict[OfferKey, int] = {}
        self._waiting: dict[OfferKey, _Offer] = {}
        self.is_closed = False
        """Whether nothing more is granted."""

    @property
    def granted(self) -> int:
        """Bodies that are on their way."""
        return len(self._granted)

    @property
    def wait_s(self) -> float:
        """Time until a body that is offered now would be granted, in seconds."""
        if not self._granted or not self._bytes_per_s:
            return 0.0
        size = sum(self._granted.values()) + sum(offer.size for offer in self._waiting.values())
        return size / self._bytes_per_s

    def offer(self, key: OfferKey, size: int, grant: Callable[[], None]) -> None:
        """Takes an offer.

        Args:
            key: Names it.
            size: Bytes of the body.
            grant: Called once the body is to be sent.
        """
        self._waiting[key] = _Offer(size, grant)
        self._grant_next()

    def close(self) -> tuple[OfferKey, ...]:
        """Grants nothing more.

        Returns:
            The offers that waited.
        """
        self.is_closed = True
        waiting = tuple(self._waiting)
        self._waiting.clear()
        return waiting

    def release(self, key: OfferKey) -> None:
        """Notes that a body has arrived, or that it won't be sent."""
        if not self._granted:
            return
        self._granted.pop(key, None)
        self._waiting.pop(key, None)
        self._grant_next()

    def release_all(self, connection: FrameStream) -> None:
        """Notes that a connection has ended."""
        for key in [
            key for key in (*self._granted, *self._waiting) if key.connection is connection
        ]:
            self.release(key)

    def _grant_next(self) -> None:
        while self._waiting:
            key, offer = next(iter(self._waiting.items()))
            on_way = sum(self._granted.values())
            if on_way and on_way + offer.size > self._bytes_per_s * _GRANTED_S:
                return
            del self._waiting[key]
            self._granted[key] = offer.size
            offer.grant()
