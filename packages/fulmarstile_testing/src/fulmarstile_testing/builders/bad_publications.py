"""Publications that a fold must refuse after `StreamBuilder.publish_document`."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from fulmarstile_config import RefusalCode
from fulmarstile_testing.builders.config import LIMITS, POOLS, ROUTES, TEAMS


@dataclass(frozen=True)
class BadCase:
    """A publication that must be refused."""

    team: str
    sections: dict[str, str]
    code: RefusalCode
    reason: str
    """Text that the reason contains."""
    section: str = ""
    line: int = 0
    options: dict[str, object] = field(default_factory=dict)


POOLS_WITHOUT_PLANNING = "pools:\n- name: reservations\n  service: reservations\n"

BAD_PUBLICATIONS: Final = {
    "bad syntax": BadCase(
        "web", {"limits": "limits:\n- name: [\n"}, RefusalCode.SYNTAX, "", "limits", 2
    ),
    "unknown key": BadCase(
        "web", {"limits": LIMITS + "  brust: 5\n"}, RefusalCode.INVALID, "brust", "limits", 5
    ),
    "missing key": BadCase(
        "web",
        {"limits": "limits:\n- name: a\n  burst: 1\n"},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        2,
    ),
    "wrong type": BadCase(
        "web",
        {"limits": LIMITS.replace("50\n", "'50'\n")},
        RefusalCode.INVALID,
        "Expected `int`",
        "limits",
        4,
    ),
    "value out of range": BadCase(
        "web",
        {"limits": LIMITS.replace("500", "-1")},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        3,
    ),
    "not a number": BadCase(
        "web",
        {"limits": LIMITS.replace("500", ".nan")},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        3,
    ),
    "unknown kind of section": BadCase(
        "owner", {"rules": "rules: []"}, RefusalCode.INVALID, "kind", "rules"
    ),
    "route to a missing pool": BadCase(
        "web",
        {"routes": ROUTES.replace("pool: planning", "pool: planing")},
        RefusalCode.DANGLING_REFERENCE,
        "pool 'planing'",
        "routes",
        4,
    ),
    "route to a missing limit": BadCase(
        "web",
        {"limits": LIMITS.replace("residents", "others")},
        RefusalCode.DANGLING_REFERENCE,
        "limit 'residents' is removed but still named by route 'slots' in section routes line 6",
        "limits",
    ),
    "route to a missing retry rule": BadCase(
        "platform",
        {"retries": ""},
        RefusalCode.DANGLING_REFERENCE,
        "retry rule 'twice' is removed but still named by route 'slots'",
        "retries",
    ),
    "pool of a missing service": BadCase(
        "platform",
        {"services": "services:\n- name: planning\n"},
        RefusalCode.DANGLING_REFERENCE,
        "service 'reservations' is removed but still named by pool 'reservations'",
        "services",
    ),
    "removal of a pool still named": BadCase(
        "platform",
        {"pools": POOLS_WITHOUT_PLANNING},
        RefusalCode.DANGLING_REFERENCE,
        "pool 'planning' is removed but still named by route 'slots' in section routes line 4",
        "pools",
    ),
    "name defined in two sections": BadCase(
        "platform",
        {"pools.more": POOLS},
        RefusalCode.INVALID,
        "pool 'planning' is defined twice; also in section pools line 2",
        "pools.more",
        2,
    ),
    "two routes for one path": BadCase(
        "web",
        {"routes.more": ROUTES.replace("name: ", "name: other-")},
        RefusalCode.INVALID,
        "two routes match the same methods of path",
        "routes.more",
        3,
    ),
    "another team's section": BadCase(
        "web", {"pools": POOLS}, RefusalCode.NOT_OWNER, "does not own", "pools"
    ),
    "teams section by another team": BadCase(
        "web", {"teams": TEAMS}, RefusalCode.NOT_OWNER, "does not own", "teams"
    ),
    "unknown team": BadCase("nobody", {"limits": LIMITS}, RefusalCode.UNKNOWN_TEAM, "nobody"),
    "wrong signature": BadCase(
        "web", {"limits": LIMITS}, RefusalCode.BAD_SIGNATURE, "web", options={"key": "platform"}
    ),
    "another customer": BadCase(
        "web",
        {"limits": LIMITS},
        RefusalCode.WRONG_CUSTOMER,
        "dala-zher",
        options={"customer": "dala-zher"},
    ),
    "oversize body": BadCase(
        "web", {"limits": LIMITS + "#" * (64 << 10)}, RefusalCode.OVERSIZE, "65536 bytes", "limits"
    ),
    "no changes": BadCase("web", {}, RefusalCode.MALFORMED, "no section"),
    "removal of a missing section": BadCase(
        "web", {"routes.none": ""}, RefusalCode.INVALID, "does not exist", "routes.none"
    ),
    "idempotent route that runs at most once": BadCase(
        "web",
        {"routes": ROUTES + "  idempotent: true\n"},
        RefusalCode.INVALID,
        "both idempotent and at_most_once",
        "routes",
        13,
    ),
}
"""Bad publications by a description of their fault."""
