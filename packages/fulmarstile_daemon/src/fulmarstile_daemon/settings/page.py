"""Renders the reference page of the settings as Markdown.

Run it with `python -m fulmarstile_daemon.settings.page > docs/SETTINGS.md`.
"""

from __future__ import annotations

from itertools import groupby
from typing import Final

from fulmarstile_daemon.settings.reference import CUSTOMERS_SECTION, KEY_BYTES, SETTING_KEYS

_HEADER: Final = """\
# Settings of `fulmarstiled`

The daemon reads one INI file, given by `--settings=FILE`, and validates all of it before it
opens a socket. If a section or key is unknown, a required key is missing, or a value is
malformed or out of range, the daemon prints one line with the file, section, key and reason,
and exits with code 2; if it cannot listen on an address, it exits with code 3.

This page is generated from the daemon's table of settings by
`python -m fulmarstile_daemon.settings.page`.
"""

_CUSTOMERS: Final = f"""\

## [{CUSTOMERS_SECTION}]

One key for each customer whose configuration the daemon needs. The key is the customer's
name; the value is the owner's Ed25519 public key, base64, {KEY_BYTES} bytes
(`fulmarstile keygen` prints it). Only publications signed by the owner or by a team that the
owner has named are accepted.
"""

_SERVICES: Final = """\

## Calls between services

A daemon that carries calls between services reads the settings file of its platform instead,
which may set these bounds. A part is switched off where its bounds are absent.

| bounds | field | unit | purpose |
|---|---|---|---|
| revocation | revoke_s | s | Time after which a removed key is refused (design/keys.md). |
"""


def render_page() -> str:
    """Returns the reference page in Markdown."""
    parts = [_HEADER]
    for section, items in groupby(SETTING_KEYS, key=lambda item: item.section):
        parts.append(f"\n## [{section}]\n\n")
        parts.append("| key | unit | range | default | purpose |\n")
        parts.append("|---|---|---|---|---|\n")
        for item in items:
            default = "required" if item.default is None else item.default or "empty"
            row = (item.key, item.reader.unit, item.reader.allowed_values, default, item.purpose)
            parts.append("| " + " | ".join(row) + " |\n")
    parts.append(_CUSTOMERS)
    parts.append(_SERVICES)
    return "".join(parts)


if __name__ == "__main__":
    print(render_page(), end="")
