"""How the upstream stand-in announces itself to the daemon beside it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec
import trio
from loguru import logger

from fulmarstile_platform.http import HttpError, open_http_client
from fulmarstile_wire.admin import AnnouncementBody
from fulmarstile_wire.verdict import Verdict

if TYPE_CHECKING:
    from fulmarstile_testing.upstream_stand_in import UpstreamStandIn

ANNOUNCE_TIMEOUT_S: Final = 1.0
"""Longest wait for the daemon's answer, in seconds."""

REPEAT_S: Final = 0.2
"""Time before a failed announcement is repeated, in seconds."""


async def announce(upstream: UpstreamStandIn, admin: str, status: str, ttl_s: float) -> None:
    """Announces an upstream once.

    Args:
        upstream: The upstream.
        admin: `host:port` of its daemon's admin listener.
        status: `ready` or `draining`.
        ttl_s: Lifetime of the announcement, in seconds.

    Raises:
        HttpError: If the daemon cannot be reached, or refuses the announcement.
    """
    settings = upstream.settings
    body = AnnouncementBody(
        settings.service, upstream.address, settings.slots, settings.connections, status, ttl_s
    )
    async with open_http_client(admin) as client:
        answer = await client.request(
            "PUT", "/v1/upstream", msgspec.json.encode(body), ANNOUNCE_TIMEOUT_S
        )
    if answer.status >= HTTPStatus.MULTIPLE_CHOICES:
        raise HttpError(f"{admin} answered with status {answer.status}", Verdict.NOT_RUN)


async def announce_forever(upstream: UpstreamStandIn, admin: str, ttl_s: float) -> None:
    """Announces a ready upstream until cancelled, three times in its lease's lifetime.

    Args:
        upstream: The upstream.
        admin: `host:port` of its daemon's admin listener.
        ttl_s: Lifetime of an announcement, in seconds.
    """
    is_known = True
    while True:
        try:
            await announce(upstream, admin, "ready", ttl_s)
            is_known = True
        except HttpError as error:
            if is_known:
                logger.warning("announcing to {} failed: {}", admin, error)
            is_known = False
        await trio.sleep(ttl_s / 3 if is_known else min(ttl_s / 3, REPEAT_S))
