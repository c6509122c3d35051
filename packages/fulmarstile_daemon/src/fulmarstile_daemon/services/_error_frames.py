"""Frees what the stack frames of a handled error refer to."""

from __future__ import annotations

import traceback


def release_frames(error: BaseException) -> None:
    """Clears the local variables of the functions that an error has ended.

    Errors of a nursery are part of reference cycles, so their frames live until the next garbage
    collection. The messages in them would take memory for as long, outside of its limit.

    Args:
        error: An error that was handled.
    """
    pending = [error]
    seen = set()
    while pending:
        current = pending.pop()
        if id(current) in seen:
            continue
        seen.add(id(current))
        traceback.clear_frames(current.__traceback__)
        if isinstance(current, BaseExceptionGroup):
            pending += current.exceptions
        pending += [each for each in (current.__cause__, current.__context__) if each is not None]
