"""A reader knows which records of a topic it has skipped."""

from __future__ import annotations

import unittest

from fulmarstile_services.topic_progress import MAX_READ_BACK_RECORDS, TopicProgress


class TopicProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.progress = TopicProgress()

    def test_all_that_a_single_record_follows_is_unread_at_a_start(self) -> None:
        self.progress.on_newest({4}, 5)
        self.assertEqual(self.progress.unread, range(4))
        self.assertEqual(self.progress.next_offset, 5)

    def test_nothing_is_unread_if_the_newest_records_are_all_there_are(self) -> None:
        for offsets, end in (({0}, 1), ({0, 1}, 2), (set(), 0)):
            with self.subTest(end):
                progress = TopicProgress()
                progress.on_newest(offsets, end)
                self.assertFalse(progress.unread)

    def test_records_between_the_last_one_and_the_end_are_unread(self) -> None:
        self.progress.on_newest({3}, 6)
        self.assertEqual(self.progress.unread, range(6))

    def test_records_that_were_read_before_are_not_unread(self) -> None:
        self.progress.on_newest({0}, 1)
        self.progress.on_read(4)
        self.progress.on_newest({9}, 10)
        self.assertEqual(self.progress.unread, range(4, 9))

    def test_a_second_jump_keeps_what_is_unread(self) -> None:
        self.progress.on_newest({4}, 5)
        self.progress.on_read_back(2)
        self.progress.on_newest({9}, 10)
        self.assertEqual(self.progress.unread, range(2, 9))

    def test_few_records_are_read_back_of_a_long_topic(self) -> None:
        self.progress.on_newest({999}, 1000)
        self.assertEqual(self.progress.unread, range(1000 - MAX_READ_BACK_RECORDS, 999))

    def test_fewer_records_are_read_back_if_they_are_large(self) -> None:
        for record_bytes, count in ((20_000, 16), (100_000, 10), (200_000, 5), (1_000_000, 4)):
            with self.subTest(record_bytes):
                progress = TopicProgress()
                progress.on_newest({999}, 1000, record_bytes)
                self.assertEqual(progress.unread, range(1000 - count, 999))

    def test_records_are_known_once_they_are_read_back_or_another_reader_knows_them(self) -> None:
        self.progress.on_newest({4}, 5)
        self.progress.on_read_back(3)
        self.assertEqual(self.progress.unread, range(3, 4))
        self.progress.on_told(7)
        self.assertFalse(self.progress.unread)
        self.assertEqual(self.progress.next_offset, 7)

    def test_records_that_expired_before_they_were_read_need_the_copy(self) -> None:
        for first_offset, unread in ((2, range(2, 4)), (None, range(1, 4)), (9, range(0))):
            with self.subTest(first_offset):
                progress = TopicProgress()
                progress.on_newest({4}, 5)
                progress.on_expired(0, first_offset)
                self.assertEqual(progress.unread, unread)
                progress.on_read_back(4)
                self.assertFalse(progress.is_complete)
                progress.on_copy()
                self.assertTrue(progress.is_complete)

    def test_a_reader_that_is_told_of_expired_records_does_not_need_the_copy(self) -> None:
        self.progress.on_newest({999}, 1000)
        self.progress.on_told(1000)
        self.assertTrue(self.progress.is_complete)

    def test_unread_records_are_read_back_from_the_last_ones_on(self) -> None:
        self.progress.on_newest({9}, 10)
        self.assertEqual(self.progress.choose_read_back(2), 7)
        self.progress.on_read_back(9, 7)
        self.assertEqual(self.progress.choose_read_back(2), 5)
        self.assertEqual(self.progress.unread, range(7))

    def test_what_a_short_read_back_leaves_is_read_before_what_is_older(self) -> None:
        self.progress.on_newest({9}, 10)
        self.progress.on_read_back(7, 4)
        self.assertEqual(self.progress.choose_read_back(4), 7)
        self.assertEqual(self.progress.unread, range(9))
        self.progress.on_read_back(9, 7)
        self.assertEqual(self.progress.choose_read_back(4), 0)

    def test_records_that_were_read_back_are_not_read_again_after_a_second_jump(self) -> None:
        self.progress.on_newest({4}, 5)
        self.progress.on_read_back(4, 2)
        self.progress.on_newest({7}, 8)
        self.assertEqual(self.progress.choose_read_back(8), 5)
        self.progress.on_read_back(7, 5)
        self.assertEqual(self.progress.unread, range(2))

    def test_skipped_records_that_are_too_many_to_be_read_back_need_the_copy(self) -> None:
        self.progress.on_newest({99}, 100)
        self.progress.on_told(100)
        self.progress.on_newest({121}, 122)
        self.progress.on_read_back(121)
        self.assertFalse(self.progress.is_complete)

    def test_unread_records_that_another_jump_leaves_behind_need_the_copy(self) -> None:
        self.progress.on_newest({9}, 10)
        self.progress.on_read_back(3)
        self.progress.on_newest({39}, 40)
        self.progress.on_read_back(39)
        self.assertFalse(self.progress.is_complete)

    def test_an_offset_told_before_the_first_read_does_not_replace_it(self) -> None:
        self.progress.on_told(7)
        self.assertIsNone(self.progress.next_offset)


if __name__ == "__main__":
    unittest.main()
