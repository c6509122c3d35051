"""Requests suspected of crashing the local upstream."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def request_fingerprint(customer: str, method: str, path: str, body_hash: bytes = b"") -> bytes:
    """Returns the 16-byte fingerprint of a request.

    Args:
        customer: Customer of the route.
        method: HTTP method.
        path: Request target with its query.
        body_hash: Hash of the body; empty without a body.
    """
    digest = xxhash.xxh3_128()
    for part in (customer.encode(), method.encode(), path.encode(), body_hash):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of `Quarantine`."""

    lifetime_s: float = 600.0
    """Time for which a completed request is not suspected, in seconds."""
    max_completed: int = 2048
    """Most fingerprints remembered as having run without a crash."""


class Quarantine:
    """Decides which requests are suspected when the local upstream crashes.

    The membership counts the crashes of each suspect in the whole fleet.

    Args:
        settings: Settings.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._completed: OrderedDict[bytes, float] = OrderedDict()

    @property
    def completed_count(self) -> int:
        """Number of fingerprints remembered as having run without a crash."""
        return len(self._completed)

    def on_completed(self, fingerprint: bytes, now: float) -> None:
        """Notes that the local upstream answered a request and did not crash under it.

        A request that many callers send is in flight at most crashes. It is not suspected as
        long as it runs without one, too.
        """
        completed = self._completed
        completed[fingerprint] = now
        completed.move_to_end(fingerprint)
        if len(completed) > self._settings.max_completed:
            completed.popitem(last=False)

    def on_upstream_crash(self, in_flight: Iterable[bytes], now: float) -> tuple[bytes, ...]:
        """Finds the suspects of a crash.

        A request that has completed is spared at one crash; it must complete again before the
        next one. So a request that begins to crash upstreams is soon suspected.

        Args:
            in_flight: Fingerprints of the requests that the upstream was running.
            now: Monotonic time in seconds.

        Returns:
            Fingerprints of the suspects, sorted.
        """
        return tuple(each for each in sorted(set(in_flight)) if not self._take_proof(each, now))

    def _take_proof(self, fingerprint: bytes, now: float) -> bool:
        completed_at = self._completed.pop(fingerprint, None)
        return completed_at is not None and now - completed_at < self._settings.lifetime_s
