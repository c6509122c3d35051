"""Kinds of values that a setting may take, and how their text is read.

Each reader returns the value or raises `ValueError` with a reason in plain words.
"""

from __future__ import annotations

import base64
import binascii
import re
from dataclasses import dataclass
from typing import Final, Protocol

MAX_NAME_CHARACTERS: Final = 64
"""Longest name of a daemon, region, availability zone or customer, in characters."""

MAX_PORT: Final = 65_535
"""Highest TCP port."""

_NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]*")


class ValueReader(Protocol):
    """Reads the text of a setting."""

    @property
    def unit(self) -> str:
        """Unit or form of the value, for the reference page."""
        ...

    @property
    def allowed_values(self) -> str:
        """Values allowed, for the reference page."""
        ...

    def read(self, text: str) -> object:
        """Returns the value that `text` stands for; raises `ValueError` if it is not allowed."""
        ...


@dataclass(frozen=True, slots=True)
class NameReader:
    """Reads a lower-case name."""

    allow_empty: bool = False
    unit: str = "name"
    allowed_values: str = f"a-z 0-9 . _ -, at most {MAX_NAME_CHARACTERS} characters"

    def read(self, text: str) -> str:
        """Returns the name."""
        if not text and self.allow_empty:
            return text
        if len(text) > MAX_NAME_CHARACTERS or not _NAME_PATTERN.fullmatch(text):
            raise ValueError(f"'{text}' is not a name ({self.allowed_values})")
        return text


@dataclass(frozen=True, slots=True)
class AddressReader:
    """Reads `host:port`, the host being an IP number."""

    allow_empty: bool = False
    unit: str = "host:port"
    allowed_values: str = f"IP number, port 1 to {MAX_PORT}"

    def read(self, text: str) -> str:
        """Returns the address."""
        if not text and self.allow_empty:
            return text
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"'{text}' is not an address of the form host:port")
        if not port.isascii() or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
            raise ValueError(f"'{port}' is not a port between 1 and {MAX_PORT}")
        return text


@dataclass(frozen=True, slots=True)
class AddressListReader:
    """Reads addresses separated by commas."""

    unit: str = "host:port, host:port, ..."
    allowed_values: str = "any number"

    def read(self, text: str) -> tuple[str, ...]:
        """Returns the addresses."""
        reader = AddressReader()
        parts = (part.strip() for part in text.split(","))
        return tuple(reader.read(part) for part in parts if part)


@dataclass(frozen=True, slots=True)
class ChoiceReader:
    """Reads one of a few words."""

    choices: tuple[str, ...]
    unit: str = "word"

    @property
    def allowed_values(self) -> str:
        """Values allowed."""
        return ", ".join(self.choices)

    def read(self, text: str) -> str:
        """Returns the word."""
        if text not in self.choices:
            raise ValueError(f"'{text}' is not one of {self.allowed_values}")
        return text


@dataclass(frozen=True, slots=True)
class IntegerReader:
    """Reads a whole number within allowed_values."""

    minimum: int
    maximum: int
    unit: str

    @property
    def allowed_values(self) -> str:
        """Values allowed."""
        return f"{self.minimum} to {self.maximum}"

    def read(self, text: str) -> int:
        """Returns the number."""
        try:
            value = int(text)
        except ValueError:
            raise ValueError(f"'{text}' is not a whole number") from None
        if not self.minimum <= value <= self.maximum:
            raise ValueError(f"{value} is not between {self.minimum} and {self.maximum}")
        return value


@dataclass(frozen=True, slots=True)
class SecondsReader:
    """Reads a time in seconds within allowed_values."""

    minimum: float
    maximum: float
    unit: str = "s"

    @property
    def allowed_values(self) -> str:
        """Values allowed."""
        return f"{self.minimum:g} to {self.maximum:g}"

    def read(self, text: str) -> float:
        """Returns the time in seconds."""
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"'{text}' is not a number of seconds") from None
        if not self.minimum <= value <= self.maximum:
            raise ValueError(f"{value:g} is not between {self.minimum:g} and {self.maximum:g}")
        return value


@dataclass(frozen=True, slots=True)
class KeyReader:
    """Reads a key of a fixed length in base64."""

    length_bytes: int
    unit: str = "base64"

    @property
    def allowed_values(self) -> str:
        """Values allowed."""
        return f"{self.length_bytes} bytes"

    def read(self, text: str) -> bytes:
        """Returns the key's bytes."""
        try:
            key = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError):
            raise ValueError("the key is not base64") from None
        if len(key) != self.length_bytes:
            raise ValueError(f"the key has {len(key)} bytes instead of {self.length_bytes}")
        return key
