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
    """Time after its completion for which a request is not suspected, in seconds."""
    max_completed: int = 2048
    """Most fingerprints of completed requests that are remembered."""


class Quarantine:
    """Decides which requests are suspected when the local upstream crashes.

    The membership adds up the crashes of each suspect over the whole fleet.

    Args:
        settings: Settings.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._completed: OrderedDict[bytes, float] = OrderedDict()

    @property
    def completed_count(self) -> int:
        """Number of fingerprints of completed requests that are remembered."""
        return len(self._completed)

    def on_completed(self, fingerprint: bytes, now: float) -> None:
        """Records that the local upstream completed a request without crashing.

        A request that many callers send is in flight at most crashes without causing them. It
        is not suspected as long as it also completes between them.
        """
        completed = self._completed
        completed[fingerprint] = now
        completed.move_to_end(fingerprint)
        if len(completed) > self._settings.max_completed:
            completed.popitem(last=False)

    def on_upstream_crash(self, in_flight: Iterable[bytes], now: float) -> tuple[bytes, ...]:
        """Finds the suspects of a crash.

        A completion exempts a request from suspicion at one crash only; it must complete again
        before the next one. So a request that starts to crash upstreams is soon suspected.

        Args:
            in_flight: Fingerprints of the requests that the upstream was running.
            now: Monotonic time in seconds.

        Returns:
            Fingerprints of the suspects, sorted.
        """
        return tuple(
            fingerprint
            for fingerprint in sorted(set(in_flight))
            if not self._consume_completion(fingerprint, now)
        )

    def _consume_completion(self, fingerprint: bytes, now: float) -> bool:
        completed_at = self._completed.pop(fingerprint, None)
        return completed_at is not None and now - completed_at < self._settings.lifetime_s
