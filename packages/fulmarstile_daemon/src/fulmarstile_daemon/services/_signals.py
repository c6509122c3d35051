"""Signals of the process, with the time of their arrival."""

from __future__ import annotations

import math
import signal
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import FrameType


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """A signal."""

    number: int
    received_at: float
    """Time of its arrival by the boot clock, in seconds; the event loop may handle it later."""


@contextmanager
def receive_signals(*numbers: int) -> Iterator[trio.MemoryReceiveChannel[ReceivedSignal]]:
    """Receives signals until the context ends; only in the main thread.

    Args:
        numbers: Signals to receive.

    Yields:
        The signals in the order of their arrival.
    """
    token = trio.lowlevel.current_trio_token()
    sender, receiver = trio.open_memory_channel[ReceivedSignal](math.inf)

    def on_signal(number: int, frame: FrameType | None) -> None:
        # Runs between two instructions of whatever task keeps the event loop busy.
        token.run_sync_soon(sender.send_nowait, ReceivedSignal(number, read_boot_clock()))

    earlier = {number: signal.signal(number, on_signal) for number in numbers}
    try:
        yield receiver
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
