"""The upstream stand-in goes on announcing itself whatever its daemon does."""

from __future__ import annotations

import unittest

import trio

from fulmarstile_testing.upstream_announcing import announce_forever
from fulmarstile_testing.upstream_stand_in import StandInSettings, UpstreamStandIn

ACCEPTED = b"HTTP/1.1 204 No Content\r\n\r\n"


class AnnouncementTest(unittest.TestCase):
    def test_a_daemon_that_hangs_breaks_off_or_refuses_is_told_again(self) -> None:
        async def run() -> None:
            accepted = trio.Event()
            behaviours = iter(("hang", "break", "refuse"))

            async def play_daemon(stream: trio.SocketStream) -> None:
                behaviour = next(behaviours, "accept")
                if behaviour == "hang":
                    await trio.sleep_forever()
                await stream.receive_some()
                if behaviour == "refuse":
                    await stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                elif behaviour == "accept":
                    await stream.send_all(ACCEPTED)
                    accepted.set()
                await stream.aclose()

            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, play_daemon, listeners)
                admin = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                upstream = UpstreamStandIn(StandInSettings())
                nursery.start_soon(announce_forever, upstream, admin, 3.0)
                with trio.fail_after(20):
                    await accepted.wait()
                nursery.cancel_scope.cancel()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
