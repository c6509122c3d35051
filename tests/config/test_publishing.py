"""Publications are accepted whole, or refused whole with section, line and reason."""

from __future__ import annotations

import unittest

import msgspec

from fulmarstile_config import RefusalCode, encode_record
from fulmarstile_testing.builders.bad_publications import BAD_PUBLICATIONS
from fulmarstile_testing.builders.config import (
    LIMITS,
    ROUTES,
    StreamBuilder,
    make_teams,
)


class PublishingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StreamBuilder().publish_document()
        self.fold = self.stream.fold

    def test_whole_document_is_accepted(self) -> None:
        self.assertEqual(self.fold.version, 3)
        self.assertEqual([verdict.accepted for verdict in self.fold.history], [True] * 3)
        self.assertEqual([route.name for route in self.fold.document.routes], ["slots", "reserve"])

    def test_bad_publication_is_refused_with_section_line_and_reason(self) -> None:
        for name, case in BAD_PUBLICATIONS.items():
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

    def test_sections_that_depend_on_each_other_are_accepted_together(self) -> None:
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

    def test_key_that_the_owner_has_replaced_is_no_longer_accepted(self) -> None:
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
