"""Requests suspected of crashing upstreams."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

import xxhash

from fulmarstile_calls.request import CallRefusal, RefusalReason
from fulmarstile_wire.records import QuarantineRecord
from fulmarstile_wire.verdict import Verdict

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


SWEEP_INTERVAL_S: Final = 5.0
"""Shortest time between two sweeps of expired crashes, in seconds."""

_Crashes: TypeAlias = dict[tuple[str, int], float]
"""Time of expiry of each crash, by daemon and crash number."""


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of `Quarantine`."""

    crashes: int = 2
    """Distinct crashes after which a fingerprint is refused."""
    lifetime_s: float = 600.0
    """Time for which a crash counts against a fingerprint, in seconds."""
    max_fingerprints: int = 4096
    """Most fingerprints remembered; the oldest with fewer crashes are dropped first."""
    max_completed: int = 2048
    """Most fingerprints remembered as having run without a crash."""
    max_suspects: int = 64
    """Most requests suspected of one crash; a crash under more is not gossiped."""


class Quarantine:
    """Fingerprints that were in flight when upstreams crashed.

    Args:
        settings: Settings.
        daemon_id: Name of this daemon.
        first_crash_id: Start of this daemon's crash numbers, higher than those of an earlier
            process under the same name.
    """

    def __init__(
        self, settings: QuarantineSettings, daemon_id: str, first_crash_id: int = 0
    ) -> None:
        self._settings = settings
        self._daemon_id = daemon_id
        self._next_crash_id = first_crash_id
        self._sweep_at = float("-inf")
        self._suspects: OrderedDict[bytes, _Crashes] = OrderedDict()
        self._quarantined: OrderedDict[bytes, _Crashes] = OrderedDict()
        self._completed: OrderedDict[bytes, float] = OrderedDict()

    @property
    def fingerprint_count(self) -> int:
        """Number of fingerprints remembered with a crash."""
        return len(self._suspects) + len(self._quarantined)

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

    def on_upstream_crash(
        self, in_flight: Iterable[bytes], now: float
    ) -> tuple[QuarantineRecord, ...]:
        """Suspects the requests that were in flight when the upstream crashed.

        Args:
            in_flight: Fingerprints of the requests that the upstream was running.
            now: Monotonic time in seconds.

        Returns:
            Records to gossip.
        """
        suspects = [each for each in sorted(set(in_flight)) if not self._is_proven(each, now)]
        if not 0 < len(suspects) <= self._settings.max_suspects:
            return ()
        crash_id = self._next_crash_id
        self._next_crash_id += 1
        lifetime_ms = int(self._settings.lifetime_s * 1000)
        records = tuple(
            QuarantineRecord(fingerprint, self._daemon_id, crash_id, lifetime_ms)
            for fingerprint in suspects
        )
        self.on_records(records, now)
        return records

    def on_records(self, records: Iterable[QuarantineRecord], now: float) -> None:
        """Takes in records from the gossip; repeated ones count once."""
        for record in records:
            self._note(record, now)

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request must be refused."""
        crashes = self._quarantined.get(fingerprint)
        if crashes is None:
            return False
        live = sum(1 for expires_at in crashes.values() if expires_at > now)
        return live >= self._settings.crashes

    def check(self, fingerprint: bytes, now: float) -> CallRefusal | None:
        """Returns the refusal of a quarantined request, or None."""
        if not self.is_quarantined(fingerprint, now):
            return None
        detail = "upstreams crashed while they ran this request"
        return CallRefusal(RefusalReason.QUARANTINED, Verdict.NOT_RUN, 422, detail)

    def on_tick(self, now: float) -> None:
        """Forgets expired crashes, if that was not done in the last seconds."""
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL_S
        for table in (self._suspects, self._quarantined):
            for fingerprint in list(table):
                crashes = table[fingerprint]
                for crash in [crash for crash, end in crashes.items() if end <= now]:
                    del crashes[crash]
                if not crashes:
                    del table[fingerprint]

    def _is_proven(self, fingerprint: bytes, now: float) -> bool:
        completed_at = self._completed.get(fingerprint)
        return completed_at is not None and now - completed_at < self._settings.lifetime_s

    def _note(self, record: QuarantineRecord, now: float) -> None:
        lifetime_s = min(self._settings.lifetime_s, record.expires_in_ms / 1000)
        if lifetime_s <= 0:
            return
        crash = (record.daemon_id, record.crash_id)
        crashes = self._quarantined.get(record.fingerprint)
        if crashes is None:
            crashes = self._suspects.setdefault(record.fingerprint, {})
        if crash in crashes:
            return
        crashes[crash] = now + lifetime_s
        if len(crashes) >= self._settings.crashes:
            self._drop_soonest(crashes)
            self._suspects.pop(record.fingerprint, None)
            self._quarantined[record.fingerprint] = crashes
        self._evict()

    def _drop_soonest(self, crashes: _Crashes) -> None:
        while len(crashes) > self._settings.crashes:
            del crashes[min(crashes, key=lambda crash: (crashes[crash], crash))]

    def _evict(self) -> None:
        while self.fingerprint_count > self._settings.max_fingerprints:
            table = self._suspects or self._quarantined
            table.popitem(last=False)
