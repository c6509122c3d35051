"""Assembly of parsed sections into one document, with the checks that span sections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarstile_config.document import Document, SectionKind
from fulmarstile_config.publication import Refusal, RefusalCode

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fulmarstile_config.section import AnyItem, ParsedSection


@dataclass(frozen=True, slots=True)
class Place:
    """Where an item stands."""

    parsed: ParsedSection
    index: int

    @property
    def item(self) -> AnyItem:
        """The item itself."""
        return self.parsed.items[self.index]

    def line_of(self, field: str) -> int:
        """Returns the line of one of the item's fields, or of the item."""
        return self.parsed.line_of(self.index, field)


@dataclass(frozen=True, slots=True)
class _Reference:
    source: SectionKind
    field: str
    target: SectionKind


_REFERENCES = (
    _Reference(SectionKind.POOLS, "service", SectionKind.SERVICES),
    _Reference(SectionKind.ROUTES, "pool", SectionKind.POOLS),
    _Reference(SectionKind.ROUTES, "limit", SectionKind.LIMITS),
    _Reference(SectionKind.ROUTES, "retry", SectionKind.RETRIES),
)

_SINGULAR = {
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
    """Yields what is wrong with the document that the sections make.

    Args:
        sections: All sections of the resulting document.
        changed: Sections that the publication changes or removes.

    Yields:
        One refusal for each duplicate name, ambiguous route and dangling reference.
    """
    names: dict[SectionKind, dict[str, Place]] = {kind: {} for kind in SectionKind}
    for place in _iterate_places(sections):
        yield from _check_name(names[place.parsed.kind], place, changed)
    yield from _check_route_overlap(sections, changed)
    for reference in _REFERENCES:
        yield from _check_reference(reference, sections, names, changed)


def _iterate_places(sections: Mapping[str, ParsedSection]) -> Iterator[Place]:
    for section in sorted(sections):
        parsed = sections[section]
        for index in range(len(parsed.items)):
            yield Place(parsed, index)


def _check_name(
    known: dict[str, Place], place: Place, changed: frozenset[str]
) -> Iterator[Refusal]:
    name = place.item.name
    first = known.setdefault(name, place)
    if first is place:
        return
    what = _SINGULAR[place.parsed.kind]
    yield _refuse_pair(f"{what} {name!r} is defined twice", "name", first, place, changed)


def _refuse_pair(
    problem: str, field: str, first: Place, second: Place, changed: frozenset[str]
) -> Refusal:
    blamed, other = (second, first) if second.parsed.section in changed else (first, second)
    reason = f"{problem}; also in section {other.parsed.section} line {other.line_of(field)}"
    line = blamed.line_of(field)
    return Refusal(RefusalCode.INVALID, reason, blamed.parsed.section, line)


def _check_route_overlap(
    sections: Mapping[str, ParsedSection], changed: frozenset[str]
) -> Iterator[Refusal]:
    by_path: dict[str, list[Place]] = {}
    for place in _iterate_places(sections):
        if place.parsed.kind is not SectionKind.ROUTES:
            continue
        same_path = by_path.setdefault(place.item.path, [])
        clash = next((other for other in same_path if _share_method(other, place)), None)
        if clash is not None:
            problem = f"two routes match the same methods of path {place.item.path!r}"
            yield _refuse_pair(problem, "path", clash, place, changed)
        same_path.append(place)


def _share_method(first: Place, second: Place) -> bool:
    if not first.item.methods or not second.item.methods:
        return bool(first.item.methods) == bool(second.item.methods)
    return not set(first.item.methods).isdisjoint(second.item.methods)


def _check_reference(
    reference: _Reference,
    sections: Mapping[str, ParsedSection],
    names: Mapping[SectionKind, Mapping[str, Place]],
    changed: frozenset[str],
) -> Iterator[Refusal]:
    targets = names[reference.target]
    for place in _iterate_places(sections):
        if place.parsed.kind is not reference.source:
            continue
        target = getattr(place.item, reference.field)
        if target and target not in targets:
            yield _refuse_dangling(reference, place, target, changed)


def _refuse_dangling(
    reference: _Reference, place: Place, target: str, changed: frozenset[str]
) -> Refusal:
    source = f"{_SINGULAR[reference.source]} {place.item.name!r}"
    wanted = f"{_SINGULAR[reference.target]} {target!r}"
    section = place.parsed.section
    line = place.line_of(reference.field)
    if section in changed:
        reason = f"{source} names {wanted}, which does not exist"
        return Refusal(RefusalCode.DANGLING_REFERENCE, reason, section, line)
    reason = f"{wanted} is removed but still named by {source} in section {section} line {line}"
    blamed = _removing_section(reference.target, changed)
    return Refusal(RefusalCode.DANGLING_REFERENCE, reason, blamed)


def _removing_section(kind: SectionKind, changed: frozenset[str]) -> str:
    of_kind = [section for section in sorted(changed) if section.split(".")[0] == kind.value]
    return of_kind[0] if of_kind else ""
