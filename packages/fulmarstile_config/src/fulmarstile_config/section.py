"""Section identifiers, and parsing of section bodies into typed items."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_config._ranges import check_items
from fulmarstile_config._yaml import load_yaml
from fulmarstile_config.document import (
    Limit,
    Pool,
    RetryRule,
    Route,
    SectionKind,
    Service,
    Team,
)
from fulmarstile_config.errors import RefusedError
from fulmarstile_config.limits import FoldLimits
from fulmarstile_config.publication import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Mapping

AnyItem = Team | Service | Pool | Limit | RetryRule | Route
"""Every item that a section's list may hold."""

_SECTION_ID: Final = re.compile(r"([a-z]{1,16})(?:\.([a-z0-9][a-z0-9_-]{0,62}))?", re.ASCII)
_ERROR_PATH: Final = re.compile(r"(.*) - at `(\$[^`]*)`", re.DOTALL)
_UNKNOWN_FIELD: Final = re.compile(r"Object contains unknown field `([^`]*)`")
_MAX_REASON_CHARS: Final = 200

_ITEM_TYPES: Final[dict[SectionKind, type]] = {
    SectionKind.TEAMS: Team,
    SectionKind.SERVICES: Service,
    SectionKind.POOLS: Pool,
    SectionKind.LIMITS: Limit,
    SectionKind.RETRIES: RetryRule,
    SectionKind.ROUTES: Route,
}

_BODY_TYPES: Final = {
    kind: msgspec.defstruct(
        f"{kind.value.title()}Body",
        [(kind.value, tuple[item_type, ...])],
        forbid_unknown_fields=True,
        frozen=True,
    )
    for kind, item_type in _ITEM_TYPES.items()
}


@dataclass(frozen=True, slots=True)
class ParsedSection:
    """A section's items and their lines in the body."""

    section: str
    kind: SectionKind
    items: tuple[AnyItem, ...]
    lines: Mapping[str, int]
    """Line of each value in the body, by path, such as `$.routes[2].pool`."""

    def line_of(self, index: int, field: str = "") -> int:
        """Returns the line of an item's field, or of the item if the body has no such field."""
        item = f"$.{self.kind.value}[{index}]"
        return self.lines.get(f"{item}.{field}", self.lines.get(item, 0))


def parse_section_kind(section: str) -> SectionKind:
    """Returns the kind of a section identifier.

    Args:
        section: Identifier, `kind` or `kind.name`.

    Returns:
        The kind.

    Raises:
        RefusedError: If the identifier is malformed or of an unknown kind.
    """
    match = _SECTION_ID.fullmatch(section)
    kinds = {kind.value: kind for kind in SectionKind}
    if match is None or match[1] not in kinds:
        reason = f"section must be `kind` or `kind.name`, with kind one of {', '.join(kinds)}"
        raise RefusedError(Refusal(RefusalCode.INVALID, reason, section[:_MAX_REASON_CHARS]))
    if match[1] == SectionKind.TEAMS.value and match[2]:
        reason = "the teams section has no name"
        raise RefusedError(Refusal(RefusalCode.INVALID, reason, section))
    return kinds[match[1]]


def parse_section(section: str, body: str, limits: FoldLimits | None = None) -> ParsedSection:
    """Parses and checks one section by itself.

    Args:
        section: Section identifier.
        body: YAML text.
        limits: Limits on the body; the defaults if None.

    Returns:
        The parsed section.

    Raises:
        RefusedError: If the body is oversize, not YAML, has unknown keys or values out of range.
    """
    limits = limits or FoldLimits()
    kind = parse_section_kind(section)
    if len(body.encode("utf-8", "replace")) > limits.max_body_bytes:
        reason = f"body exceeds {limits.max_body_bytes} bytes"
        raise RefusedError(Refusal(RefusalCode.OVERSIZE, reason, section))
    content = load_yaml(section, body)
    items = _convert_items(section, kind, content.data, content.lines)
    if len(items) > limits.max_items:
        reason = f"section has {len(items)} items; at most {limits.max_items} are allowed"
        raise RefusedError(Refusal(RefusalCode.OVERSIZE, reason, section))
    parsed = ParsedSection(section, kind, items, content.lines)
    _ensure_in_range(parsed)
    return parsed


def _convert_items(
    section: str, kind: SectionKind, data: object, lines: Mapping[str, int]
) -> tuple[AnyItem, ...]:
    try:
        body = msgspec.convert(data, _BODY_TYPES[kind], strict=True)
    except msgspec.ValidationError as error:
        raise RefusedError(_describe_mismatch(section, str(error), lines)) from None
    except (ValueError, OverflowError, RecursionError) as error:
        reason = str(error)[:_MAX_REASON_CHARS]
        raise RefusedError(Refusal(RefusalCode.INVALID, reason, section)) from None
    return getattr(body, kind.value)


def _describe_mismatch(section: str, message: str, lines: Mapping[str, int]) -> Refusal:
    match = _ERROR_PATH.fullmatch(message)
    reason, path = (match[1], match[2]) if match else (message, "$")
    unknown = _UNKNOWN_FIELD.match(reason)
    if unknown:
        path = f"{path}.{unknown[1]}"
    line = lines.get(path, lines.get("$", 0))
    reason = f"{reason} at {path}"[:_MAX_REASON_CHARS]
    return Refusal(RefusalCode.INVALID, reason, section, line)


def _ensure_in_range(parsed: ParsedSection) -> None:
    problem = check_items(parsed.kind, parsed.items)
    if problem is None:
        return
    line = parsed.line_of(problem.index, problem.field)
    reason = problem.reason[:_MAX_REASON_CHARS]
    raise RefusedError(Refusal(RefusalCode.INVALID, reason, parsed.section, line))
