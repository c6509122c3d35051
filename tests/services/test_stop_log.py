"""The log of a stopping daemon shows what each phase of the shutdown waits for."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
import trio

from fulmarstile_daemon.services._boot_clock import read_boot_clock
from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

DOCUMENT = make_document(make_route())


HALT_S = 0.5


class StopLogTest(unittest.TestCase):
    def log_stop(self, halt_s: float = 0.0) -> list[dict[str, Any]]:
        """Returns the log lines of a stop, with SIGTERM at some time in a halt of the process."""

        async def run() -> list[dict[str, Any]]:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                lines: list[bytes] = []
                node.daemon._log._add = lines.append
                node.daemon.begin_stopping(read_boot_clock() - halt_s, halt_s)
                await node.ended.wait()
                node.daemon.write_end()
                return [msgspec.json.decode(line) for line in lines]

        return [event for event in trio.run(run) if "phase" in event or "stop" in event["event"]]

    def test_each_phase_of_a_stop_is_logged_with_the_time_since_sigterm(self) -> None:
        events = self.log_stop()
        names = [event.get("phase", event["event"]) for event in events]
        self.assertEqual(names, ["stopping", "draining", "waiting", "answering", "stopped"])
        times = [event["elapsed_ms"] for event in events[1:4]]
        self.assertEqual(times, sorted(times))

    def test_a_stop_logs_by_how_much_its_signal_may_have_been_sent_later(self) -> None:
        events = self.log_stop(HALT_S)
        uncertain = [event["uncertain_ms"] for event in events[:4]]
        self.assertEqual(uncertain, [HALT_S * 1000] * 4)
        self.assertGreaterEqual(events[0]["late_ms"], HALT_S * 1000)


if __name__ == "__main__":
    unittest.main()
