"""Randomly mutated requests cause no errors in the proxy and do not affect other calls."""

from __future__ import annotations

import random
import unittest

import trio

from fulmarstile_testing.builders.call_proxies import make_request, serve_two_daemons

SEEDS = 600
SAMPLES = (
    make_request("/slots?day=1"),
    make_request("/write", "POST", b"0123456789"),
    b"POST /write HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"GET http://x/slots HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n",
)
FRAGMENTS = (
    b"\r\n",
    b"\n",
    b"\r",
    b"\0",
    b" ",
    b"\t",
    b":",
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close, content-length, host\r\n",
    b"Fulmarstile-Hop: daemon-1 0\r\n",
    b"Expect: 100-continue\r\n",
    b"0\r\n\r\n",
    b"\xff",
)


def mutate(rng: random.Random) -> bytes:
    data = bytearray(rng.choice(SAMPLES) * rng.randint(1, 2))
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(data))
        action = rng.randrange(3)
        if action == 0:
            data[position:position] = rng.choice(FRAGMENTS)
        elif action == 1:
            del data[position : position + rng.randint(1, 8)]
        else:
            data[position] = rng.randrange(256)
        if not data:
            return b"\r\n"
    return bytes(data)


class MutatedInputTest(unittest.TestCase):
    def test_mutated_requests_break_neither_proxy_nor_other_calls(self) -> None:
        async def send(daemon, data: bytes) -> None:
            caller = await daemon.connect()
            middle = len(data) // 2
            await caller.send(data[:middle])
            await trio.sleep(0)
            await caller.send(data[middle:])
            await caller.stream.send_eof()
            while (answer := await caller.receive("POST")).status:
                has_outcome = answer.status == 200 or answer.verdict != ""
                self.assertTrue(has_outcome and answer.complete, (data, answer))
            await caller.close()

        async def run() -> None:
            async with serve_two_daemons() as daemons:
                for seed in range(SEEDS):
                    data = mutate(random.Random(seed))
                    for daemon in daemons:
                        with self.subTest(seed=seed):
                            await send(daemon, data)
                for daemon in daemons:
                    answer = await daemon.call(make_request("/slots"))
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(daemon.proxy.counters.errors, 0)
                    self.assertEqual(daemon.proxy.dump().calls_in_flight, 0)
                entry, serving = daemons
                self.assertEqual(entry.upstream.counts.total, 0)
                self.assertEqual(serving.proxy.dump().upstream_running, 0)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()
