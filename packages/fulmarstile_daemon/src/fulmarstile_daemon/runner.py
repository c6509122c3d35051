"""Assembles a daemon from its settings and runs it until it is stopped by a signal."""

from __future__ import annotations

import random
import signal
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Final

import trio
from loguru import logger

from fulmarstile_calls.claims import ClaimSettings
from fulmarstile_daemon.admin import AdminApi
from fulmarstile_daemon.assembly import CoreSettings, TrustedKeys, assemble_core
from fulmarstile_daemon.daemon import Daemon
from fulmarstile_daemon.peers import open_peer_links
from fulmarstile_mesh import DisseminationMode, MembershipSettings, RelaySettings
from fulmarstile_platform import HttpLogSettings, open_http_log
from fulmarstile_platform.http_server import listen_http, serve_http
from fulmarstile_wire.errors import FulmarstileError
from fulmarstile_wire.records import MemberRecord, MemberStatus

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from fulmarstile_daemon.calls import CallProxy
    from fulmarstile_daemon.settings import Settings
    from fulmarstile_platform import HttpLog

EXTRA_LOG_CONNECTIONS: Final = 32
"""Connections to the log in addition to the long poll of each customer."""


class CallListenError(FulmarstileError):
    """The listener for calls cannot be opened."""


async def run_daemon(settings: Settings) -> None:
    """Runs a daemon until its graceful shutdown has ended.

    Args:
        settings: The daemon's settings.

    Raises:
        PeerListenError: If the listener for peers cannot be opened.
        HttpListenError: If the admin listener cannot be opened.
        CallListenError: If the listener for calls cannot be opened.
    """
    admin_listeners = await listen_http(settings.admin.address)
    with (
        # A signal that arrives during the start is handled as soon as the daemon runs.
        trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals,
        open_peer_links(settings.peers.address, settings.mesh.key) as links,
    ):
        async with _open_log(settings) as log, trio.open_nursery() as nursery:
            keys = TrustedKeys(settings.customers, settings.mesh.key)
            core = assemble_core(
                _make_core_settings(settings), _make_member_record(settings), keys, random.Random()
            )
            daemon = Daemon(settings, core, links, log, nursery)
            await _start_proxy(daemon.proxy, nursery)
            nursery.start_soon(serve_http, admin_listeners, AdminApi(daemon).handle)
            daemon.start()
            logger.info("started", daemon=settings.daemon.name)
            await _wait_for_stop(daemon, signals)
            nursery.cancel_scope.cancel()


async def _start_proxy(proxy: CallProxy, nursery: trio.Nursery) -> None:
    try:
        await nursery.start(proxy.serve)
    except OSError as error:
        raise CallListenError(f"cannot listen at {proxy.address}: {error.strerror}") from error


async def _wait_for_stop(daemon: Daemon, signals: AsyncIterator[int]) -> None:
    await anext(aiter(signals))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_drain_on_second_signal, signals, daemon)
        await daemon.drain()
        nursery.cancel_scope.cancel()


async def _end_drain_on_second_signal(signals: AsyncIterator[int], daemon: Daemon) -> None:
    await anext(aiter(signals))
    logger.warning("second signal received; no longer waiting for calls in flight")
    daemon.end_drain_wait()


@asynccontextmanager
async def _open_log(settings: Settings) -> AsyncIterator[HttpLog]:
    log_settings = HttpLogSettings(
        append_timeout_s=settings.log.timeout_s,
        read_timeout_s=settings.log.timeout_s,
        max_read_connections=len(settings.customers) + EXTRA_LOG_CONNECTIONS,
    )
    async with open_http_log(settings.log.address, log_settings) as log:
        yield log


def _make_member_record(settings: Settings) -> MemberRecord:
    return MemberRecord(
        daemon_id=settings.daemon.name,
        incarnation=time.time_ns() // 1_000_000,
        status=MemberStatus.ALIVE,
        peer_address=settings.peers.advertise or settings.peers.address,
        calls_address=settings.calls.advertise or settings.calls.address,
        availability_zone=settings.daemon.availability_zone,
        region=settings.daemon.region,
        customers=tuple(sorted(settings.customers)),
    )


def _make_core_settings(settings: Settings) -> CoreSettings:
    return CoreSettings(
        membership=MembershipSettings(
            seeds=settings.peers.seeds, probe_interval_s=settings.peers.probe_interval_s
        ),
        relay=RelaySettings(
            mode=DisseminationMode(settings.peers.dissemination),
            retention_s=settings.log.retention_s,
        ),
        claims=ClaimSettings.for_retention(settings.log.retention_s),
    )
