"""Measures the processor time of one message between daemons, and the size of a whole view.

Run it with `python -m fulmarstile_testing.bench_links`.
"""

from __future__ import annotations

import time
from typing import Final

import trio
from absl import app, flags

from fulmarstile_daemon.peers import open_peer_links
from fulmarstile_testing.builders.daemon_core import MESH_KEY, build_member
from fulmarstile_testing.free_ports import find_free_ports
from fulmarstile_wire.codec import encode_message
from fulmarstile_wire.messages import Members, Probe
from fulmarstile_wire.records import AppliedRecord, News, UpstreamRecord, UpstreamStatus

VIEW_SIZES: Final = (60, 240, 720)
"""Numbers of members of the views whose size is measured."""

_MESSAGES: Final = flags.DEFINE_integer("messages", 5000, "Messages sent, one after another.")


async def measure_message_s(count: int) -> float:
    """Sends messages between two links of this process.

    Args:
        count: Number of messages.

    Returns:
        Processor time of sending and receiving one message, in seconds.
    """
    first, second = (f"127.0.0.1:{port}" for port in find_free_ports(2))
    with open_peer_links(first, MESH_KEY) as sender, open_peer_links(second, MESH_KEY) as receiver:
        started_at = time.process_time()
        for sequence in range(count):
            sender.send(second, Probe("planning-1", first, sequence))
            await receiver.receive()
        return (time.process_time() - started_at) / count


def measure_view_bytes(members: int) -> int:
    """Returns the bytes of a message with a whole view of so many members."""
    records = [build_member(f"service-{number}", number) for number in range(members)]
    upstreams = [
        UpstreamRecord(record.daemon_id, 1, 1, "planning", UpstreamStatus.READY, 10)
        for record in records
    ]
    applied = [
        AppliedRecord(record.daemon_id, 1, "laundry", 1, bytes(range(8))) for record in records
    ]
    news = News(tuple(records), tuple(upstreams), tuple(applied))
    return len(encode_message(Members("planning-1", "10.0.0.1:7400", news)))


def main(_: list[str]) -> None:
    """Runs the bench and prints its figures."""
    message_s = trio.run(measure_message_s, _MESSAGES.value)
    print(f"one message sent and received: {message_s * 1e6:.0f} us of processor time")
    for members in VIEW_SIZES:
        print(f"whole view of {members} members: {measure_view_bytes(members)} bytes")


if __name__ == "__main__":
    app.run(main)
