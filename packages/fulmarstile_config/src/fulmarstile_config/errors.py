"""Errors of the configuration package."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_wire.errors import FulmarstileError

if TYPE_CHECKING:
    from fulmarstile_config.publication import Refusal


class ConfigError(FulmarstileError):
    """Base class of the configuration errors."""


class RefusedError(ConfigError):
    """A publication or section is refused."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class SnapshotError(ConfigError):
    """A snapshot is malformed, or the signatures in it do not prove its content."""


class KeyFormatError(ConfigError):
    """A key is not in the expected format."""
