"""No decision core imports I/O libraries or a clock."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

PACKAGES = Path(__file__).parent.parent / "packages"

CORE_PACKAGES = ("wire", "config", "mesh", "calls")

FORBIDDEN_MODULES = frozenset(
    {"trio", "pynng", "h11", "socket", "time", "datetime", "threading", "asyncio", "subprocess"}
)

TESTING_PACKAGE = "fulmarstile_testing"


def list_sources(package: str) -> list[Path]:
    return sorted((PACKAGES / f"fulmarstile_{package}" / "src").rglob("*.py"))


def list_imports(source: str) -> Iterator[str]:
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


class CoreImportTest(unittest.TestCase):
    def test_cores_import_no_io_library_and_no_clock(self) -> None:
        sources = [path for package in CORE_PACKAGES for path in list_sources(package)]
        sources.append(PACKAGES / "fulmarstile_daemon/src/fulmarstile_daemon/core.py")
        for path in sources:
            with self.subTest(path.name):
                found = FORBIDDEN_MODULES & set(list_imports(path.read_text()))
                self.assertEqual(found, set())

    def test_the_check_finds_a_forbidden_import(self) -> None:
        source = "import os\nfrom trio import sleep\n"
        self.assertEqual(FORBIDDEN_MODULES & set(list_imports(source)), {"trio"})

    def test_product_packages_do_not_import_the_testing_package(self) -> None:
        product = ("wire", "config", "mesh", "calls", "platform", "daemon", "cli")
        for package in product:
            for path in list_sources(package):
                with self.subTest(path.name):
                    self.assertNotIn(TESTING_PACKAGE, set(list_imports(path.read_text())))
