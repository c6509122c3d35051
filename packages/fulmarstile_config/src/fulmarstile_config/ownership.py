"""Ownership of sections: which team may publish which section."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from fulmarstile_config.document import SectionKind

if TYPE_CHECKING:
    from fulmarstile_config.document import Team

OWNER_TEAM: Final = "owner"
"""Team that may publish every section; its public key is in the daemons' settings."""

_PATTERN: Final = re.compile(r"([a-z]{1,16})(\.([a-z0-9][a-z0-9_-]{0,62}|\*))?", re.ASCII)
_OWNABLE_KINDS: Final = frozenset(
    kind.value for kind in SectionKind if kind is not SectionKind.TEAMS
)


def is_valid_pattern(pattern: str) -> bool:
    """Returns whether a team may own `pattern`: `kind`, `kind.name` or `kind.*`."""
    match = _PATTERN.fullmatch(pattern)
    return match is not None and match[1] in _OWNABLE_KINDS


def owns_section(team: Team, section: str) -> bool:
    """Returns whether a team owns a section, listed by identifier or covered by `kind.*`."""
    if section in team.sections:
        return True
    kind, dot, _ = section.partition(".")
    return bool(dot) and f"{kind}.*" in team.sections
