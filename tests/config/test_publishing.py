"""Publications are accepted whole, or refused whole with section, line and reason."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

import msgspec

from fulmarstile_config import RefusalCode, encode_record
from fulmarstile_testing.builders.config import (
    LIMITS,
    POOLS,
    ROUTES,
    TEAMS,
    StreamBuilder,
    make_teams,
)


@dataclass(frozen=True)
class Case:
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

CASES = {
    "bad syntax": Case(
        "web", {"limits": "limits:\n- name: [\n"}, RefusalCode.SYNTAX, "", "limits", 2
    ),
    "unknown key": Case(
        "web", {"limits": LIMITS + "  brust: 5\n"}, RefusalCode.INVALID, "brust", "limits", 5
    ),
    "missing key": Case(
        "web",
        {"limits": "limits:\n- name: a\n  burst: 1\n"},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        2,
    ),
    "wrong type": Case(
        "web",
        {"limits": LIMITS.replace("50\n", "'50'\n")},
        RefusalCode.INVALID,
        "Expected `int`",
        "limits",
        4,
    ),
    "value out of range": Case(
        "web",
        {"limits": LIMITS.replace("500", "-1")},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        3,
    ),
    "not a number": Case(
        "web",
        {"limits": LIMITS.replace("500", ".nan")},
        RefusalCode.INVALID,
        "calls_per_s",
        "limits",
        3,
    ),
    "unknown kind of section": Case(
        "owner", {"rules": "rules: []"}, RefusalCode.INVALID, "kind", "rules"
    ),
    "route to a missing pool": Case(
        "web",
        {"routes": ROUTES.replace("pool: planning", "pool: planing")},
        RefusalCode.DANGLING_REFERENCE,
        "pool 'planing'",
        "routes",
        4,
    ),
    "route to a missing limit": Case(
        "web",
        {"limits": LIMITS.replace("residents", "others")},
        RefusalCode.DANGLING_REFERENCE,
        "limit 'residents' is removed but still named by route 'slots' in section routes line 6",
        "limits",
    ),
    "route to a missing retry rule": Case(
        "platform",
        {"retries": ""},
        RefusalCode.DANGLING_REFERENCE,
        "retry rule 'twice' is removed but still named by route 'slots'",
        "retries",
    ),
    "pool of a missing service": Case(
        "platform",
        {"services": "services:\n- name: planning\n"},
        RefusalCode.DANGLING_REFERENCE,
        "service 'reservations' is removed but still named by pool 'reservations'",
        "services",
    ),
    "removal of a pool still named": Case(
        "platform",
        {"pools": POOLS_WITHOUT_PLANNING},
        RefusalCode.DANGLING_REFERENCE,
        "pool 'planning' is removed but still named by route 'slots' in section routes line 4",
        "pools",
    ),
    "name defined in two sections": Case(
        "platform",
        {"pools.more": POOLS},
        RefusalCode.INVALID,
        "pool 'planning' is defined twice; also in section pools line 2",
        "pools.more",
        2,
    ),
    "two routes for one path": Case(
        "web",
        {"routes.more": ROUTES.replace("name: ", "name: other-")},
        RefusalCode.INVALID,
        "two routes match the same methods of path",
        "routes.more",
        3,
    ),
    "another team's section": Case(
        "web", {"pools": POOLS}, RefusalCode.NOT_OWNER, "does not own", "pools"
    ),
    "teams section by another team": Case(
        "web", {"teams": TEAMS}, RefusalCode.NOT_OWNER, "does not own", "teams"
    ),
    "unknown team": Case("nobody", {"limits": LIMITS}, RefusalCode.UNKNOWN_TEAM, "nobody"),
    "wrong signature": Case(
        "web", {"limits": LIMITS}, RefusalCode.BAD_SIGNATURE, "web", options={"key": "platform"}
    ),
    "another customer": Case(
        "web",
        {"limits": LIMITS},
        RefusalCode.WRONG_CUSTOMER,
        "dala-zher",
        options={"customer": "dala-zher"},
    ),
    "oversize body": Case(
        "web", {"limits": LIMITS + "#" * (64 << 10)}, RefusalCode.OVERSIZE, "65536 bytes", "limits"
    ),
    "no changes": Case("web", {}, RefusalCode.MALFORMED, "no section"),
    "removal of a missing section": Case(
        "web", {"routes.none": ""}, RefusalCode.INVALID, "does not exist", "routes.none"
    ),
    "idempotent route that runs at most once": Case(
        "web",
        {"routes": ROUTES + "  idempotent: true\n"},
        RefusalCode.INVALID,
        "both idempotent and at_most_once",
        "routes",
        13,
    ),
}


class PublishingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder().publish_document()
        self.fold = self.stream.fold

    def test_whole_document_is_accepted(self) -> None:
        self.assertEqual(self.fold.version, 3)
        self.assertEqual([verdict.accepted for verdict in self.fold.history], [True] * 3)
        self.assertEqual([route.name for route in self.fold.document.routes], ["slots", "reserve"])

    def test_bad_publication_is_refused_with_section_line_and_reason(self) -> None:
        for name, case in CASES.items():
            with self.subTest(name):
                stream = StreamBuilder().publish_document()
                before = stream.fold.document
                publication = stream.make_publication(case.team, case.sections, **case.options)
                refusal = stream.send(publication).refusal
                self.assertEqual(refusal.code, case.code)
                self.assertIn(case.reason, refusal.reason)
                self.assertEqual((refusal.section, refusal.line), (case.section, case.line))
                self.assertIs(stream.fold.document, before)
                self.assertEqual(stream.fold.version, 3)

    def test_publication_with_one_bad_section_changes_no_section(self) -> None:
        sections = {"limits": LIMITS.replace("500", "700"), "routes": "routes: 5\n"}
        self.assertFalse(self.stream.publish("web", sections).accepted)
        self.assertEqual(self.fold.document.limits[0].calls_per_s, 500)

    def test_sections_that_need_each_other_are_accepted_together(self) -> None:
        sections = {
            "limits": LIMITS.replace("residents", "others"),
            "routes": ROUTES.replace("residents", "others"),
        }
        self.assertTrue(self.stream.publish("web", sections).accepted)

    def test_missing_signature_is_refused(self) -> None:
        publication = self.stream.make_publication("web", {"limits": LIMITS})
        unsigned = msgspec.structs.replace(publication, signature=b"")
        self.assertEqual(self.stream.send(unsigned).refusal.code, RefusalCode.BAD_SIGNATURE)

    def test_no_field_of_a_signed_publication_can_be_altered(self) -> None:
        publication = self.stream.make_publication("web", {"limits": LIMITS})
        changed = msgspec.structs.replace(publication.changes[0], body=LIMITS.replace("5", "6"))
        for altered in (
            {"publication_id": "other"},
            {"base_sequence": publication.base_sequence - 1},
            {"changes": (changed,)},
            {"changes": (msgspec.structs.replace(publication.changes[0], base_version=0),)},
        ):
            with self.subTest(altered):
                forged = msgspec.structs.replace(publication, **altered)
                verdict = self.stream.send(forged)
                self.assertEqual(verdict.refusal.code, RefusalCode.BAD_SIGNATURE)

    def test_owner_replaces_a_teams_key_and_the_old_key_loses_its_right(self) -> None:
        owned = {"web": ("routes", "limits"), "platform": ("services", "pools", "retries")}
        self.stream.publish("owner", {"teams": make_teams(owned, {"web": "web-2"})})
        limits = LIMITS.replace("500", "600")
        old = self.stream.publish("web", {"limits": limits})
        self.assertEqual(old.refusal.code, RefusalCode.BAD_SIGNATURE)
        self.assertTrue(self.stream.publish("web", {"limits": limits}, key="web-2").accepted)

    def test_malformed_record_is_refused_and_kept_in_the_history(self) -> None:
        record = self.stream.append(b"\x01not msgpack")
        verdict = self.fold.history[-1]
        self.assertEqual(verdict.offset, record.offset)
        self.assertEqual(verdict.refusal.code, RefusalCode.MALFORMED)

    def test_oversize_record_is_refused(self) -> None:
        sections = {f"routes.r{number}": "#" * 60_000 for number in range(5)}
        publication = self.stream.make_publication("web", sections)
        self.assertGreater(len(encode_record(publication)), 256 << 10)
        self.assertEqual(self.stream.send(publication).refusal.code, RefusalCode.OVERSIZE)
