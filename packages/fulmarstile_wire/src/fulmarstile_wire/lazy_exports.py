"""Package exports whose modules are imported on first use."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


def export_lazily(package: str, modules: Mapping[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Returns a `__getattr__` for a package that imports exported names on first use.

    A process that uses only a part of the package saves the memory of the other modules.

    Args:
        package: Name of the package.
        modules: Exported names by the module that defines them.

    Returns:
        The function to assign to `__getattr__`.
    """
    module_names = {name: module for module, names in modules.items() for name in names}

    def get_export(name: str) -> Any:
        module_name = module_names.get(name)
        if module_name is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module_name), name)

    return get_export
