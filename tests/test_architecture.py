"""Import rules of the packages, and where names of the users' platform may occur."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

PACKAGES = Path(__file__).parent.parent / "packages"

CORE_PACKAGES = ("wire", "config", "mesh", "calls", "services")

FORBIDDEN_MODULES = frozenset(
    {
        "trio",
        "pynng",
        "h11",
        "httptools",
        "socket",
        "time",
        "datetime",
        "threading",
        "asyncio",
        "subprocess",
    }
)

PLATFORM = Path(__file__).parent.parent / "platform"

ADAPTER = PLATFORM / "fulmarstile_adapter"

ADAPTER_TESTING = PLATFORM / "fulmarstile_adapter_testing"

PLATFORM_NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-caller-service",
    "x-expected-instance",
    "x-response-seal",
    "x-not-executed",
    "x-credential",
    "x-tenant-name",
    "/v1/ready",
    "/v1/instances",
    "instances.heartbeat",
    "log-append",
    "log-newest",
    "keyed.op",
    "path_prefix",
    "weighted_split",
    "fulmarstile_node_file",
    "fulmarstile_adapter",
)
"""Names of the users' platform, at least one of each kind.

`fulmarstile_adapter` is contained in the name of each package in the platform folder.
"""

TESTING_PACKAGES = frozenset({"fulmarstile_testing", "fulmarstile_adapter_testing"})


def list_sources(package: str) -> list[Path]:
    return sorted((PACKAGES / f"fulmarstile_{package}" / "src").rglob("*.py"))


def list_imports(source: str) -> Iterator[str]:
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


def list_platform_names(text: str) -> list[str]:
    """Finds the platform's names in a text, ignoring case and underscores."""
    normalized = text.lower().replace("_", "")
    return [name for name in PLATFORM_NAMES if name.lower().replace("_", "") in normalized]


class CoreImportTest(unittest.TestCase):
    def test_cores_import_no_io_library_and_no_clock(self) -> None:
        sources = [path for package in CORE_PACKAGES for path in list_sources(package)]
        sources.append(PACKAGES / "fulmarstile_daemon/src/fulmarstile_daemon/core.py")
        for path in sources:
            with self.subTest(path.name):
                found = FORBIDDEN_MODULES & set(list_imports(path.read_text()))
                self.assertEqual(found, set())

    def test_a_forbidden_import_is_detected(self) -> None:
        source = "import os\nfrom trio import sleep\n"
        self.assertEqual(FORBIDDEN_MODULES & set(list_imports(source)), {"trio"})

    def test_product_packages_do_not_import_a_testing_package(self) -> None:
        product = (
            "wire",
            "http",
            "config",
            "mesh",
            "calls",
            "services",
            "platform",
            "daemon",
            "cli",
        )
        sources = [path for package in product for path in list_sources(package)]
        sources += sorted(ADAPTER.rglob("*.py"))
        for path in sources:
            with self.subTest(path.name):
                found = TESTING_PACKAGES & set(list_imports(path.read_text()))
                self.assertEqual(found, set())


class PlatformNamesTest(unittest.TestCase):
    def test_names_of_the_platform_occur_only_in_the_platform_folder(self) -> None:
        for path in sorted(PACKAGES.rglob("*.py")):
            with self.subTest(path.name):
                self.assertEqual(list_platform_names(path.read_text()), [])

    def test_all_names_of_the_platform_are_detected_in_the_adapter(self) -> None:
        text = "".join(path.read_text() for path in ADAPTER.rglob("*.py"))
        self.assertEqual(list_platform_names(text), list(PLATFORM_NAMES))

    def test_an_import_of_each_package_in_the_platform_folder_is_detected(self) -> None:
        packages = sorted(path.parent.name for path in PLATFORM.glob("*/pyproject.toml"))
        self.assertEqual(packages, [ADAPTER.name, ADAPTER_TESTING.name])
        for package in packages:
            with self.subTest(package):
                self.assertEqual(list_platform_names(f"import {package}"), ["fulmarstile_adapter"])

    def test_a_name_in_another_case_is_detected(self) -> None:
        self.assertEqual(list_platform_names("class WeightedSplit:"), ["weighted_split"])

    def test_the_adapter_is_smaller_than_an_eighth_of_the_product(self) -> None:
        def count(folder: Path) -> int:
            return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

        product = count(PACKAGES) - count(PACKAGES / "fulmarstile_testing")
        adapter = count(PLATFORM) - count(ADAPTER_TESTING)
        self.assertLess(adapter * 8, product)
