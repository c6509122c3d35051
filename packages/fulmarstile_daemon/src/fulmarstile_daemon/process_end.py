"""End of a daemon's process."""

from __future__ import annotations

import os
from typing import NoReturn


def end_process(code: int) -> NoReturn:
    """Ends the process without the clean-up of the interpreter.

    The clean-up frees all objects and modules one by one, which takes more processor time than the
    rest of the time after the last log line. A daemon that gets little processor time would still
    be there at the end of its grace period. The kernel frees memory and descriptors by itself.

    Whatever must not be lost has to be written before: buffers of `sys.stdout` are not flushed,
    because a slow reader could hold up the process.

    Args:
        code: Exit code of the process.
    """
    os._exit(code)
