"""The connections in the backlog are accepted in bounded time, whoever goes on connecting."""

from __future__ import annotations

import unittest
from unittest.mock import MagicMock

from fulmarstile_http.listener import ConnectionListener

HELD = 1025
"""Connections that the kernel holds for a listener at most, one more than the backlog's length."""


class PendingConnectionsTest(unittest.TestCase):
    def accept_pending(self, arriving: int) -> int:
        """Returns how many connections are accepted while one more arrives with each of them."""
        accepted = [(MagicMock(), None) for _ in range(arriving)]
        sock = MagicMock()
        sock.accept.side_effect = [*accepted, BlockingIOError]
        return len(ConnectionListener(sock).accept_pending())

    def test_no_more_are_accepted_than_the_backlog_holds(self) -> None:
        self.assertEqual(self.accept_pending(3 * HELD), HELD)

    def test_all_in_the_backlog_are_accepted(self) -> None:
        self.assertEqual(self.accept_pending(HELD), HELD)


if __name__ == "__main__":
    unittest.main()
