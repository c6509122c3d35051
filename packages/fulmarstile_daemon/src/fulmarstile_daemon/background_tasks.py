"""Tasks that run as long as the daemon does, whatever fails in them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Final

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LOGGER: Final = logging.getLogger(__name__)

_RESTART_DELAY_S: Final = 0.1


async def keep_running(run: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Runs a task of the daemon, and runs it again after an unexpected error.

    An error that left the task would end the daemon, and with it all requests in flight.

    Args:
        run: The task; must be able to go on with the state that a failed run has left.
        arguments: Its arguments.
    """
    while True:
        try:
            await run(*arguments)
        except Exception:
            _LOGGER.exception("%s failed and is started again", run.__qualname__)
            await trio.sleep(_RESTART_DELAY_S)
        else:
            return


async def run_and_log(run: Callable[..., Awaitable[None]], *arguments: Any) -> bool:
    """Runs a task whose unexpected error is logged instead of ending the daemon.

    Args:
        run: The task, which is not run again.
        arguments: Its arguments.

    Returns:
        Whether it ended without an error.
    """
    try:
        await run(*arguments)
    except Exception:
        _LOGGER.exception("%s failed", run.__qualname__)
        return False
    return True
