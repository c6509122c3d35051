"""Section files and key files."""

from __future__ import annotations

import base64
import binascii
import os
from pathlib import Path
from typing import TYPE_CHECKING, Final

from fulmarstile_cli.errors import UsageError
from fulmarstile_config import encode_key

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SECTION_SUFFIX: Final = ".yaml"
"""Suffix of section files; the rest of the name is the section's identifier."""

PRIVATE_FILE_MODE: Final = 0o600
"""File mode of a private key file."""

MAX_FILE_BYTES: Final = 1 << 20
"""Largest file read, in bytes."""


def read_sections(paths: Iterable[str]) -> dict[str, str]:
    """Reads section files, each named `SECTION.yaml`, and all such files of directories.

    Args:
        paths: Files and directories.

    Returns:
        Body of each section by its identifier.

    Raises:
        UsageError: If a path cannot be read, or two files define the same section.
    """
    sections: dict[str, str] = {}
    for path in _expand(paths):
        section = path.name.removesuffix(SECTION_SUFFIX)
        if section in sections:
            raise UsageError(f"section {section!r} is defined in two files, one of them {path}")
        sections[section] = read_text(path)
    return sections


def parse_assignments(arguments: Sequence[str]) -> dict[str, str]:
    """Reads the bodies of `SECTION=FILE` arguments; an empty FILE removes the section.

    Args:
        arguments: The arguments; one without `=` is a file or directory of section files.

    Returns:
        Body of each section by its identifier.

    Raises:
        UsageError: If a file cannot be read, or a section is given twice.
    """
    sections = read_sections(argument for argument in arguments if "=" not in argument)
    for argument in arguments:
        section, separator, path = argument.partition("=")
        if not separator:
            continue
        if section in sections:
            raise UsageError(f"section {section!r} is given twice")
        sections[section] = read_text(Path(path)) if path else ""
    return sections


def read_text(path: Path) -> str:
    """Returns the text of a file.

    Raises:
        UsageError: If the file cannot be read, is too large or is not UTF-8.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            raise UsageError(f"{path} exceeds {MAX_FILE_BYTES} bytes")
        return content.decode("utf-8")
    except OSError as error:
        raise UsageError(f"cannot read {path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise UsageError(f"{path} is not UTF-8: {error.reason} at byte {error.start}") from None


def read_private_key(path: str) -> bytes:
    """Returns the key of a private key file.

    Raises:
        UsageError: If the file cannot be read or contains no key.
    """
    try:
        return base64.b64decode(read_text(Path(path)).strip(), validate=True)
    except (binascii.Error, ValueError):
        raise UsageError(f"{path} is not a private key file") from None


def write_private_key(path: str, private_key: bytes) -> None:
    """Writes a private key to a new file that only its owner may read.

    Raises:
        UsageError: If the file exists already or cannot be written.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, PRIVATE_FILE_MODE)
    except OSError as error:
        raise UsageError(f"cannot write {path}: {error.strerror}") from None
    with os.fdopen(descriptor, "w") as file:
        file.write(encode_key(private_key) + "\n")


def _expand(paths: Iterable[str]) -> Iterable[Path]:
    for name in paths:
        path = Path(name)
        if path.is_dir():
            files = sorted(path.glob(f"*{SECTION_SUFFIX}"))
            if not files:
                raise UsageError(f"{path} contains no {SECTION_SUFFIX} file")
            yield from files
        elif not path.name.endswith(SECTION_SUFFIX):
            raise UsageError(f"{path} must be named SECTION{SECTION_SUFFIX}")
        else:
            yield path
