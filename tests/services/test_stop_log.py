"""The log of a stopping daemon shows what each phase of the shutdown waits for."""

from __future__ import annotations

import unittest

import msgspec
import trio

from fulmarstile_testing.builders.service_mesh import serve_mesh
from fulmarstile_testing.builders.services import make_document, make_route

DOCUMENT = make_document(make_route())


class StopLogTest(unittest.TestCase):
    def test_each_phase_of_a_stop_is_logged_with_the_time_since_sigterm(self) -> None:
        async def run() -> list[dict[str, object]]:
            async with serve_mesh("shop", document=DOCUMENT) as mesh:
                node = mesh.nodes[0]
                lines: list[bytes] = []
                node.daemon._log._add = lines.append
                node.stop()
                await node.ended.wait()
                node.daemon.write_end()
                return [msgspec.json.decode(line) for line in lines]

        events = [event for event in trio.run(run) if "phase" in event or "stop" in event["event"]]
        names = [event.get("phase", event["event"]) for event in events]
        self.assertEqual(names, ["stopping", "draining", "waiting", "answering", "stopped"])
        times = [event["elapsed_ms"] for event in events[1:4]]
        self.assertEqual(times, sorted(times))


if __name__ == "__main__":
    unittest.main()
