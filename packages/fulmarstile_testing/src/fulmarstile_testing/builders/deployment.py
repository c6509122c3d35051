"""Runs the operators' command against a log stand-in and the admin interface of one daemon."""

from __future__ import annotations

import contextlib
import io
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
import trio

from fulmarstile_cli.main import run_command
from fulmarstile_config import encode_key, stream_name
from fulmarstile_platform import open_http_client, open_http_log
from fulmarstile_testing.builders.config import CUSTOMER, StreamBuilder, make_key_pair
from fulmarstile_testing.fakes.admin import FakeAdmin, serve_admin
from fulmarstile_testing.log_stand_in import serve_log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

UNREACHABLE_ADDRESS: Final = "127.0.0.1:1"
"""Address at which nothing listens."""


@dataclass
class Result:
    """Outcome of one run of the command."""

    code: int
    output: str
    errors: str


@dataclass
class Deployment:
    """Addresses and files of one test."""

    stream: StreamBuilder
    directory: Path
    admin: FakeAdmin
    admin_address: str
    log_address: str

    async def run(self, *arguments: str) -> Result:
        """Runs the command."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = await run_command(arguments)
        return Result(code, output.getvalue(), errors.getvalue())

    async def run_for_customer(self, command: str, *arguments: str) -> Result:
        """Runs a command for `CUSTOMER` against the admin interface."""
        flags = (f"--admin={self.admin_address}", f"--customer={CUSTOMER}")
        return await self.run(command, *flags, *arguments)

    async def publish(self, team: str, *arguments: str, log: str = "") -> Result:
        """Runs `publish` with a team's key."""
        key = self.write(f"{team}.key", encode_key(make_key_pair(team).private_key))
        return await self.run_for_customer(
            "publish",
            f"--team={team}",
            f"--key={key}",
            f"--log={log or self.log_address}",
            *arguments,
        )

    async def switch_log(self, **switches: object) -> None:
        """Sets failure switches of the log stand-in."""
        async with open_http_client(self.log_address) as client:
            body = msgspec.json.encode(switches)
            response = await client.request("PUT", "/__stand_in/switches", body)
            assert response.status == 200

    async def count_appends(self) -> int:
        """Returns the number of records that were appended to the stream."""
        async with open_http_log(self.log_address) as log:
            return (await log.read(stream_name(CUSTOMER), 0)).end_offset

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)


async def run_with_deployment(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    """Runs a scenario against a log and a daemon that hold a complete document."""
    async with trio.open_nursery() as nursery:
        log_address = await nursery.start(serve_log, "127.0.0.1:0")
        async with open_http_log(log_address) as log:
            stream = StreamBuilder().publish_document()
            for record in stream.records:
                await log.append(stream_name(CUSTOMER), record.payload)
            admin = FakeAdmin(stream.fold, log)
            address = await nursery.start(serve_admin, admin)
            with tempfile.TemporaryDirectory() as directory:
                await scenario(Deployment(stream, Path(directory), admin, address, log_address))
        nursery.cancel_scope.cancel()
