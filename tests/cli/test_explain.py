"""`explain` finds the outcome of a request and its cause in the logs of daemons."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from fulmarstile_cli.exit_codes import ExitCode
from fulmarstile_cli.main import main

ENTRY = """\
  6.89 host-1 {"time":100.0030,"daemon":"d-1","event":"attempt_failed","request_id":"r1",\
"daemon_tried":"d-2","verdict":"MAY_HAVE_RUN","reason":"connection-lost","retried":false,\
"why":"the request may have run"}
{"time":100.0040,"daemon":"d-1","event":"call_ended","request_id":"r1","status":502,\
"service":"shop","upstream":"i-2","reason":"connection-lost"}
{"time":100.0050,"daemon":"d-1","event":"call_ended","request_id":"r2","status":200,"upstream":"i-1"}
{"time":100.0060,"daemon":"d-1","event":"lines_left_out","kind":"CallEnded","count":7}
{"time":100.0070,"daemon":"d-1","event":"call_ended","request_id":"r3","status":503,\
"reason":"queue-full","refused_by":["d-2:deadline"]}
{"time":100.0080,"daemon":"d-1","event":"call_rejected","request_id":"r4","status":404,\
"reason":"no-route","document_version":7}
{"time":100.0090,"daemon":"d-1","event":"request_cut","request_id":"r5","stage":"body-offered"}
{"time":1
"""
HOP = """\
{"time":100.0020,"daemon":"d-2","event":"hop_ended","request_id":"r1","reason":"connection-lost"}
"""


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = [str(Path(folder.name) / name) for name in ("entry.log", "hop.log")]
        for name, text in zip(self.files, (ENTRY, HOP), strict=True):
            Path(name).write_text(text)

    def explain(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = main(["explain", *arguments])
        return code, output.getvalue()

    def test_the_lines_of_both_daemons_are_printed_in_order_of_time(self) -> None:
        code, output = self.explain("r1", *self.files)
        self.assertEqual(code, ExitCode.OK)
        events = [line.split()[2] for line in output.splitlines()[:3]]
        self.assertEqual(events, ["hop_ended", "attempt_failed", "call_ended"])
        self.assertIn("decisive: 100.0030 d-1: attempt_failed", output)
        self.assertIn("verdict: failed with 502: connection-lost; it may have run", output)

    def test_omitted_and_malformed_lines_are_reported(self) -> None:
        _, output = self.explain("r1", *self.files)
        self.assertIn("7 of CallEnded", output)
        self.assertIn("could not be read: 1", output)

    def test_a_request_that_ended_without_an_answer_is_reported_as_cut_off(self) -> None:
        _, output = self.explain("r5", *self.files)
        self.assertIn("cut off without an answer when its daemon ended: body-offered", output)

    def test_refusals_and_answers_have_different_verdicts(self) -> None:
        self.assertIn("refused with 503, not run: queue-full", self.explain("r3", *self.files)[1])
        self.assertIn("answered with 200 by i-1", self.explain("r2", *self.files)[1])

    def test_the_verdict_of_a_request_without_a_route_names_the_version_in_force(self) -> None:
        _, output = self.explain("r4", *self.files)
        self.assertIn("verdict: rejected with 404 under version 7: no-route", output)

    def test_a_request_in_no_log_is_reported_as_unknown(self) -> None:
        code, output = self.explain("r9", *self.files)
        self.assertEqual(code, ExitCode.DIFFERENT)
        self.assertIn("no line mentions request r9", output)

    def test_a_file_that_cannot_be_read_is_an_error(self) -> None:
        code, output = self.explain("r1", "/nowhere/at/all.log")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("cannot read /nowhere/at/all.log", output)

    def test_a_command_line_without_a_log_file_is_an_error(self) -> None:
        self.assertEqual(self.explain("r1")[0], ExitCode.USAGE)
