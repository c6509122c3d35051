"""Assembles parsed sections into one document and checks constraints across sections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_config.document import Document, SectionKind
from fulmarstile_config.publication import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fulmarstile_config.section import AnyItem, ParsedSection


@dataclass(frozen=True, slots=True)
class ItemLocation:
    """Location of an item: its section and its index there."""

    parsed: ParsedSection
    index: int

    @property
    def item(self) -> AnyItem:
        """The item at this location."""
        return self.parsed.items[self.index]

    def line_of(self, field: str) -> int:
        """Returns the line of one of the item's fields, or of the item."""
        return self.parsed.line_of(self.index, field)


@dataclass(frozen=True, slots=True)
class _Reference:
    """Field of the items of one kind that names an item of another kind."""

    source: SectionKind
    field: str
    target: SectionKind


_REFERENCES = (
    _Reference(SectionKind.POOLS, "service", SectionKind.SERVICES),
    _Reference(SectionKind.ROUTES, "pool", SectionKind.POOLS),
    _Reference(SectionKind.ROUTES, "limit", SectionKind.LIMITS),
    _Reference(SectionKind.ROUTES, "retry", SectionKind.RETRIES),
)

_KIND_LABELS = {
    SectionKind.TEAMS: "team",
    SectionKind.SERVICES: "service",
    SectionKind.POOLS: "pool",
    SectionKind.LIMITS: "limit",
    SectionKind.RETRIES: "retry rule",
    SectionKind.ROUTES: "route",
}


def assemble_document(sections: Mapping[str, ParsedSection]) -> Document:
    """Returns the document made of all sections, in the order of their identifiers."""
    items: dict[SectionKind, list[AnyItem]] = {kind: [] for kind in SectionKind}
    for section in sorted(sections):
        parsed = sections[section]
        items[parsed.kind].extend(parsed.items)
    return Document(
        teams=tuple(items[SectionKind.TEAMS]),
        services=tuple(items[SectionKind.SERVICES]),
        pools=tuple(items[SectionKind.POOLS]),
        limits=tuple(items[SectionKind.LIMITS]),
        retries=tuple(items[SectionKind.RETRIES]),
        routes=tuple(items[SectionKind.ROUTES]),
    )


def find_refusals(
    sections: Mapping[str, ParsedSection], changed: frozenset[str]
) -> Iterator[Refusal]:
    """Yields the errors of a document across its sections.

    Args:
        sections: All sections of the resulting document.
        changed: Sections that the publication changes or removes.

    Yields:
        One refusal for each duplicate name, ambiguous route and dangling reference.
    """
    names: dict[SectionKind, dict[str, ItemLocation]] = {kind: {} for kind in SectionKind}
    for location in _iterate_items(sections):
        yield from _check_unique_name(names[location.parsed.kind], location, changed)
    yield from _check_route_overlap(sections, changed)
    for reference in _REFERENCES:
        yield from _check_reference(reference, sections, names, changed)


def _iterate_items(sections: Mapping[str, ParsedSection]) -> Iterator[ItemLocation]:
    for section in sorted(sections):
        parsed = sections[section]
        for index in range(len(parsed.items)):
            yield ItemLocation(parsed, index)


def _check_unique_name(
    known: dict[str, ItemLocation], location: ItemLocation, changed: frozenset[str]
) -> Iterator[Refusal]:
    name = location.item.name
    first = known.setdefault(name, location)
    if first is location:
        return
    label = _KIND_LABELS[location.parsed.kind]
    yield _make_pair_refusal(f"{label} {name!r} is defined twice", "name", first, location, changed)


def _make_pair_refusal(
    problem: str, field: str, first: ItemLocation, second: ItemLocation, changed: frozenset[str]
) -> Refusal:
    reported, other = (second, first) if second.parsed.section in changed else (first, second)
    reason = f"{problem}; also in section {other.parsed.section} line {other.line_of(field)}"
    line = reported.line_of(field)
    return Refusal(RefusalCode.INVALID, reason, reported.parsed.section, line)


def _check_route_overlap(
    sections: Mapping[str, ParsedSection], changed: frozenset[str]
) -> Iterator[Refusal]:
    routes_by_path: dict[str, list[ItemLocation]] = {}
    for location in _iterate_items(sections):
        if location.parsed.kind is not SectionKind.ROUTES:
            continue
        same_path = routes_by_path.setdefault(location.item.path, [])
        conflicting = next((other for other in same_path if _share_methods(other, location)), None)
        if conflicting is not None:
            problem = f"two routes match the same methods of path {location.item.path!r}"
            yield _make_pair_refusal(problem, "path", conflicting, location, changed)
        same_path.append(location)


def _share_methods(first: ItemLocation, second: ItemLocation) -> bool:
    # A route with methods takes precedence over one for all methods, so they do not conflict.
    if not first.item.methods or not second.item.methods:
        return bool(first.item.methods) == bool(second.item.methods)
    return not set(first.item.methods).isdisjoint(second.item.methods)


def _check_reference(
    reference: _Reference,
    sections: Mapping[str, ParsedSection],
    names: Mapping[SectionKind, Mapping[str, ItemLocation]],
    changed: frozenset[str],
) -> Iterator[Refusal]:
    targets = names[reference.target]
    for location in _iterate_items(sections):
        if location.parsed.kind is not reference.source:
            continue
        target = getattr(location.item, reference.field)
        if target and target not in targets:
            yield _make_dangling_refusal(reference, location, target, changed)


def _make_dangling_refusal(
    reference: _Reference, location: ItemLocation, target: str, changed: frozenset[str]
) -> Refusal:
    source = f"{_KIND_LABELS[reference.source]} {location.item.name!r}"
    missing = f"{_KIND_LABELS[reference.target]} {target!r}"
    section = location.parsed.section
    line = location.line_of(reference.field)
    if section in changed:
        reason = f"{source} names {missing}, which does not exist"
        return Refusal(RefusalCode.DANGLING_REFERENCE, reason, section, line)
    reason = f"{missing} is removed but still named by {source} in section {section} line {line}"
    reported = _find_changed_section(reference.target, changed)
    return Refusal(RefusalCode.DANGLING_REFERENCE, reason, reported)


def _find_changed_section(kind: SectionKind, changed: frozenset[str]) -> str:
    """Returns the first changed section of a kind, or an empty string."""
    changed_of_kind = [
        section for section in sorted(changed) if section.split(".")[0] == kind.value
    ]
    return changed_of_kind[0] if changed_of_kind else ""
