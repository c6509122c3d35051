"""Exit codes of the command."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes, by which scripts distinguish outcomes."""

    OK = 0
    DIFFERENT = 1
    """`diff` found differences."""
    USAGE = 2
    """The command line, a file or a key is faulty; nothing was sent."""
    REFUSED = 3
    """The publication or document is refused."""
    CONFLICT = 4
    """The publication is refused because another one changed a section first."""
    NOT_CONVERGED = 5
    """There is no verdict, or the version is not in force everywhere, within the time limit."""
    UNREACHABLE = 6
    """The daemon or the log cannot be reached, or does not serve the customer."""
