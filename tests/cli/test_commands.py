"""The command against a log stand-in and the admin interface of one daemon."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import trio

from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.main import main
from fulmarstile_testing.builders.config import (
    LIMITS,
    POOLS,
    RETRIES,
    ROUTES,
    SERVICES,
    TEAMS,
)
from fulmarstile_testing.builders.deployment import (
    UNREACHABLE_ADDRESS,
    Deployment,
    Result,
    run_with_deployment,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class CommandTest(unittest.TestCase):
    def run_deployment(self, scenario: Callable[[Deployment], Awaitable[None]]) -> None:
        trio.run(run_with_deployment, scenario)

    def test_publish_reports_the_version_and_on_how_many_daemons_it_is_in_force(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            limits = deployment.write("limits.yaml", LIMITS.replace("500", "900"))
            result = await deployment.publish("web", "--wait", f"limits={limits}")
            self.assertEqual(result.code, ExitCode.OK, result)
            self.assertIn("accepted as version 4", result.output)
            self.assertIn("version 4 in force on 3 of 3 daemons", result.output)

        self.run_deployment(scenario)

    def test_publish_exits_with_the_code_of_its_outcome(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            dangling = deployment.write("a", ROUTES.replace("pool: planning", "pool: none"))
            malformed = deployment.write("b", "limits: 5\n")
            good = deployment.write("c", LIMITS)
            for arguments, code, text in (
                ((f"routes={dangling}",), ExitCode.REFUSED, "section routes line 4"),
                ((f"limits={malformed}",), ExitCode.REFUSED, "before sending: section limits"),
                (("--nocheck", f"limits={malformed}"), ExitCode.REFUSED, "refused: section limits"),
                ((f"pools={good}", "--nocheck"), ExitCode.REFUSED, "does not own"),
                ((f"limits={good}", "--base=limits=1"), ExitCode.CONFLICT, "'publication-3'"),
                (("limits=",), ExitCode.REFUSED, "limit 'residents' is removed"),
            ):
                with self.subTest(arguments):
                    result = await deployment.publish("web", *arguments)
                    self.assertEqual(result.code, code, result)
                    self.assertIn(text, result.output)
            self.assertEqual(deployment.stream.fold.version, 3)

        self.run_deployment(scenario)

    def test_publication_appended_again_after_lost_answers_gets_one_verdict(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            await deployment.switch_log(lose_next_answers=2)
            limits = deployment.write("limits.yaml", LIMITS.replace("500", "900"))
            result = await deployment.publish("web", f"limits={limits}")
            self.assertEqual(result.code, ExitCode.OK, result)
            self.assertIn("append failed (MAY_HAVE_RUN)", result.output)
            self.assertEqual(await deployment.count_appends(), 3 + 3)
            self.assertEqual(deployment.stream.fold.version, 4)

        self.run_deployment(scenario)

    def test_publication_retried_with_its_identifier_is_not_appended_twice(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            limits = deployment.write("limits.yaml", LIMITS.replace("500", "900"))
            for text in ("accepted as version 4", "already decided\naccepted as version 4"):
                result = await deployment.publish("web", "--id=release-7", f"limits={limits}")
                self.assertEqual(result.code, ExitCode.OK)
                self.assertIn(text, result.output)
            self.assertEqual(await deployment.count_appends(), 4)

        self.run_deployment(scenario)

    def test_publish_lists_the_daemons_that_lack_the_version_on_timeout(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            deployment.admin.in_force = 2
            limits = deployment.write("limits.yaml", LIMITS)
            result = await deployment.publish(
                "web", "--wait", "--timeout_s=0.5", f"limits={limits}"
            )
            self.assertEqual(result.code, ExitCode.NOT_CONVERGED, result)
            self.assertIn("version 4 in force on 2 of 3 daemons", result.output)
            self.assertIn("missing: daemon-2 (alive) has version 3, for 2.5 s", result.output)

        self.run_deployment(scenario)

    def test_publish_without_a_log_or_daemon_is_unreachable_and_prints_the_identifier(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            limits = deployment.write("limits.yaml", LIMITS)
            arguments = ("--timeout_s=0.5", "--id=release-8", f"limits={limits}")
            result = await deployment.publish("web", *arguments, log=UNREACHABLE_ADDRESS)
            self.assertEqual(result.code, ExitCode.UNREACHABLE, result)
            self.assertIn("--id=release-8", result.errors)
            deployment.admin_address = UNREACHABLE_ADDRESS
            result = await deployment.publish("web", *arguments)
            self.assertEqual(result.code, ExitCode.UNREACHABLE)
            self.assertEqual(result.errors.count("\n"), 1)

        self.run_deployment(scenario)

    def test_second_daemon_is_used_when_the_first_does_not_answer(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            deployment.admin_address = f"{UNREACHABLE_ADDRESS},{deployment.admin_address}"
            limits = deployment.write("limits.yaml", LIMITS)
            result = await deployment.publish("web", "--wait", f"limits={limits}")
            self.assertEqual(result.code, ExitCode.OK, result)

        self.run_deployment(scenario)

    def test_publish_prints_json_for_scripts(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            limits = deployment.write("limits.yaml", LIMITS)
            result = await deployment.publish("web", "--json", "--wait", f"limits={limits}")
            answer = msgspec.json.decode(result.output)
            self.assertEqual(answer["verdict"]["version"], 4)
            self.assertEqual(answer["convergence"]["in_force"], 3)

        self.run_deployment(scenario)

    def test_query_commands_show_sections_verdicts_members_and_state(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            admin = f"--admin={deployment.admin_address}"
            pools = deployment.write("pools", POOLS)
            await deployment.publish("web", f"pools={pools}")
            for result, text in (
                (
                    await deployment.run_for_customer("status"),
                    "version 3 in force on 3 of 3 daemons",
                ),
                (await deployment.run("status", admin), "routes    3        web"),
                (
                    await deployment.run_for_customer("history"),
                    "refused: section pools: team 'web' does not own",
                ),
                (await deployment.run("members", admin), "planning (ready, 10 slots)"),
                (await deployment.run("dump", admin), '"daemon": "fake"'),
            ):
                self.assertEqual(result.code, ExitCode.OK, result)
                self.assertIn(text, result.output)

        self.run_deployment(scenario)

    def test_diff_shows_the_changes_that_a_file_would_make(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            deployment.write("limits.yaml", LIMITS.replace("500", "900"))
            result = await deployment.run_for_customer("diff", str(deployment.directory))
            self.assertEqual(result.code, ExitCode.DIFFERENT, result)
            self.assertIn("-  calls_per_s: 500\n+  calls_per_s: 900", result.output)
            same = deployment.write("limits.yaml", LIMITS)
            self.assertEqual((await deployment.run_for_customer("diff", same)).code, ExitCode.OK)

        self.run_deployment(scenario)

    def test_unknown_customer_is_unreachable_and_names_the_status(self) -> None:
        async def scenario(deployment: Deployment) -> None:
            admin = f"--admin={deployment.admin_address}"
            result = await deployment.run("status", admin, "--customer=nobody")
            self.assertEqual(result.code, ExitCode.UNREACHABLE)
            self.assertIn("answered 404", result.errors)

        self.run_deployment(scenario)


class OfflineCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def run_main(self, *arguments: str) -> Result:
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(arguments)
        return Result(code, output.getvalue(), errors.getvalue())

    def test_invalid_command_lines_are_usage_errors_of_one_line(self) -> None:
        for arguments in (
            ("deploy",),
            ("status",),
            ("status", "--admin=x:1", "--color"),
            ("status", "--admin=x:1", "extra"),
            ("publish", "--customer=a"),
            ("history", "--admin=x:1", "--customer=a", "--limit=none"),
            ("validate",),
            ("validate", "missing.yaml"),
            ("validate", str(self.directory)),
            ("keygen",),
        ):
            with self.subTest(arguments):
                result = self.run_main(*arguments)
                self.assertEqual(result.code, ExitCode.USAGE, result)
                self.assertEqual(result.errors.count("\n"), 1, result.errors)

    def test_help_lists_commands_flags_and_exit_codes(self) -> None:
        overview = self.run_main("--help")
        self.assertEqual(overview.code, ExitCode.OK)
        for text in ("publish", "validate", "4  conflict", "6  unreachable"):
            self.assertIn(text, overview.output)
        self.assertIn("--timeout_s: Longest time", self.run_main("publish", "--help").output)

    def test_validate_names_section_line_and_reason(self) -> None:
        bodies = {"teams": TEAMS, "services": SERVICES, "pools": POOLS, "limits": LIMITS}
        bodies |= {"retries": RETRIES, "routes": ROUTES}
        for section, body in bodies.items():
            (self.directory / f"{section}.yaml").write_text(body)
        self.assertEqual(self.run_main("validate", str(self.directory)).code, ExitCode.OK)
        (self.directory / "pools.yaml").write_text(POOLS.replace("service: p", "servce: p"))
        result = self.run_main("validate", str(self.directory))
        self.assertEqual(result.code, ExitCode.REFUSED)
        self.assertIn("section pools line 3: ", result.output)

    def test_keygen_writes_a_private_file_and_refuses_an_existing_one(self) -> None:
        path = self.directory / "web.key"
        result = self.run_main("keygen", f"--out={path}")
        self.assertEqual((result.code, path.stat().st_mode & 0o777), (ExitCode.OK, 0o600))
        self.assertEqual(len(result.output.strip()), 44)
        self.assertEqual(self.run_main("keygen", f"--out={path}").code, ExitCode.USAGE)
