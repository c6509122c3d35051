"""Reads what the responses of the upstream on this VM say about it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from fulmarstile_daemon.services.events import RecordIgnored
from fulmarstile_services.upstream_notices import AnnouncingResponse, NoticeReader, parse_rate_limit

if TYPE_CHECKING:
    from fulmarstile_daemon.services._exchange import UpstreamResponse
    from fulmarstile_daemon.services._notice_merger import NoticeMerger
    from fulmarstile_daemon.services.event_log import EventLog
    from fulmarstile_daemon.services.ports import CallHeaderNames
    from fulmarstile_services.upstream_registry import UpstreamAnnouncement
    from fulmarstile_wire.services import UpstreamNotice

_SOURCE: Final = "response"
"""Source of these notices in the log."""
_FALSE_VALUES: Final = (b"", b"0")


class ResponseNotices:
    """Derives notices from the responses of one incarnation of the upstream.

    Args:
        announcement: Announcement of the incarnation.
        names: Names of headers.
        merger: Merges what upstreams say about themselves.
        log: Log of the daemon.
    """

    def __init__(
        self,
        announcement: UpstreamAnnouncement,
        names: CallHeaderNames,
        merger: NoticeMerger,
        log: EventLog,
    ) -> None:
        self._upstream_id = announcement.upstream_id
        self._born_ms = announcement.born_ms
        self._reader = NoticeReader(announcement.upstream_id, announcement.born_ms)
        self._names = names
        self._merger = merger
        self._log = log

    @property
    def notice(self) -> UpstreamNotice | None:
        """What the incarnation has said about itself, from whatever source; None for nothing."""
        return self._merger.notices.find(self._upstream_id, self._born_ms)

    def read(self, response: UpstreamResponse) -> None:
        """Reads a response and merges what it says.

        Args:
            response: Response of this incarnation.
        """
        headers = response.headers
        value = headers.get_bytes(self._names.rate_limit)
        rate_limit = parse_rate_limit(value) if value else None
        if value and rate_limit is None:
            reason = f"its rate limit is not a decimal number: {value[:40]!r}"
            self._log.write(RecordIgnored(source=_SOURCE, reason=reason))
        has_run = bool(headers.get_bytes(self._names.response_signature))
        has_run = has_run and not headers.get_bytes(self._names.not_run)
        said = AnnouncingResponse(
            rate_limit,
            leaves=headers.get_bytes(self._names.leaving).strip() not in _FALSE_VALUES,
            can_end_limit=has_run and not value,
            head_at=response.head_at,
        )
        notice = self._reader.read(self.notice, said, int(time.time() * 1000))
        self._merger.merge(notice, _SOURCE)
