"""Messages of many clients don't exceed their memory, whatever their clients do."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from fulmarstile_platform.message_memory import MessageMemory

LIMIT_BYTES = 1_000_000
MESSAGE_BYTES = 300_000
MESSAGES = 20


class MessageMemoryTest(unittest.TestCase):
    def test_answers_that_wait_from_the_same_moment_do_not_exceed_twice_the_limit(self) -> None:
        async def run() -> None:
            memory = MessageMemory(LIMIT_BYTES)

            async def send() -> None:
                with memory.hold() as held:
                    held.grow(MESSAGE_BYTES)
                    with held.wait_for_client():
                        await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                for _ in range(MESSAGES):
                    nursery.start_soon(send)
                    await trio.testing.wait_all_tasks_blocked()
                self.assertLessEqual(memory.used_bytes, 2 * LIMIT_BYTES)
                nursery.cancel_scope.cancel()
            self.assertEqual(memory.used_bytes, 0)

        trio.run(run, clock=trio.testing.MockClock(rate=0.0))


if __name__ == "__main__":
    unittest.main()
