"""Settings of the claims on idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_WINDOW_S: Final = 600.0
"""Age of the oldest key accepted if the log keeps records long enough, in seconds."""

RETENTION_PER_WINDOW: Final = 2.0
"""Number of windows for which the log must retain a claim."""


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Settings of all claim cores; every daemon must have the same shards and windows."""

    shards: int = 8
    """Number of claim streams."""
    window_s: float = MAX_WINDOW_S
    """Age of the oldest key accepted, in seconds; at most half the log's retention time."""
    max_ahead_s: float = 5.0
    """How far a key's creation time may lie in the future, in seconds."""
    append_interval_s: float = 0.1
    """Shortest time between two appends to one stream, in seconds."""
    max_batch_records: int = 512
    """Most claims and outcomes in one append."""
    max_batch_bytes: int = 256 * 1024
    """Largest append, in bytes."""
    max_pending: int = 4096
    """Most claims that wait at one batcher."""
    max_body_bytes: int = 2048
    """Largest stored answer, in bytes."""
    max_table_body_bytes: int = 32 << 20
    """Most bytes of stored answers in one table; further ones are recorded without their body."""
    max_table_keys: int = 200_000
    """Number of keys in one table at which new claims are refused."""
    outcome_delay_s: float = 0.25
    """Longest time for which an outcome waits for a claim to share an append, in seconds."""
    stall_s: float = 1.0
    """Duration of an append after which new claims are refused, in seconds."""
    min_backoff_s: float = 0.2
    """First delay after a failure of the log, in seconds; doubled on each further one."""
    max_backoff_s: float = 2.0
    """Longest delay after a failure of the log, in seconds."""
    tail_wait_s: float = 20.0
    """Duration of a long poll of the log, in seconds."""
    resend_after_s: float = 0.4
    """Time after which a claim is sent to the next batcher, in seconds."""
    avoid_s: float = 3.0
    """Time for which a batcher that did not answer is tried last, in seconds."""
    give_up_after_s: float = 2.0
    """Time after which a claim without an answer fails, in seconds."""
    outcome_resend_s: float = 1.0
    """Time after which an unconfirmed outcome is sent again, in seconds."""
    outcome_lifetime_s: float = 60.0
    """Time after which an unconfirmed outcome is dropped, in seconds."""
    max_tracked: int = 8192
    """Most abandoned claims and unconfirmed outcomes that one daemon remembers."""

    @classmethod
    def for_retention(cls, retention_s: float) -> ClaimSettings:
        """Returns the settings for a log with a retention time, in seconds."""
        return cls(window_s=min(MAX_WINDOW_S, retention_s / RETENTION_PER_WINDOW))

    @property
    def window_ms(self) -> int:
        """Age of the oldest key accepted, in milliseconds."""
        return int(self.window_s * 1000)

    @property
    def max_ahead_ms(self) -> int:
        """How far a key's creation time may lie in the future, in milliseconds."""
        return int(self.max_ahead_s * 1000)
