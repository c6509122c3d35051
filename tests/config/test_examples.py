"""The example documents are valid, and each of their sections is owned by one team."""

from __future__ import annotations

import unittest
from pathlib import Path

from fulmarstile_config import (
    CustomerFold,
    Publication,
    SectionChange,
    compile_document,
    encode_record,
    sign_publication,
    validate_sections,
)
from fulmarstile_config.ownership import owns_section
from fulmarstile_testing.builders.config import MESH_KEY, START_MS, make_key_pair
from fulmarstile_wire.records import StreamRecord

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


def read_document(directory: Path) -> dict[str, str]:
    return {path.name.removesuffix(".yaml"): path.read_text() for path in directory.glob("*.yaml")}


DOCUMENTS = {
    directory.name: read_document(directory)
    for directory in (EXAMPLES / "laundry", *sorted((EXAMPLES / "listings").glob("agency-*")))
}


def publish_as_owner(customer: str) -> CustomerFold:
    owner = make_key_pair("owner")
    fold = CustomerFold(customer, owner.public_key, MESH_KEY)
    changes = tuple(SectionChange(name, 0, body) for name, body in DOCUMENTS[customer].items())
    publication = Publication("first", customer, "owner", changes)
    payload = encode_record(sign_publication(publication, owner.private_key))
    fold.on_record(StreamRecord(0, payload, START_MS))
    return fold


class ExampleTest(unittest.TestCase):
    def test_there_is_a_document_for_each_customer(self) -> None:
        self.assertEqual(list(DOCUMENTS), ["laundry", "agency-dala", "agency-jer", "agency-zher"])

    def test_documents_are_accepted_and_each_section_but_teams_has_one_owner(self) -> None:
        for customer, sections in DOCUMENTS.items():
            with self.subTest(customer):
                self.assertEqual(validate_sections(sections), ())
                fold = publish_as_owner(customer)
                self.assertEqual(set(fold.sections), set(sections))
                for section in fold.sections:
                    owners = [team for team in fold.document.teams if owns_section(team, section)]
                    self.assertEqual(len(owners), section != "teams", section)

    def test_actions_that_must_not_run_twice_are_at_most_once_and_critical(self) -> None:
        bookings = (("POST", "/reservations/7"), ("POST", "/wallets/7/charges"))
        leases = (("POST", "/leases"), ("POST", "/viewings"))
        for customer in DOCUMENTS:
            fold = publish_as_owner(customer)
            compiled = compile_document(customer, fold.document, fold.version)
            for method, path in bookings if customer == "laundry" else leases:
                route = compiled.match(method, path).route
                self.assertEqual((route.at_most_once, route.priority), (True, "critical"), path)
