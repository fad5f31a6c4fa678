"""Tests of what targets say of themselves in answers."""

import unittest

from balsamdeal.core.request_events import NO_NOTICE, TargetNotice
from balsamdeal.net.answer_checks import read_notice
from tests.net.test_proxying import NAMES


class NoticeTest(unittest.TestCase):
    """Headers may be in any case; a limit that is no rate is no limit."""

    def read(self, *pairs):
        return read_notice(pairs, NAMES)

    def test_answer_without_the_headers_has_no_notice(self):
        self.assertIs(self.read(("Seal", "s")), NO_NOTICE)

    def test_limit_and_leaving_are_read(self):
        self.assertEqual(
            self.read(("limit", " 23.9"), ("LEAVING", "1")),
            TargetNotice(True, 23.9, True),
        )
        self.assertEqual(self.read(("Limit", "0")), TargetNotice(True, 0.0, False))

    def test_leaving_needs_its_value(self):
        self.assertFalse(self.read(("Leaving", "0")).leaving)

    def test_limit_that_is_no_rate_has_no_value(self):
        for text in ("", "many", "-3", "nan", "inf", "1e999", "4, 5"):
            with self.subTest(text):
                self.assertEqual(self.read(("Limit", text)), TargetNotice(True, None))
