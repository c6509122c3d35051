"""Validation of the values of a section's items."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from fulmarstile_config.document import (
    Limit,
    Pool,
    Priority,
    RetryRule,
    Route,
    SectionKind,
    Service,
    Team,
)
from fulmarstile_config.keys import decode_public_key
from fulmarstile_config.ownership import OWNER_TEAM, is_valid_pattern

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

MAX_SLOW_START_MS: Final = 600_000
MAX_CALLS_PER_S: Final = 1_000_000.0
MAX_BURST: Final = 1_000_000
MAX_WEIGHT: Final = 1000.0
MAX_ATTEMPTS: Final = 10
MAX_HEDGE_MS: Final = 60_000
MAX_TIMEOUT_MS: Final = 3_600_000
MAX_PATH_CHARS: Final = 1024

_NAME: Final = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}", re.ASCII)
_PATH: Final = re.compile(r"/|(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+", re.ASCII)
_METHODS: Final = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
_PRIORITIES: Final = tuple(priority.name.lower() for priority in Priority)


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid value of an item."""

    index: int
    """Index of the item in its section, from 0."""
    field: str
    reason: str


def check_items(kind: SectionKind, items: Sequence[object]) -> Problem | None:
    """Returns the first invalid value, or None."""
    check = _CHECKS[kind]
    for index, item in enumerate(items):
        if _NAME.fullmatch(item.name) is None:
            reason = "name must be lower-case letters, digits, `-` and `_`, at most 63"
            return Problem(index, "name", reason)
        finding = check(item)
        if finding is not None:
            field, reason = finding
            return Problem(index, field, f"{kind.value} {item.name!r}: {reason}")
    return None


Finding = tuple[str, str] | None
"""Field with an invalid value and the reason, or None."""


def _check_range(item: object, field: str, low: float, high: float) -> Finding:
    value = getattr(item, field)
    if low <= value <= high:
        return None
    return field, f"{field} must be from {low} to {high}"


def _check_team(team: Team) -> Finding:
    if team.name == OWNER_TEAM:
        return "name", f"{OWNER_TEAM!r} is reserved for the key in the daemons' settings"
    if decode_public_key(team.public_key) is None:
        return "public_key", "public_key must be the base64 form of 32 bytes"
    for pattern in team.sections:
        if not is_valid_pattern(pattern):
            return "sections", f"{pattern[:80]!r} names no section that a team may own"
    return None


def _check_service(service: Service) -> Finding:
    return None


def _check_pool(pool: Pool) -> Finding:
    return _check_range(pool, "slow_start_ms", 0, MAX_SLOW_START_MS)


def _check_limit(limit: Limit) -> Finding:
    return (
        _check_range(limit, "calls_per_s", 0.001, MAX_CALLS_PER_S)
        or _check_range(limit, "burst", 1, MAX_BURST)
        or _check_range(limit, "weight", 0.001, MAX_WEIGHT)
    )


def _check_retry(rule: RetryRule) -> Finding:
    return (
        _check_range(rule, "attempts", 1, MAX_ATTEMPTS)
        or _check_range(rule, "budget_percent", 0.0, 100.0)
        or _check_range(rule, "hedge_after_ms", 0, MAX_HEDGE_MS)
    )


def _check_route(route: Route) -> Finding:
    if len(route.path) > MAX_PATH_CHARS or _PATH.fullmatch(route.path) is None:
        return "path", "path must be `/` or `/segment/...` without a trailing `/`"
    for method in route.methods:
        if method not in _METHODS:
            return "methods", f"method {method[:20]!r} is not one of {', '.join(sorted(_METHODS))}"
    if route.priority not in _PRIORITIES:
        return "priority", f"priority must be one of {', '.join(_PRIORITIES)}"
    if route.idempotent and route.at_most_once:
        return "at_most_once", "a route cannot be both idempotent and at_most_once"
    return _check_range(route, "timeout_ms", 1, MAX_TIMEOUT_MS)


_CHECKS: Final[dict[SectionKind, Callable[..., Finding]]] = {
    SectionKind.TEAMS: _check_team,
    SectionKind.SERVICES: _check_service,
    SectionKind.POOLS: _check_pool,
    SectionKind.LIMITS: _check_limit,
    SectionKind.RETRIES: _check_retry,
    SectionKind.ROUTES: _check_route,
}
