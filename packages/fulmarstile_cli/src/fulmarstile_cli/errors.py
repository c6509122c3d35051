"""Errors that end the command with one line and an exit code."""

from __future__ import annotations

from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_wire.errors import FulmarstileError


class CommandError(FulmarstileError):
    """The command fails; `exit_code` says how."""

    exit_code: ExitCode = ExitCode.USAGE


class UsageError(CommandError):
    """The command line, a file or a key is faulty."""


class UnreachableError(CommandError):
    """A daemon or the log cannot be reached, or does not serve the customer."""

    exit_code = ExitCode.UNREACHABLE


class NotConvergedError(CommandError):
    """A verdict or the convergence did not arrive within the time limit."""

    exit_code = ExitCode.NOT_CONVERGED


class LogRefusalError(CommandError):
    """The log refused the record."""

    exit_code = ExitCode.REFUSED
