"""Tests of what targets have said of themselves in answers."""

import unittest

from balsamdeal.core.notices import UNLISTED_TTL_S, NoticeTable
from balsamdeal.core.request_events import NO_NOTICE, LimitReport, TargetNotice

FIRST = ("a", 1)
RESTARTED = ("a", 2)


class NoticeTableTest(unittest.TestCase):
    """Notices of a target and of its next start under the same name."""

    def setUp(self):
        self.notices = NoticeTable()

    # Guards against a leaving target that is used again after an answer without the
    # notice, such as one that was under way.
    def test_leaving_target_does_not_come_back(self):
        self.assertTrue(self.notices.record(FIRST, TargetNotice(leaving=True), 1.0))
        self.assertFalse(self.notices.record(FIRST, NO_NOTICE, 2.0))
        self.assertTrue(self.notices.get(FIRST).leaving)
        self.assertFalse(self.notices.get(RESTARTED).leaving)

    def test_limit_follows_the_last_answer(self):
        for per_s in (4.0, 9.0, None):
            has_limit = per_s is not None
            self.notices.record(FIRST, TargetNotice(has_limit, per_s), 1.0)
            self.assertEqual(self.notices.get(FIRST).requests_per_s, per_s)

    def test_limit_that_is_no_number_keeps_the_known_one(self):
        self.notices.record(FIRST, TargetNotice(True, 4.0), 1.0)
        self.notices.record(FIRST, TargetNotice(True, None), 2.0)
        self.assertEqual(self.notices.get(FIRST).requests_per_s, 4.0)

    def test_report_tells_how_long_the_target_has_named_a_limit(self):
        self.assertIsNone(self.notices.report_limit(FIRST, 0.0))
        self.notices.record(FIRST, TargetNotice(True, 4.0), 1.0)
        self.notices.record(FIRST, TargetNotice(True, 5.0), 3.0)
        self.assertEqual(self.notices.report_limit(FIRST, 4.5), LimitReport(5.0, 3.5))

    # Guards against notices that are lost while an entry is missing for a while.
    def test_notice_outlasts_an_entry_that_comes_back(self):
        self.notices.record(FIRST, TargetNotice(leaving=True), 1.0)
        self.notices.drop_unlisted(set(), 5.0)
        self.assertTrue(self.notices.get(FIRST).leaving)
        self.notices.drop_unlisted({FIRST}, 1000.0)
        self.assertTrue(self.notices.get(FIRST).leaving)
        self.notices.drop_unlisted(set(), 1001.0 + UNLISTED_TTL_S)
        self.assertIs(self.notices.get(FIRST), NO_NOTICE)
