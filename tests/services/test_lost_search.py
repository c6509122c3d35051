"""No request is lost while daemons stop, start and lose their connections, in virtual time."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

from fulmarstile_testing.lost_search.case import Case

SEEDS = range(1, 13)
TIGHT_SEED = 338
"""Case of many callers and large bodies on slow links."""


class LostSearchTest(unittest.TestCase):
    def test_no_request_is_lost_in_seeded_cases(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(Case(seed).play().violations, [])

    def test_a_case_plays_the_same_again(self) -> None:
        first, second = (Case(1).play() for _ in range(2))
        self.assertEqual(first.trace, second.trace)
        self.assertEqual(
            [(each.request_id, each.ended_at, each.status) for each in first.requests],
            [(each.request_id, each.ended_at, each.status) for each in second.requests],
        )

    def test_a_case_plays_the_same_in_another_process(self) -> None:
        """Guards against a case that depends on hashes, addresses of objects or real time.

        With connections of the kernel, virtual time went on before bytes had been delivered.
        """
        first, second = (_trace(TIGHT_SEED, hash_seed) for hash_seed in (1, 2))
        self.assertEqual(first, second)


def _trace(seed: int, hash_seed: int) -> list[str]:
    """Plays a case in a process of its own; returns its events, requests and logs."""
    command = [sys.executable, "-m", "fulmarstile_testing.lost_search", f"--seed={seed}", "--trace"]
    environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
    played = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    *lines, summary = played.stdout.splitlines()
    if not summary.startswith("1 cases, "):
        raise ValueError(f"the case was not played: {summary}")
    return lines
