"""As many connections as the descriptors allow don't fill the machine of the daemon."""

from __future__ import annotations

import tempfile
import unittest
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from fulmarstile_adapter_testing.abusive_clients import Abuse, encode_head, fill_head
from fulmarstile_adapter_testing.guarded_daemon import LowLimits, open_guarded_daemon
from fulmarstile_testing.known_red import pass_over_known_red

if TYPE_CHECKING:
    from fulmarstile_adapter_testing.guarded_daemon import Outcome

CROWD = 2_270
"""As many connections of callers as the descriptors allow, but for those of ordinary requests."""
LIMITS = LowLimits(memory_mb=128, max_fds=4_100)
"""The smallest machine of a site."""
HANG_S = 110.0
"""Time after which a daemon that doesn't answer is taken to hang, in seconds."""
SMALL_HEAD_BYTES = 4_000
LONG_ANSWER = encode_head("/read/1?size=2000000", method="GET")


class ManyConnectionsTest(unittest.TestCase):
    def check(self, abuse: Abuse) -> None:
        async def run(folder: Path) -> Outcome:
            with trio.fail_after(HANG_S):
                async with open_guarded_daemon(LIMITS, folder) as daemon:
                    await daemon.process.crowd.open(daemon.vm.outbound, [abuse] * CROWD)
                    await daemon.process.settle()
                    return await daemon.process.judge()

        with tempfile.TemporaryDirectory() as folder:
            outcome = trio.run(run, Path(folder))
        print(f"{self.id()}: {outcome}")
        self.assertTrue(outcome.is_running, outcome)
        self.assertEqual(outcome.status, HTTPStatus.OK, outcome)
        self.assertLessEqual(outcome.descriptors, LIMITS.max_fds, outcome)
        self.assertLessEqual(outcome.peak_bytes, LIMITS.memory_bytes, outcome)

    def test_unfinished_small_heads_stay_within_the_memory(self) -> None:
        self.check(Abuse(fill_head(SMALL_HEAD_BYTES, b"a:b\r\n", is_complete=False)))

    def test_small_heads_before_missing_bodies_stay_within_the_memory(self) -> None:
        head = encode_head("/photo/1", "content-length: 100")
        self.check(Abuse(head[:-2] + b"a:b\r\n" * 20 + b"\r\n"))

    @pass_over_known_red
    def test_long_answers_that_nobody_reads_stay_within_the_memory(self) -> None:
        self.check(Abuse(LONG_ANSWER, is_reading=False))


if __name__ == "__main__":
    unittest.main()
