"""Signals that arrive before the daemon takes them over; imports little, as it runs first."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType


class EarlySignals:
    """Handles signals from the start of the process until trio receives them.

    By default they would end the process with an error, though it takes its time to start.
    """

    def __init__(self) -> None:
        self.wants_reload = False
        """Whether a SIGHUP has arrived, to be heeded after the start."""

    def install(self) -> None:
        """Installs the handlers."""
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)

    def _on_sigterm(self, number: int, frame: FrameType | None) -> None:
        # Nothing is open that would have to be closed.
        os._exit(os.EX_OK)

    def _on_sighup(self, number: int, frame: FrameType | None) -> None:
        self.wants_reload = True
