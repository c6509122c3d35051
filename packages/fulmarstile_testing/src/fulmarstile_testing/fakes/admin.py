"""Admin interface of one daemon over a real fold, for tests of the operators' command."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import trio

from fulmarstile_config import stream_name
from fulmarstile_daemon.admin.views import (
    ConvergenceView,
    MemberView,
    MissingView,
    UpstreamView,
    describe_customer,
    describe_verdict,
)
from fulmarstile_platform import LogError
from fulmarstile_platform.http_server import (
    HttpAnswer,
    HttpProblemError,
    encode_answer,
    listen_http,
    serve_http,
)
from fulmarstile_wire.records import StreamRecord

if TYPE_CHECKING:
    from fulmarstile_config import CustomerFold
    from fulmarstile_platform import Log
    from fulmarstile_platform.http_server import HttpRequest

FLEET_SIZE = 3
"""Number of daemons that the fake reports."""


class FakeAdmin:
    """Folds the stream of one customer from a log and answers as a daemon does.

    Attributes:
        in_force: Number of daemons reported to have the latest version in force.
    """

    def __init__(self, fold: CustomerFold, log: Log) -> None:
        self.in_force = FLEET_SIZE
        self._fold = fold
        self._log = log

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Answers one request."""
        await self._read_log()
        fold = self._fold
        root = f"/v1/customers/{fold.customer}"
        if request.path == "/state":
            return encode_answer({"daemon": "fake"})
        if request.path == "/v1/members":
            return encode_answer([_make_member(index) for index in range(FLEET_SIZE)])
        if request.path == "/v1/customers":
            return encode_answer([fold.customer])
        if request.path == root:
            return encode_answer(describe_customer(fold))
        if request.path == f"{root}/sections":
            return encode_answer({name: state.body for name, state in fold.sections.items()})
        if request.path == f"{root}/history":
            return encode_answer([describe_verdict(verdict) for verdict in fold.history])
        if request.path == f"{root}/convergence":
            return encode_answer(self._describe_convergence(int(request.query["version"])))
        if request.path.startswith(f"{root}/publications/"):
            return self._show_verdict(request.path.rpartition("/")[2])
        raise HttpProblemError(HTTPStatus.NOT_FOUND, f"there is no {request.path}")

    def _show_verdict(self, publication_id: str) -> HttpAnswer:
        verdict = self._fold.find_verdict(publication_id)
        if verdict is None:
            raise HttpProblemError(HTTPStatus.NOT_FOUND, "not known")
        return encode_answer(describe_verdict(verdict))

    def _describe_convergence(self, version: int) -> ConvergenceView:
        missing = tuple(
            MissingView(f"daemon-{index}", version - 1, "alive", 2.5)
            for index in range(self.in_force, FLEET_SIZE)
        )
        return ConvergenceView(version, FLEET_SIZE, self.in_force, missing)

    async def _read_log(self) -> None:
        try:
            page = await self._log.read(
                stream_name(self._fold.customer), self._fold.head.next_offset
            )
        except LogError:
            return
        for record in page.records:
            self._fold.on_record(StreamRecord(record.offset, record.payload, record.appended_at_ms))


async def serve_admin(
    admin: FakeAdmin, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED
) -> None:
    """Serves the admin interface on a free port until cancelled."""
    listeners = await listen_http("127.0.0.1:0")
    task_status.started(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
    await serve_http(listeners, admin.handle)


def _make_member(index: int) -> MemberView:
    return MemberView(
        daemon_id=f"daemon-{index}",
        status="alive",
        incarnation=1,
        peer_address=f"10.0.0.{index}:7100",
        calls_address=f"10.0.0.{index}:7200",
        availability_zone="be-bru",
        region="belgium",
        upstreams=(UpstreamView("planning", "ready", 10),),
    )
