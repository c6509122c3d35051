"""Using a closed connection between daemons raises `LinkBrokenError` and nothing else."""

from __future__ import annotations

import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio
import trio.testing

from fulmarstile_daemon.services._byte_budget import ByteBudget
from fulmarstile_daemon.services._frame_stream import FrameStream, LinkBrokenError
from fulmarstile_http.byte_stream import open_stream
from fulmarstile_wire.services import HopAnswer, HopOutcome
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LARGE = HopAnswer(1, HopOutcome(Verdict.RAN), 200, [], b"x" * 30_000_000)
"""Larger than the buffers of a connection."""


@asynccontextmanager
async def open_frames() -> AsyncIterator[FrameStream]:
    """Opens a connection whose peer reads nothing."""
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    async with listener:
        yield FrameStream(
            await open_stream(f"127.0.0.1:{listener.socket.getsockname()[1]}"), ByteBudget(1 << 30)
        )


class ClosedConnectionTest(unittest.TestCase):
    def test_receiving_on_a_closed_connection_raises_link_broken(self) -> None:
        async def run() -> None:
            async with open_frames() as frames:
                frames.close()
                with self.assertRaises(LinkBrokenError):
                    await frames.receive()

        trio.run(run)

    def test_sending_on_a_connection_that_is_closed_meanwhile_raises_link_broken(self) -> None:
        async def run() -> None:
            async def send(frames: FrameStream) -> None:
                with self.assertRaises(LinkBrokenError):
                    await frames.send_forever()

            async with open_frames() as frames, trio.open_nursery() as nursery:
                nursery.start_soon(send, frames)
                await trio.testing.wait_all_tasks_blocked()
                frames.send(LARGE)
                self.assertTrue(frames.has_unsent)
                frames.close()

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
