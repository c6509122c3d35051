"""Signals of the process, with the time from which on they may have been sent."""

from __future__ import annotations

import math
import signal
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from types import FrameType

    from fulmarstile_daemon.services._loop_lateness import LoopLateness


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """A signal."""

    number: int
    sent_at: float
    """Time by the boot clock at which it was sent at the earliest, in seconds."""
    uncertainty_s: float
    """Time by which it may have been sent later, in seconds."""


@contextmanager
def receive_signals(
    *numbers: int,
    lateness: LoopLateness,
    on_receive: Callable[[ReceivedSignal], None] | None = None,
) -> Iterator[trio.MemoryReceiveChannel[ReceivedSignal]]:
    """Receives signals until the context ends; only in the main thread.

    Args:
        numbers: Signals to receive.
        lateness: Measures how late the event loop is.
        on_receive: Called at once, before any task that the event loop will run next; may interrupt
            a task anywhere, so it must only set attributes.

    Yields:
        The signals in the order of their arrival.
    """
    token = trio.lowlevel.current_trio_token()
    sender, receiver = trio.open_memory_channel[ReceivedSignal](math.inf)

    def on_signal(number: int, frame: FrameType | None) -> None:
        # A process that was halted gets its signals only when it runs again.
        # The clock is read first, as it goes on while the duration of the halt is found out.
        now = read_boot_clock()
        halted_s = lateness.halted_s
        received = ReceivedSignal(number, now - halted_s, halted_s)
        if on_receive is not None:
            on_receive(received)
        token.run_sync_soon(sender.send_nowait, received)

    earlier = {number: signal.signal(number, on_signal) for number in numbers}
    try:
        yield receiver
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
