"""Routes of the admin interface."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, Protocol

import msgspec

from fulmarstile_daemon.admin.views import (
    UpstreamAnnouncement,
    describe_convergence,
    describe_customer,
    describe_member,
    describe_verdict,
)
from fulmarstile_mesh import convergence
from fulmarstile_platform.http_server import HttpAnswer, HttpProblemError, encode_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_config import CustomerFold
    from fulmarstile_daemon.core import DaemonCore
    from fulmarstile_platform.http_server import HttpRequest

METRICS_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
"""Media type of the metrics page."""

MIN_TTL_S: Final = 0.5
"""Shortest lease that an upstream may ask for, in seconds."""

MAX_TTL_S: Final = 60.0
"""Longest lease that an upstream may ask for, in seconds."""

MAX_SLOTS: Final = 10_000
"""Most slots or connections that an upstream may announce."""

_STATUSES: Final = frozenset({"ready", "draining"})


class AdminContext(Protocol):
    """What the admin interface needs of the daemon."""

    @property
    def core(self) -> DaemonCore:
        """The decision core."""
        ...

    @property
    def now(self) -> float:
        """Time in seconds, as the cores count it."""
        ...

    def announce_upstream(self, announcement: UpstreamAnnouncement) -> None:
        """Takes or renews the lease of the local upstream."""
        ...

    def withdraw_upstream(self) -> None:
        """Ends the lease of the local upstream."""
        ...

    def dump_state(self) -> Any:
        """Returns the whole state, to be encoded as JSON."""
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
            HttpProblemError: If the request names nothing known or has a faulty body.
        """
        known_path = False
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            known_path = True
            if method == request.method:
                return handler(request, *match.groups())
        if known_path:
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
        verdict = self._find_fold(customer).verdict(publication_id)
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
        report = convergence(membership, customer, int(text), self._context.now)
        return encode_answer(describe_convergence(report))

    def _announce_upstream(self, request: HttpRequest) -> HttpAnswer:
        try:
            announcement = msgspec.json.decode(request.body, type=UpstreamAnnouncement)
        except msgspec.DecodeError as error:
            raise HttpProblemError(HTTPStatus.BAD_REQUEST, str(error)) from error
        _check_announcement(announcement)
        self._context.announce_upstream(announcement)
        return encode_answer(announcement)

    def _withdraw_upstream(self, _: HttpRequest) -> HttpAnswer:
        self._context.withdraw_upstream()
        return HttpAnswer(HTTPStatus.NO_CONTENT)

    def _find_fold(self, customer: str) -> CustomerFold:
        fold = self._context.core.folds.get(customer)
        if fold is None:
            reason = f"customer {customer} is not served by this daemon"
            raise HttpProblemError(HTTPStatus.NOT_FOUND, reason)
        return fold


def _check_announcement(announcement: UpstreamAnnouncement) -> None:
    if announcement.status not in _STATUSES:
        _refuse(f"status '{announcement.status}' is neither ready nor draining")
    if not MIN_TTL_S <= announcement.ttl_s <= MAX_TTL_S:
        _refuse(f"ttl_s {announcement.ttl_s:g} is not between {MIN_TTL_S:g} and {MAX_TTL_S:g}")
    if not 1 <= announcement.slots <= MAX_SLOTS:
        _refuse(f"slots {announcement.slots} is not between 1 and {MAX_SLOTS}")
    if not announcement.slots <= announcement.connections <= MAX_SLOTS:
        _refuse(f"connections {announcement.connections} is not between slots and {MAX_SLOTS}")
    host, separator, port = announcement.address.rpartition(":")
    if not host or not separator or not port.isdigit():
        _refuse(f"address '{announcement.address}' is not of the form host:port")


def _refuse(reason: str) -> None:
    raise HttpProblemError(HTTPStatus.BAD_REQUEST, reason)
