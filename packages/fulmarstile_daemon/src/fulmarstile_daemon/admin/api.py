"""Routes of the admin interface."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, Protocol

import msgspec

from fulmarstile_calls.upstream_lease import AnnouncementError, UpstreamAnnouncement
from fulmarstile_daemon.admin.views import (
    describe_convergence,
    describe_customer,
    describe_member,
    describe_verdict,
)
from fulmarstile_mesh import compute_convergence
from fulmarstile_platform.http_server import HttpAnswer, HttpProblemError, encode_answer
from fulmarstile_wire.admin import AnnouncementBody
from fulmarstile_wire.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_config import CustomerFold
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_platform.http_server import HttpRequest

METRICS_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
"""Media type of the metrics page."""

_DRAINING: Final = "draining"
_STATUSES: Final = frozenset({"ready", _DRAINING})


class AdminContext(Protocol):
    """Interface to the daemon that the admin interface needs."""

    @property
    def core(self) -> DaemonCore:
        """The decision core."""
        ...

    @property
    def now(self) -> float:
        """Time in seconds on the clock that the cores use."""
        ...

    def announce_upstream(self, announcement: UpstreamAnnouncement) -> None:
        """Grants or renews the lease of the local upstream."""
        ...

    def withdraw_upstream(self) -> None:
        """Ends the lease of the local upstream."""
        ...

    def dump_state(self) -> Any:
        """Returns the complete state as data that can be encoded as JSON."""
        ...

    def render_metrics(self) -> bytes:
        """Returns the metrics page."""
        ...


class AdminApi:
    """Answers the requests of operators and of the local upstream.

    Args:
        context: The daemon.
    """

    def __init__(self, context: AdminContext) -> None:
        self._context = context
        self._routes: tuple[tuple[str, re.Pattern[str], Callable[..., HttpAnswer]], ...] = (
            ("GET", re.compile("/healthz"), self._show_health),
            ("GET", re.compile("/state"), self._show_state),
            ("GET", re.compile("/metrics"), self._show_metrics),
            ("GET", re.compile("/v1/members"), self._show_members),
            ("GET", re.compile("/v1/customers"), self._show_customers),
            ("GET", re.compile("/v1/customers/([^/]+)"), self._show_customer),
            ("GET", re.compile("/v1/customers/([^/]+)/sections"), self._show_sections),
            ("GET", re.compile("/v1/customers/([^/]+)/history"), self._show_history),
            ("GET", re.compile("/v1/customers/([^/]+)/convergence"), self._show_convergence),
            ("GET", re.compile("/v1/customers/([^/]+)/publications/(.+)"), self._show_verdict),
            ("PUT", re.compile("/v1/upstream"), self._announce_upstream),
            ("DELETE", re.compile("/v1/upstream"), self._withdraw_upstream),
        )

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answers one request.

        Args:
            request: The request.

        Returns:
            The answer.

        Raises:
            HttpProblemError: If the path, method or named object is unknown, or a value is invalid.
        """
        is_path_known = False
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            is_path_known = True
            if method == request.method:
                return handler(request, *match.groups())
        if is_path_known:
            reason = f"{request.method} is not allowed on {request.path}"
            raise HttpProblemError(HTTPStatus.METHOD_NOT_ALLOWED, reason)
        raise HttpProblemError(HTTPStatus.NOT_FOUND, f"there is no {request.path}")

    def _show_health(self, _: HttpRequest) -> HttpAnswer:
        return encode_answer({"status": "ok"})

    def _show_state(self, _: HttpRequest) -> HttpAnswer:
        return encode_answer(self._context.dump_state())

    def _show_metrics(self, _: HttpRequest) -> HttpAnswer:
        return HttpAnswer(body=self._context.render_metrics(), content_type=METRICS_TYPE)

    def _show_members(self, _: HttpRequest) -> HttpAnswer:
        membership = self._context.core.membership
        members = sorted(membership.members.items())
        return encode_answer([describe_member(item, membership.upstreams) for _, item in members])

    def _show_customers(self, _: HttpRequest) -> HttpAnswer:
        return encode_answer(sorted(self._context.core.folds))

    def _show_customer(self, _: HttpRequest, customer: str) -> HttpAnswer:
        return encode_answer(describe_customer(self._find_fold(customer)))

    def _show_sections(self, _: HttpRequest, customer: str) -> HttpAnswer:
        sections = self._find_fold(customer).sections
        return encode_answer({name: state.body for name, state in sorted(sections.items())})

    def _show_history(self, _: HttpRequest, customer: str) -> HttpAnswer:
        history = self._find_fold(customer).history
        return encode_answer([describe_verdict(verdict) for verdict in history])

    def _show_verdict(self, _: HttpRequest, customer: str, publication_id: str) -> HttpAnswer:
        verdict = self._find_fold(customer).find_verdict(publication_id)
        if verdict is None:
            reason = f"publication {publication_id} is not known"
            raise HttpProblemError(HTTPStatus.NOT_FOUND, reason)
        return encode_answer(describe_verdict(verdict))

    def _show_convergence(self, request: HttpRequest, customer: str) -> HttpAnswer:
        fold = self._find_fold(customer)
        text = request.query.get("version", str(fold.version))
        if not text.isascii() or not text.isdigit():
            raise HttpProblemError(HTTPStatus.BAD_REQUEST, f"version '{text}' is not a number")
        membership = self._context.core.membership
        report = compute_convergence(membership, customer, int(text), self._context.now)
        return encode_answer(describe_convergence(report))

    def _announce_upstream(self, request: HttpRequest) -> HttpAnswer:
        try:
            body = msgspec.json.decode(request.body, type=AnnouncementBody)
            self._context.announce_upstream(_read_announcement(body))
        except (*DECODE_ERRORS, AnnouncementError) as error:
            raise HttpProblemError(HTTPStatus.BAD_REQUEST, str(error)) from error
        return encode_answer(body)

    def _withdraw_upstream(self, _: HttpRequest) -> HttpAnswer:
        self._context.withdraw_upstream()
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _find_fold(self, customer: str) -> CustomerFold:
        fold = self._context.core.folds.get(customer)
        if fold is None:
            reason = f"customer {customer} is not served by this daemon"
            raise HttpProblemError(HTTPStatus.NOT_FOUND, reason)
        return fold


def _read_announcement(body: AnnouncementBody) -> UpstreamAnnouncement:
    if body.status not in _STATUSES:
        raise AnnouncementError(f"status '{body.status}' is neither ready nor draining")
    return UpstreamAnnouncement(
        service=body.service,
        address=body.address,
        slots=body.slots,
        connections=body.connections,
        ttl_s=body.ttl_s,
        draining=body.status == _DRAINING,
    )
