"""Merges and logs what upstreams say about themselves in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarstile_daemon.services.events import NoticeLearned

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_services.directory import Directory
    from fulmarstile_wire.services import UpstreamNotice


class NoticeMerger:
    """Adds notices of any source to the directory.

    Args:
        directory: Directory of the known daemons, which keeps the notices.
        log: Log of the daemon.
    """

    def __init__(self, directory: Directory, log: EventLog) -> None:
        self._directory = directory
        self._log = log
        self.notices = directory.notices
        """What is known so far."""
        self.on_change: Callable[[UpstreamNotice], None] = lambda _: None
        """Called with a notice by which more is known than before."""

    def merge(self, notice: UpstreamNotice | None, source: str) -> None:
        """Merges a notice.

        Args:
            notice: The notice, old or new; None for none.
            source: Where it comes from, for the log.
        """
        if notice is None or not self._directory.merge_notice(notice):
            return
        known = self.notices.find(notice.upstream_id, notice.upstream_born_ms) or notice
        self._log.write(
            NoticeLearned(
                upstream=known.upstream_id,
                born_ms=known.upstream_born_ms,
                rate_limit=known.rate_limit,
                leaves=known.leaves,
                dated_ms=known.dated_ms,
                source=source,
            )
        )
        self.on_change(known)
