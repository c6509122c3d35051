"""Readers that parse and validate the text of a setting, one for each type of value.

Each reader returns the value or raises `ValueError` with a message for the operator.
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
    """Parses the text of a setting."""

    @property
    def unit(self) -> str:
        """Unit or format of the value, for the reference page."""
        ...

    @property
    def allowed_values(self) -> str:
        """Description of the allowed values, for the reference page."""
        ...

    def read(self, text: str) -> object:
        """Returns the value of `text`; raises `ValueError` if it is not allowed."""
        ...


@dataclass(frozen=True, slots=True)
class NameReader:
    """Parses a lower-case name."""

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
    """Parses `host:port`, where the host is an IP address."""

    allow_empty: bool = False
    unit: str = "host:port"
    allowed_values: str = f"IP address, port 1 to {MAX_PORT}"

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
    """Parses a comma-separated list of addresses."""

    unit: str = "host:port, host:port, ..."
    allowed_values: str = "any number of addresses"

    def read(self, text: str) -> tuple[str, ...]:
        """Returns the addresses."""
        reader = AddressReader()
        parts = (part.strip() for part in text.split(","))
        return tuple(reader.read(part) for part in parts if part)


@dataclass(frozen=True, slots=True)
class ChoiceReader:
    """Parses one of a fixed set of words."""

    choices: tuple[str, ...]
    unit: str = "word"

    @property
    def allowed_values(self) -> str:
        """Description of the allowed values."""
        return ", ".join(self.choices)

    def read(self, text: str) -> str:
        """Returns the word."""
        if text not in self.choices:
            raise ValueError(f"'{text}' is not one of {self.allowed_values}")
        return text


@dataclass(frozen=True, slots=True)
class IntegerReader:
    """Parses an integer between `minimum` and `maximum`."""

    minimum: int
    maximum: int
    unit: str

    @property
    def allowed_values(self) -> str:
        """Description of the allowed values."""
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
    """Parses a time in seconds between `minimum` and `maximum`."""

    minimum: float
    maximum: float
    unit: str = "s"

    @property
    def allowed_values(self) -> str:
        """Description of the allowed values."""
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
    """Parses a base64 key of a fixed length."""

    length_bytes: int
    unit: str = "base64"

    @property
    def allowed_values(self) -> str:
        """Description of the allowed values."""
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
