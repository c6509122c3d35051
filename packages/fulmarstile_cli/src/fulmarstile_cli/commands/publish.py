"""`fulmarstile publish`."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec
import trio
from absl import flags

from fulmarstile_cli.admin_client import open_admin_client
from fulmarstile_cli.command import define_admin, define_customer, define_json, require
from fulmarstile_cli.errors import NotConvergedError, UnreachableError, UsageError
from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.files import parse_assignments, read_private_key
from fulmarstile_cli.output import (
    describe_convergence,
    describe_refusal,
    print_json,
    print_line,
    print_missing,
)
from fulmarstile_cli.publisher import PublicationRequest, Publisher
from fulmarstile_config import RefusalCode, RefusedError
from fulmarstile_config.section import parse_section
from fulmarstile_platform import open_http_log
from fulmarstile_wire.admin import ConvergenceView, RefusalView, VerdictView

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from fulmarstile_cli.admin_client import AdminClient


class PublishResult(msgspec.Struct, frozen=True):
    """Outcome of a publication."""

    verdict: VerdictView
    convergence: ConvergenceView | None = None


class PublishCommand:
    """Publishes sections and reports the verdict."""

    name = "publish"
    usage = (
        "--customer=NAME --team=NAME --key=FILE --log=HOST:PORT --admin=HOST:PORT[,...] "
        "[--wait] SECTION=FILE..."
    )
    summary = "Publish sections together and print the verdict; SECTION= removes a section."

    def define_flags(self, values: flags.FlagValues) -> None:
        """Defines the command's flags."""
        define_admin(values)
        define_customer(values)
        define_json(values)
        _define_publish_flags(values)

    async def run(self, values: flags.FlagValues, arguments: Sequence[str]) -> ExitCode:
        """Publishes and waits for the verdict, and with `--wait` for all daemons."""
        require(values, "customer", "team", "key", "log", "admin")
        if not arguments:
            raise UsageError("name at least one SECTION=FILE")
        request = _make_request(values, arguments)
        refusal = _check_sections(request.sections) if values.check else None
        if refusal is not None:
            _show_refusal(values, refusal)
            return ExitCode.REFUSED
        report = (lambda _: None) if values.json else print_line
        async with open_admin_client(values.admin) as admin, open_http_log(values.log) as log:
            publisher = Publisher(admin, log, report)
            with trio.move_on_after(values.timeout_s) as deadline:
                return await _publish(values, publisher, request)
            assert deadline.cancelled_caught
            return await _explain_timeout(values, admin, request, publisher.append_error)


async def _publish(
    values: flags.FlagValues, publisher: Publisher, request: PublicationRequest
) -> ExitCode:
    verdict = await publisher.publish(request)
    if not values.json:
        _print_verdict(verdict)
    convergence = None
    if verdict.accepted and values.wait:
        convergence = await publisher.wait_until_in_force(request.customer, verdict.version)
        if not values.json:
            print_line(describe_convergence(convergence))
    if values.json:
        print_json(PublishResult(verdict, convergence))
    return _exit_code_of(verdict)


async def _explain_timeout(
    values: flags.FlagValues, admin: AdminClient, request: PublicationRequest, append_error: str
) -> ExitCode:
    time_limit = f"within {values.timeout_s:g} s"
    retry_hint = f"retry with --id={request.publication_id}"
    try:
        verdict = await admin.find_verdict(request.customer, request.publication_id)
    except UnreachableError as error:
        raise UnreachableError(f"no verdict {time_limit}; {retry_hint}: {error}") from error
    if verdict is None and append_error:
        raise UnreachableError(f"append not confirmed {time_limit}; {retry_hint}: {append_error}")
    if verdict is None:
        raise NotConvergedError(f"no verdict {time_limit}; {retry_hint}")
    convergence = await admin.fetch_convergence(request.customer, verdict.version)
    if values.json:
        print_json(PublishResult(verdict, convergence))
    else:
        print_line(f"not in force everywhere {time_limit}: {describe_convergence(convergence)}")
        print_missing(convergence)
    return ExitCode.NOT_CONVERGED


def _define_publish_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("team", None, "Team that publishes.", flag_values=values)
    flags.DEFINE_string("key", None, "File with the team's private key.", flag_values=values)
    flags.DEFINE_string("log", None, "Address of the log, HOST:PORT.", flag_values=values)
    flags.DEFINE_boolean(
        "wait", False, "Wait until the version is in force on every daemon.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s",
        30.0,
        "Longest time for the whole command, in seconds.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_string(
        "id",
        None,
        "Publication identifier; pass that of an earlier attempt to retry it.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "base",
        [],
        "Base versions, SECTION=VERSION; other sections use those that the daemon reports.",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "check", True, "Check each section by itself before sending it.", flag_values=values
    )


def _make_request(values: flags.FlagValues, arguments: Sequence[str]) -> PublicationRequest:
    return PublicationRequest(
        publication_id=values.id or str(uuid.uuid4()),
        customer=values.customer,
        team=values.team,
        private_key=read_private_key(values.key),
        sections=parse_assignments(arguments),
        base_versions=_parse_base_versions(values.base),
    )


def _parse_base_versions(entries: Sequence[str]) -> dict[str, int]:
    versions = {}
    for entry in entries:
        section, separator, version = entry.partition("=")
        if not separator or not version.isascii() or not version.isdigit():
            raise UsageError(f"--base entry {entry!r} is not SECTION=VERSION")
        versions[section] = int(version)
    return versions


def _check_sections(sections: Mapping[str, str]) -> RefusalView | None:
    for section, body in sections.items():
        if not body:
            continue
        try:
            parse_section(section, body)
        except RefusedError as error:
            refusal = error.refusal
            return RefusalView(refusal.code.value, refusal.reason, refusal.section, refusal.line)
    return None


def _show_refusal(values: flags.FlagValues, refusal: RefusalView) -> None:
    if values.json:
        print_json({"verdict": None, "refusal": refusal})
    else:
        print_line(f"refused before sending: {describe_refusal(refusal)}")


def _print_verdict(verdict: VerdictView) -> None:
    if verdict.refusal is None:
        print_line(f"accepted as version {verdict.version} ({verdict.publication_id})")
    else:
        print_line(f"refused: {describe_refusal(verdict.refusal)}")


def _exit_code_of(verdict: VerdictView) -> ExitCode:
    if verdict.refusal is None:
        return ExitCode.OK
    if verdict.refusal.code == RefusalCode.CONFLICT.value:
        return ExitCode.CONFLICT
    return ExitCode.REFUSED
