"""Lets tests fail that are listed in KNOWN-RED.txt, and only those."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import unittest
    from collections.abc import Callable

KNOWN_RED: Final = Path("KNOWN-RED.txt")
"""List of the tests that fail for a known fault, relative to the root of the project."""


def pass_over_known_red(
    test: Callable[[unittest.TestCase], None],
) -> Callable[[unittest.TestCase], None]:
    """Decorates a test: a failure is printed and skipped if the test's id is listed."""

    @functools.wraps(test)
    def run(case: unittest.TestCase) -> None:
        try:
            test(case)
        except Exception as error:
            if not is_listed(case.id()):
                raise
            print(f"known red: {case.id()}: {error!r}", flush=True)
            case.skipTest("listed in KNOWN-RED.txt")

    return run


def is_listed(test_id: str) -> bool:
    """Returns whether a test is listed in KNOWN-RED.txt."""
    return KNOWN_RED.exists() and test_id in KNOWN_RED.read_text().split()
