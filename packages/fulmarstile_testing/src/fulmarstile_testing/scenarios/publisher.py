"""Publishers of a scenario: they sign documents and append them to the log."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Final

from fulmarstile_config import (
    Publication,
    SectionChange,
    derive_public_key,
    encode_record,
    sign_publication,
    stream_name,
)
from fulmarstile_config.ownership import OWNER_TEAM

if TYPE_CHECKING:
    from fulmarstile_config import CustomerFold
    from fulmarstile_testing.fakes.log import FakeLog
    from fulmarstile_testing.scenarios.model import ServiceSetup
    from fulmarstile_wire.verdict import Verdict

CALL_TIMEOUT_S: Final = 5.0
"""Timeout of every route, in seconds."""

RESERVE_SUFFIX: Final = "/reserve"
"""End of the path of a service's route for requests that run at most once."""

_KEY_BYTES: Final = 32


def call_path(service: str) -> str:
    """Returns the path of a service's route for idempotent requests."""
    return f"/{service}"


def reserve_path(service: str) -> str:
    """Returns the path of a service's route for requests that run at most once."""
    return f"/{service}{RESERVE_SUFFIX}"


class Publisher:
    """The owner team of one customer.

    Args:
        customer: The customer.
        services: Services of the customer.
        log: The log.
        seed: Seed of the key pair.
    """

    def __init__(
        self, customer: str, services: tuple[ServiceSetup, ...], log: FakeLog, seed: str
    ) -> None:
        self._customer = customer
        self._services = services
        self._log = log
        self._private_key = Random(f"{seed}/key/{customer}").randbytes(_KEY_BYTES)
        self._forged_key = Random(f"{seed}/forged/{customer}").randbytes(_KEY_BYTES)
        self._count = 0
        self.last_publication_id = ""
        """Publication whose verdict an `expect publication` step checks."""

    @property
    def public_key(self) -> bytes:
        """Raw public key of the owner team."""
        return derive_public_key(self._private_key)

    def publish(self, kind: str, fold: CustomerFold) -> None:
        """Appends a publication, or two concurrent ones.

        Args:
            kind: One of the kinds of `model.Publish`.
            fold: Document as the publisher sees it.
        """
        if kind == "racing":
            self._append(self._sign(self._change(fold), fold))
        changes = self._change(fold, is_broken=kind == "broken", is_stale=kind == "stale")
        publication = self._sign(changes, fold, is_forged=kind == "forged")
        self.last_publication_id = publication.publication_id
        self._append(publication)
        if kind == "twice":
            self._append(publication)

    def _change(
        self, fold: CustomerFold, *, is_broken: bool = False, is_stale: bool = False
    ) -> tuple[SectionChange, ...]:
        self._count += 1
        bodies = self._describe_sections(is_broken=is_broken)
        sections = fold.sections
        changes = []
        for section, body in bodies.items():
            base = sections[section].version if section in sections else 0
            if is_stale:
                base = max(0, base - 1)
            changes.append(SectionChange(section, base, body))
        return tuple(changes)

    def _sign(
        self, changes: tuple[SectionChange, ...], fold: CustomerFold, *, is_forged: bool = False
    ) -> Publication:
        publication = Publication(
            publication_id=f"{self._customer}-{self._count}",
            customer=self._customer,
            team=OWNER_TEAM,
            changes=changes,
            base_sequence=fold.sequence,
        )
        return sign_publication(publication, self._forged_key if is_forged else self._private_key)

    def _append(self, publication: Publication) -> None:
        payload = encode_record(publication)

        def on_failure(verdict: Verdict) -> None:
            self._log.append(stream, payload, lambda offset: None, on_failure)

        stream = stream_name(self._customer)
        self._log.append(stream, payload, lambda offset: None, on_failure)

    def _describe_sections(self, *, is_broken: bool) -> dict[str, str]:
        services, pools, routes = ["services:"], ["pools:"], ["routes:"]
        for service in self._services:
            pool = f"{service.name}-pool"
            services.append(f"- name: {service.name}")
            pools.append(f"- {{name: {pool}, service: {service.name}}}")
            routes.append(_describe_route(service.name, pool, at_most_once=False))
            routes.append(_describe_route(service.name, pool, at_most_once=True))
        if is_broken:
            routes.append("- {name: broken, path: /broken, pool: missing-pool}")
        burst = 1000 + self._count
        return {
            "services": "\n".join(services) + "\n",
            "pools": "\n".join(pools) + "\n",
            "limits": f"limits:\n- {{name: usual, calls_per_s: 1000.0, burst: {burst}}}\n",
            "retries": "retries:\n- {name: twice, attempts: 3, budget_percent: 100.0}\n",
            "routes": "\n".join(routes) + "\n",
        }


def _describe_route(service: str, pool: str, *, at_most_once: bool) -> str:
    name = f"{service}-reserve" if at_most_once else service
    path = reserve_path(service) if at_most_once else call_path(service)
    kind = "at_most_once: true, priority: critical" if at_most_once else "idempotent: true"
    timeout_ms = round(CALL_TIMEOUT_S * 1000)
    return (
        f"- {{name: {name}, path: {path}, pool: {pool}, limit: usual, retry: twice,"
        f" timeout_ms: {timeout_ms}, {kind}}}"
    )
