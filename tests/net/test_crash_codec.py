"""Tests of what nodes tell each other of crashes: round trips and malformed input."""

import json
import unittest

from balsamdeal.core.crash_news import AnswerCrashNews, CrashNewsReceived, SendCrashNews
from balsamdeal.core.crashes import CrashReport, LostRun
from balsamdeal.net.crash_codec import (
    decode_news,
    decode_reports,
    encode_news,
    encode_reports,
)

REPORTS = (
    CrashReport("i-1-4e20", 20.0, (LostRun("d1", 0.125), LostRun("d2", 0.0)), "d1"),
    CrashReport("i-2-1388", 5.0, ()),
)
# Another node's clock.
OTHER_S = 1000.0


class CrashCodecTest(unittest.TestCase):
    """Messages that are sent at 21 s of the sender's clock."""

    def shift(self, report):
        at_s = report.at_s - 21.0 + OTHER_S
        return CrashReport(report.crash_id, at_s, report.runs, report.only_suspect)

    def test_header_round_trip(self):
        text = encode_reports(REPORTS, 21.0)
        self.assertNotIn("\n", text)
        expected = tuple(map(self.shift, REPORTS))
        self.assertEqual(decode_reports(text, OTHER_S), expected)

    def test_news_round_trip(self):
        cleared = (("d3", 20.5),)
        for news, message_id, exchange in (
            (SendCrashNews("a", REPORTS, cleared, True), 7, True),
            (SendCrashNews("a", REPORTS, cleared), 7, False),
            (AnswerCrashNews(3, REPORTS, cleared), None, False),
        ):
            expected = CrashNewsReceived(
                tuple(map(self.shift, REPORTS)),
                (("d3", 999.5),),
                message_id,
                exchange,
                OTHER_S,
            )
            decoded = decode_news(encode_news(news, 21.0), message_id, OTHER_S)
            self.assertEqual(decoded, expected)

    def test_fields_of_a_later_release_are_ignored(self):
        report = ["c", 1, "", [["d", 2, "more"]], "more"]
        body = json.dumps({"reports": [report], "cleared": [], "more": 1}).encode()
        (decoded,) = decode_news(body, 1, 1.0).reports
        self.assertEqual(decoded.runs, (LostRun("d", 0.002),))

    # Guards against one malformed message that ends a process.
    def test_malformed_messages_are_value_errors(self):
        for body in (
            b"",
            b"\xff",
            b"[]",
            b"1",
            b"{}",
            b'{"reports": 1, "cleared": []}',
            b'{"reports": [[]], "cleared": []}',
            b'{"reports": [["c", "x", "", []]], "cleared": []}',
            b'{"reports": [["c", NaN, "", []]], "cleared": []}',
            b'{"reports": [["c", 1e300, "", []]], "cleared": []}',
            b'{"reports": [], "cleared": [["d"]]}',
            b"[" * 100_000,
        ):
            with self.subTest(body[:40]), self.assertRaises(ValueError):
                decode_news(body, 1, 0.0)

    def test_malformed_header_names_no_reports(self):
        for text in (None, "", "x", "1", "[1]", "[[]]", '[["c", null, "", []]]'):
            with self.subTest(text):
                self.assertEqual(decode_reports(text, 0.0), ())
