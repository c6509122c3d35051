"""Validation of a whole document before it is published."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_config.assembly import find_refusals
from fulmarstile_config.errors import RefusedError
from fulmarstile_config.section import parse_section

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarstile_config.limits import FoldLimits
    from fulmarstile_config.publication import Refusal
    from fulmarstile_config.section import ParsedSection


def validate_sections(
    sections: Mapping[str, str], limits: FoldLimits | None = None
) -> tuple[Refusal, ...]:
    """Checks sections as the whole document of a customer.

    Args:
        sections: Body of each section by its identifier.
        limits: Limits on the bodies; the defaults if None.

    Returns:
        What a daemon would refuse; empty if the document is valid. References between sections
        are checked only if each section is valid on its own.
    """
    refusals: list[Refusal] = []
    parsed: dict[str, ParsedSection] = {}
    for section in sorted(sections):
        try:
            parsed[section] = parse_section(section, sections[section], limits)
        except RefusedError as error:
            refusals.append(error.refusal)
    if not refusals:
        refusals.extend(find_refusals(parsed, frozenset(parsed)))
    return tuple(refusals)
