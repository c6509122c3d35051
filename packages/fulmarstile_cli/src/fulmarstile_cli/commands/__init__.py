"""The subcommands, one module for each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_cli.commands.diff import DiffCommand
from fulmarstile_cli.commands.dump import DumpCommand
from fulmarstile_cli.commands.explain import ExplainCommand
from fulmarstile_cli.commands.history import HistoryCommand
from fulmarstile_cli.commands.keygen import KeygenCommand
from fulmarstile_cli.commands.members import MembersCommand
from fulmarstile_cli.commands.publish import PublishCommand
from fulmarstile_cli.commands.rollouts import RolloutsCommand
from fulmarstile_cli.commands.status import StatusCommand
from fulmarstile_cli.commands.validate import ValidateCommand

if TYPE_CHECKING:
    from fulmarstile_cli.command import Command

COMMANDS: tuple[Command, ...] = (
    ValidateCommand(),
    KeygenCommand(),
    PublishCommand(),
    StatusCommand(),
    HistoryCommand(),
    DiffCommand(),
    MembersCommand(),
    RolloutsCommand(),
    DumpCommand(),
    ExplainCommand(),
)
"""Every subcommand, in the order of the help."""

__all__ = ["COMMANDS"]
