"""Task that shows whether others let it run."""

from __future__ import annotations

import trio


class TurnCounter:
    """Counts how often a task runs beside others."""

    def __init__(self) -> None:
        self.turns = 0
        """Times that the task ran."""

    async def run(self) -> None:
        """Counts until cancelled."""
        while True:
            await trio.lowlevel.checkpoint()
            self.turns += 1
