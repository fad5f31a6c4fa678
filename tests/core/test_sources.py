"""Tests of reads of the source that overlap while its answers are late."""

import unittest
from random import Random

from balsamdeal.core import events
from balsamdeal.core.sources import OVERLAP_MARGIN_S, Sources
from balsamdeal.documents import CONFIG, build_document

WAIT_S = 0.5
# A read counts as late after this time.
LATE_S = WAIT_S + OVERLAP_MARGIN_S + 0.01
MAX_READS = 3


class OverlapTest(unittest.TestCase):
    """A node that watches a source, with version 5 in force."""

    def setUp(self):
        self.sources = Sources(Random(1), 0, WAIT_S, max_open_reads=MAX_READS)
        self.held = build_document(5, {"h/": "[]"}).version
        self.now_s = 0.0

    def begin(self, step_s=0.0, may_overlap=True):
        """Return the read that begins after a time, or None."""
        self.now_s += step_s
        return self.sources.begin_read(CONFIG, self.held, True, self.now_s, may_overlap)

    def answer(self, read, revision=5, document=None):
        event = events.SourceAnswered(
            CONFIG, revision, document, self.now_s, read.read_id
        )
        return self.sources.handle_answer(event, self.held)

    def fail(self, read):
        event = events.SourceFailed(
            CONFIG, "timeout", "no answer", self.now_s, read.read_id
        )
        return self.sources.handle_failure(event, False)

    def get_state(self):
        return self.sources.states[CONFIG].state

    def test_next_read_begins_only_once_the_last_one_is_late(self):
        self.assertIsNotNone(self.begin())
        self.assertIsNone(self.begin(WAIT_S))
        self.assertIsNotNone(self.begin(LATE_S - WAIT_S))
        self.assertIsNone(self.begin(WAIT_S))

    def test_reads_overlap_only_where_allowed_and_a_few_at_a_time(self):
        self.begin()
        self.assertIsNone(self.begin(LATE_S, may_overlap=False))
        ids = {self.begin(LATE_S).read_id for _ in range(MAX_READS - 1)}
        self.assertEqual(len(ids), MAX_READS - 1)
        self.assertIsNone(self.begin(LATE_S))

    # Guards against a sound source that counts as stale, and the pause for it, when its
    # answers cross.
    def test_answer_that_was_overtaken_is_not_stale(self):
        first = self.begin()
        second = self.begin(LATE_S)
        self.answer(second, 6, build_document(6, {"h/": "[]"}))
        self.answer(first, 5)
        self.assertEqual(self.get_state(), "current")

    def test_lost_answer_is_no_failure_if_a_later_read_is_answered(self):
        first = self.begin()
        second = self.begin(LATE_S)
        self.answer(second)
        self.fail(first)
        self.assertFalse(self.sources.is_failing(CONFIG))

    def test_source_that_answers_no_read_is_failing(self):
        first = self.begin()
        self.begin(LATE_S)
        self.fail(first)
        self.assertTrue(self.sources.is_failing(CONFIG))

    def test_slow_source_is_overdue_once_and_not_while_it_answers(self):
        document = build_document(5, {"h/": "[]"})
        event = events.SourceAnswered(CONFIG, 5, document, 0.0, 0, 0.0)
        self.begin()
        self.sources.handle_answer(event, self.held)
        reads = [self.begin(0.01)]
        for _ in range(MAX_READS - 1):
            reads.append(self.begin(LATE_S))
        self.assertTrue(self.sources.is_overdue(CONFIG, 0.7, self.now_s))
        for read in reads:
            self.now_s += LATE_S
            self.answer(read)
            self.assertFalse(self.sources.is_overdue(CONFIG, 0.7, self.now_s + 0.7))

    def test_source_that_falls_back_is_stale(self):
        read = self.begin()
        self.answer(read, 4)
        self.assertEqual(self.get_state(), "stale")


if __name__ == "__main__":
    unittest.main()
