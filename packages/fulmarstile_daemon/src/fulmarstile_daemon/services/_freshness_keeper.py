"""Keeps the knowledge that the active document is the newest one recent."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Final

import trio

from fulmarstile_daemon.services.document_events import DocumentConfirmed, DocumentStale
from fulmarstile_platform.log import LogError

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.documents import ActiveDocument
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.gossip import Gossip
    from fulmarstile_platform.keyed_log import KeyedLog

_LOGGER: Final = logging.getLogger(__name__)

_CHECK_INTERVAL_S: Final = 0.1
_READ_INTERVAL_S: Final = 0.25
"""Shortest time between two reads of the store, in seconds."""
_STALE_READ_INTERVAL_S: Final = 0.5
"""The same once the knowledge is too old, so that a store that returns is not overloaded."""
_READ_TIMEOUT_S: Final = 1.5
"""Timeout of a read, in seconds. Reads overlap: one that the network has lost must not delay the
next, and one of a slow store still proves the time at which it was sent."""
_OVERDUE_S: Final = 0.6
"""Time after which a long poll should have begun to deliver what the store has, in seconds."""
_MAX_READS: Final = 4
"""Reads that wait for the store; the client's other connections remain for everything else."""
_IDLE_CHECK_INTERVAL_S: Final = 1.0
"""Interval of the check whether the settings forbid old knowledge, in seconds."""
_ASK_INTERVAL_S: Final = 0.5
"""Time between two questions to other daemons, in seconds."""


class FreshnessKeeper:
    """Asks the store, and other daemons where the store does not answer.

    In a large fleet only a few daemons of each availability zone ask the store; the others ask
    these, and the store itself only if their knowledge grows old nevertheless. So the number of
    store calls doesn't grow with the fleet.

    It asks only where old knowledge must not be used. The long poll by which the daemon learns of
    new versions is no help here: an answer without records proves that there were none when the
    poll was sent. Whether the store waited before it answered cannot be told from a late delivery.

    Args:
        documents: The active document, whose freshness is kept.
        gossip: Asks other daemons.
        log: Log of the daemon.
        is_reader: Returns whether this daemon reads the store for others of its zone.
    """

    def __init__(
        self,
        documents: ActiveDocument,
        gossip: Gossip,
        log: EventLog,
        is_reader: Callable[[], bool] = lambda: True,
    ) -> None:
        self._documents = documents
        self._freshness = documents.freshness
        self._gossip = gossip
        self._log = log
        self._is_reader = is_reader
        self._clock = documents.clock
        self._read_at = -math.inf
        self._reads = 0
        self._behind_since = math.inf
        self._asked_at = -math.inf
        self._is_asking = False
        self._stale_since: float | None = None

    async def run(self, store: KeyedLog) -> None:
        """Keeps the knowledge recent, until cancelled.

        Args:
            store: The platform's store.
        """
        async with trio.open_nursery() as nursery:
            while True:
                if not self._freshness.is_strict:
                    await trio.sleep(_IDLE_CHECK_INTERVAL_S)
                    continue
                now = self._clock()
                is_reader = self._is_reader()
                if self._freshness.should_confirm(now, is_reader=is_reader) and self._may_read(now):
                    self._start_read(store, nursery, now)
                if self._freshness.should_ask_peers(now, is_reader=is_reader) and self._may_ask(
                    now
                ):
                    self._asked_at = now
                    self._is_asking = True
                    nursery.start_soon(self._ask if is_reader else self._ask_reader)
                self._log_changes(now)
                await trio.sleep(_CHECK_INTERVAL_S)

    def _start_read(self, store: KeyedLog, nursery: trio.Nursery, now: float) -> None:
        self._read_at = now
        self._reads += 1
        nursery.start_soon(self._read, store)

    def _may_read(self, now: float) -> bool:
        is_usable = self._freshness.is_usable(now)
        interval_s = _READ_INTERVAL_S if is_usable else _STALE_READ_INTERVAL_S
        return self._reads < _MAX_READS and now >= self._read_at + interval_s

    async def _read(self, store: KeyedLog) -> None:
        try:
            with trio.move_on_after(_READ_TIMEOUT_S):
                is_newest = await self._documents.confirm(store)
                self._check_long_poll(store, is_newest)
        except LogError as error:
            # The follower of the topic logs outages; this tells only of single failures.
            _LOGGER.debug("the document could not be confirmed: %s", error)
        finally:
            self._reads -= 1

    def _check_long_poll(self, store: KeyedLog, is_newest: bool) -> None:
        """Ends the long poll if it doesn't deliver what the store has had for some time."""
        now = self._clock()
        if is_newest:
            self._behind_since = math.inf
        elif now - self._behind_since > _OVERDUE_S:
            store.end_silent_reads(self._documents.topic, _OVERDUE_S)
            self._behind_since = now
        else:
            self._behind_since = min(self._behind_since, now)

    def _may_ask(self, now: float) -> bool:
        return not self._is_asking and now >= self._asked_at + _ASK_INTERVAL_S

    async def _ask(self) -> None:
        try:
            await self._gossip.ask_for_document()
        finally:
            self._is_asking = False

    async def _ask_reader(self) -> None:
        """Asks a reader, and then other daemons if knowledge stays old, as they may have more."""
        try:
            await self._gossip.ask_reader()
            if self._freshness.should_ask_peers(self._clock()):
                await self._gossip.ask_for_document()
        finally:
            self._is_asking = False

    def _log_changes(self, now: float) -> None:
        """Logs when the knowledge becomes too old, and when it is recent again."""
        version = self._documents.version
        if version < 0:
            return
        is_usable = self._freshness.is_usable(now)
        if self._stale_since is None and not is_usable:
            self._stale_since = now
            age_s = self._freshness.age_s(now)
            rounded_s = round(age_s, 2) if math.isfinite(age_s) else None
            self._log.write(DocumentStale(version=version, age_s=rounded_s))
        elif self._stale_since is not None and is_usable:
            after_s = round(now - self._stale_since, 2)
            self._log.write(DocumentConfirmed(version=version, after_s=after_s))
            self._stale_since = None
