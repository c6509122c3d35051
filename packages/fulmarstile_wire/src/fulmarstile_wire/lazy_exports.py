"""Names that a package exports without importing their modules until they are used."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def export_lazily(package: str, modules: Mapping[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Makes the `__getattr__` of a package.

    Processes that use a part of a package only don't pay for the memory of the others.

    Args:
        package: Name of the package.
        modules: Exported names by the module that defines them.

    Returns:
        The function to assign to `__getattr__`.
    """
    homes = {name: module for module, names in modules.items() for name in names}

    def find(name: str) -> Any:
        home = homes.get(name)
        if home is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(home), name)

    return find
