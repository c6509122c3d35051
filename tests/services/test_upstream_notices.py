"""What upstreams say of themselves in their responses is read, dated and merged."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from fulmarstile_daemon.services._notice_merger import NoticeMerger
from fulmarstile_services.directory import Directory
from fulmarstile_services.upstream_notices import (
    MIN_RATE_LIMIT,
    AnnouncingResponse,
    NoticeReader,
    UpstreamNotices,
    parse_rate_limit,
)
from fulmarstile_testing.builders.services import make_member, make_notice

if TYPE_CHECKING:
    from fulmarstile_daemon.services.events import NoticeLearned


class RateLimitValueTest(unittest.TestCase):
    def test_a_decimal_number_is_a_rate_limit(self) -> None:
        self.assertEqual(parse_rate_limit(b" 8.1 "), 8.1)
        self.assertEqual(parse_rate_limit(b"14"), 14.0)
        self.assertEqual(parse_rate_limit(b".5"), 0.5)
        self.assertEqual(parse_rate_limit(b"14.700000000000001"), 14.700000000000001)

    def test_a_limit_of_nothing_leaves_a_request_now_and_then_to_notice_its_end(self) -> None:
        self.assertEqual(parse_rate_limit(b"0"), MIN_RATE_LIMIT)

    def test_other_values_are_no_rate_limit(self) -> None:
        for value in (b"", b".", b"-1", b"nan", b"inf", b"1e9", b"1_0", b"8.1/s", b"9" * 400):
            self.assertIsNone(parse_rate_limit(value), value)


class MergeTest(unittest.TestCase):
    def test_the_notice_with_the_latest_date_holds_in_any_order(self) -> None:
        older, newer = make_notice(dated_ms=10, rate_limit=5.0), make_notice(dated_ms=20)
        for order in ((older, newer), (newer, older)):
            notices = UpstreamNotices()
            for notice in order:
                notices.merge(notice)
            self.assertEqual(notices.find("upstream-1", 1_000), newer)

    def test_an_upstream_that_leaves_does_not_stay_by_a_later_notice(self) -> None:
        leaving = make_notice(dated_ms=10, leaves=True)
        limited = make_notice(dated_ms=20, rate_limit=5.0)
        for order in ((leaving, limited), (limited, leaving)):
            notices = UpstreamNotices()
            for notice in order:
                self.assertTrue(notices.merge(notice))
            known = notices.find("upstream-1", 1_000)
            self.assertEqual(known, make_notice(dated_ms=20, rate_limit=5.0, leaves=True))

    def test_a_notice_holds_for_its_incarnation_only(self) -> None:
        notices = UpstreamNotices()
        notices.merge(make_notice(leaves=True))
        self.assertIsNone(notices.find("upstream-1", 2_000))
        notices.merge(make_notice(upstream_born_ms=2_000))
        self.assertFalse(notices.merge(make_notice(dated_ms=99, leaves=True)))
        self.assertEqual(notices.find("upstream-1", 2_000), make_notice(upstream_born_ms=2_000))


class NoticeMergerTest(unittest.TestCase):
    def test_the_log_says_what_is_known_after_an_older_notice_was_merged(self) -> None:
        log = RecordingLog()
        merger = NoticeMerger(Directory(make_member()), log)
        merger.merge(make_notice(dated_ms=20, rate_limit=5.0), "response")
        merger.merge(make_notice(dated_ms=10, rate_limit=9.0, leaves=True), "request")
        last = log.events[-1]
        self.assertEqual((last.rate_limit, last.leaves, last.dated_ms), (5.0, True, 20))


class RecordingLog:
    """Keeps the events that are written."""

    def __init__(self) -> None:
        self.events: list[NoticeLearned] = []

    def write(self, event: NoticeLearned) -> None:
        self.events.append(event)


class NoticeReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = NoticeReader("upstream-1", 1_000)
        self.notices = UpstreamNotices()

    def read(
        self,
        limit: float | None,
        head_at: float,
        *,
        leaves: bool = False,
        can_end_limit: bool = True,
    ) -> float:
        """Reads a response and returns the rate limit that holds then."""
        known = self.notices.find("upstream-1", 1_000)
        response = AnnouncingResponse(limit, leaves, can_end_limit, head_at)
        notice = self.reader.read(known, response, now_ms=5_000)
        if notice is not None:
            self.notices.merge(notice)
        known = self.notices.find("upstream-1", 1_000)
        return 0.0 if known is None else known.rate_limit

    def test_a_limit_holds_until_responses_no_longer_name_it(self) -> None:
        self.assertEqual(self.read(8.1, 1.0), 8.1)
        self.assertEqual(self.read(None, 2.0), 8.1)
        self.assertEqual(self.read(6.0, 3.0), 6.0)
        self.assertEqual(self.read(None, 4.0), 6.0)
        self.assertEqual(self.read(None, 5.0), 0.0)

    def test_responses_of_requests_that_did_not_run_do_not_end_a_limit(self) -> None:
        self.assertEqual(self.read(8.1, 1.0), 8.1)
        for head_at in (2.0, 3.0, 4.0):
            self.assertEqual(self.read(None, head_at, can_end_limit=False), 8.1)

    def test_a_response_that_began_before_another_one_changes_nothing(self) -> None:
        self.assertEqual(self.read(8.1, 2.0), 8.1)
        self.assertEqual(self.read(20.0, 1.0), 8.1)
        self.assertEqual(self.read(None, 1.0), 8.1)
        self.assertEqual(self.read(None, 1.1), 8.1)

    def test_dates_increase_though_the_clock_stands_still(self) -> None:
        dates = []
        for head_at, limit in enumerate((8.0, 7.0, 6.0)):
            self.read(limit, float(head_at))
            notice = self.notices.find("upstream-1", 1_000)
            assert notice is not None
            dates.append(notice.dated_ms)
        self.assertEqual(dates, [5_000, 5_001, 5_002])

    def test_a_response_that_says_nothing_new_makes_no_notice(self) -> None:
        self.read(8.0, 1.0, leaves=True)
        known = self.notices.find("upstream-1", 1_000)
        for leaves in (True, False):
            response = AnnouncingResponse(8.0, leaves, True, 2.0)
            self.assertIsNone(self.reader.read(known, response, now_ms=9_000))
