"""Tests of logs: bounded volume, non-blocking writes."""

import json
import logging
import os
import unittest

from balsamdeal.core.request_events import LogDecision
from balsamdeal.log import DecisionLog, NonBlockingHandler, make_formatter


class Collector(logging.Handler):
    """Stores log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Store a record."""
        self.records.append(record)


class DecisionLogTest(unittest.TestCase):
    """A log with a rate of ten lines per second and a burst of twenty."""

    def setUp(self):
        logger = logging.Logger("test")
        self.collector = Collector()
        logger.addHandler(self.collector)
        self.log = DecisionLog(logger, per_s=10.0, burst=20.0)

    def write(self, count, now_s, routine=False):
        for number in range(count):
            decision = LogDecision("call failed", {"request": f"r{number}"}, routine)
            self.log.write(decision, now_s)

    def test_rate_is_limited_and_omitted_lines_are_counted(self):
        self.write(100, 0.0)
        self.assertEqual(len(self.collector.records), 20)
        self.write(1, 1.0)
        self.assertEqual(self.collector.records[-1].omitted, 80)

    def test_routine_lines_leave_room_for_failures(self):
        self.write(100, 0.0, routine=True)
        routine = len(self.collector.records)
        self.write(100, 0.0)
        self.assertGreaterEqual(len(self.collector.records) - routine, 9)


class NonBlockingHandlerTest(unittest.TestCase):
    """A handler on a pipe that is read only on demand."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = NonBlockingHandler(self.writer)
        self.handler.setFormatter(make_formatter("vm-1"))

    def emit(self, text):
        record = logging.LogRecord("n", logging.INFO, "", 0, text, None, None)
        self.handler.emit(record)

    def read_lines(self):
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_full_pipe_drops_and_counts(self):
        for _ in range(200):
            self.emit("x" * 1000)
        self.assertGreater(self.handler.dropped, 0)
        # A partially written line is completed by the next write.
        text = os.read(self.reader, 1 << 20).decode()
        self.emit("after")
        text += os.read(self.reader, 1 << 20).decode()
        lines = [json.loads(line) for line in text.splitlines()]
        self.assertEqual(lines[-1]["message"], "after")
        self.assertEqual(lines[-1]["lines_dropped"], self.handler.dropped)

    def test_line_has_the_vm(self):
        self.emit("hello")
        self.assertEqual(json.loads(self.read_lines()[0])["vm"], "vm-1")
