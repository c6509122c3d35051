"""What upstreams say about themselves in their responses, as known to this daemon."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from fulmarstile_wire.services import UpstreamNotice

if TYPE_CHECKING:
    from fulmarstile_wire.services import Member

_MAX_NOTICES: Final = 8192
"""Maximum number of upstreams whose notices are kept; the oldest ones are dropped first."""
_RESPONSES_TO_LIFT: Final = 2
"""Consecutive responses without a rate limit after which it no longer holds.

A single response may have lost its header on the way.
"""
MIN_RATE_LIMIT: Final = 0.25
"""Smallest rate limit, in requests per second; without a response, its end would go unnoticed."""
_DECIMAL: Final = re.compile(rb"\d{1,12}(\.\d{0,40})?|\.\d{1,40}")


class UpstreamNotices:
    """Newest notice of each upstream, merged independently of the order of arrival."""

    def __init__(self) -> None:
        self._notices: dict[str, UpstreamNotice] = {}

    def find(self, upstream_id: str, born_ms: int) -> UpstreamNotice | None:
        """Returns the notice of an incarnation of an upstream.

        Args:
            upstream_id: Id of the upstream.
            born_ms: Its start time, in milliseconds since the epoch.

        Returns:
            The notice; None if that incarnation has said nothing.
        """
        notice = self._notices.get(upstream_id)
        return notice if notice is not None and notice.upstream_born_ms == born_ms else None

    def find_for(self, member: Member) -> UpstreamNotice | None:
        """Returns the notice of the upstream beside a daemon, or None."""
        return self.find(member.upstream_id, member.upstream_born_ms)

    def find_restriction(self, member: Member) -> UpstreamNotice | None:
        """Returns the notice of the upstream beside a daemon if it is restrictive, or None."""
        notice = self.find_for(member)
        return notice if notice is not None and notice.is_restrictive else None

    def has_left(self, member: Member) -> bool:
        """Returns whether the upstream beside a daemon has said that it leaves."""
        notice = self.find_for(member)
        return notice is not None and notice.leaves

    def merge(self, notice: UpstreamNotice) -> bool:
        """Merges a notice.

        The rate limit with the latest date holds. An upstream that leaves never stays again, so
        that part of a notice is kept whatever its date.

        Args:
            notice: Notice from any source, old or new.

        Returns:
            Whether more is known than before.
        """
        known = self._notices.get(notice.upstream_id)
        if known is not None:
            if notice.upstream_born_ms < known.upstream_born_ms:
                return False
            if notice.upstream_born_ms == known.upstream_born_ms:
                notice = _combine(known, notice)
                if notice == known:
                    return False
        self._notices.pop(notice.upstream_id, None)
        self._notices[notice.upstream_id] = notice
        while len(self._notices) > _MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        return True


@dataclass(frozen=True, slots=True)
class AnnouncingResponse:
    """What one response says about the upstream that sent it."""

    rate_limit: float | None
    """Rate limit in requests per second; None if the response names none."""
    leaves: bool
    """Whether it says that the upstream leaves."""
    can_end_limit: bool
    """Whether the lack of a rate limit means that there is none any more.

    Only the upstream's response to a request that it ran says so.
    """
    head_at: float
    """Time at which its head arrived, in seconds."""


class NoticeReader:
    """Derives the notices of one incarnation of an upstream from its responses.

    Args:
        upstream_id: Id of the upstream.
        born_ms: Its start time, in milliseconds since the epoch.
    """

    def __init__(self, upstream_id: str, born_ms: int) -> None:
        self._upstream_id = upstream_id
        self._born_ms = born_ms
        self._last_head_at = 0.0
        self._unlimited_responses = 0

    def read(
        self,
        known: UpstreamNotice | None,
        response: AnnouncingResponse,
        now_ms: int,
    ) -> UpstreamNotice | None:
        """Reads what a response says.

        Args:
            known: Notice known so far, from whatever source.
            response: The response.
            now_ms: Current time in milliseconds since the epoch.

        Returns:
            A new notice; None if the response says nothing new, or is older than the last one.
        """
        limit = known.rate_limit if known is not None else 0.0
        leaves = response.leaves
        if response.head_at >= self._last_head_at:
            self._last_head_at = response.head_at
            limit = self._read_limit(limit, response)
        has_left = known is not None and known.leaves
        if limit == (known.rate_limit if known is not None else 0.0) and (has_left or not leaves):
            return None
        dated_ms = now_ms if known is None else max(now_ms, known.dated_ms + 1)
        return UpstreamNotice(self._upstream_id, self._born_ms, dated_ms, limit, leaves or has_left)

    def _read_limit(self, known_limit: float, response: AnnouncingResponse) -> float:
        """Returns the rate limit that holds after a response."""
        if response.rate_limit is not None:
            self._unlimited_responses = 0
            return response.rate_limit
        self._unlimited_responses += response.can_end_limit
        return 0.0 if self._unlimited_responses >= _RESPONSES_TO_LIFT else known_limit


def parse_rate_limit(value: bytes) -> float | None:
    """Parses a rate limit.

    Args:
        value: Value of the header.

    Returns:
        Requests per second, at least `MIN_RATE_LIMIT`; None if the value is not a decimal number.
    """
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    return max(MIN_RATE_LIMIT, float(value))


def _combine(known: UpstreamNotice, other: UpstreamNotice) -> UpstreamNotice:
    newest = other if other.dated_ms > known.dated_ms else known
    leaves = known.leaves or other.leaves
    return newest if newest.leaves is leaves else msgspec.structs.replace(newest, leaves=leaves)
