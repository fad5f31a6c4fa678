"""Tests of the feed of targets: outages, lost history, a suspended VM."""

import asyncio
import unittest
from types import SimpleNamespace

from balsamdeal.core.proxy import Proxy
from balsamdeal.core.revisions import Revision
from balsamdeal.errors import HistoryLostError, SourceError
from balsamdeal.metrics import Metrics
from balsamdeal.net.feed import SHORT_OUTAGE_S, Outage, TargetFeed, TargetUpdate
from tests.core.test_targets import make_target


class FakeReader:
    """A source whose list the test sets; watches wait until ``wake``."""

    def __init__(self):
        self.names = ["a", "b"]
        self.error = None
        self.woken = asyncio.Event()
        self.lists = 0
        self.waiting = 0

    def wake(self):
        """End all watches that wait."""
        self.woken.set()
        self.woken = asyncio.Event()

    def drop_connections(self):
        """Do nothing: there are no connections."""

    async def wait(self):
        self.waiting += 1
        try:
            await self.woken.wait()
        finally:
            self.waiting -= 1
        self.check()

    def check(self):
        if self.error is not None:
            raise self.error

    async def read_targets(self):
        self.check()
        self.lists += 1
        entries = [(name, make_target(name, 1)) for name in self.names]
        return TargetUpdate(entries, [], Revision(0, 10))

    async def watch_targets(self, after, wait_s):
        await self.wait()
        return TargetUpdate(None, [], after)


class FeedTest(unittest.IsolatedAsyncioTestCase):
    """A feed for a request path without sockets."""

    async def asyncSetUp(self):
        self.reader = FakeReader()
        self.proxy = Proxy("node-a", "erie", 1)
        shell = SimpleNamespace(
            proxy=self.proxy,
            loop=asyncio.get_running_loop(),
            metrics=Metrics({}),
        )
        self.feed = TargetFeed(shell, self.reader, 1)
        self.feed.start()
        self.addCleanup(self.feed.stop)
        await self.wait_for(lambda: self.names() == ["a", "b"])

    async def wait_for(self, check, bound_s=5.0):
        end_s = asyncio.get_running_loop().time() + bound_s
        while not check():
            self.assertLess(asyncio.get_running_loop().time(), end_s)
            await asyncio.sleep(0.01)

    async def fail_watch(self, error):
        await self.wait_for(lambda: self.reader.waiting == 1)
        self.reader.error = error
        self.reader.wake()

    def names(self):
        return sorted(self.proxy.targets.targets)

    async def test_short_outage_drops_missing_targets_at_once(self):
        self.reader.names = ["a"]
        await self.fail_watch(SourceError("reset", "read", "store"))
        await asyncio.sleep(0)
        self.reader.error = None
        await self.wait_for(lambda: self.names() == ["a"], 1.0)

    async def test_long_outage_keeps_missing_targets_for_a_while(self):
        await self.fail_watch(SourceError("away", "refused", "store"))
        await asyncio.sleep(SHORT_OUTAGE_S + 0.2)
        self.reader.names = ["a"]
        lists = self.reader.lists
        self.reader.error = None
        await self.wait_for(lambda: self.reader.lists > lists)
        self.assertEqual(self.names(), ["a", "b"])
        await self.wait_for(lambda: self.names() == ["a"], 4.0)

    async def test_lost_history_leads_to_a_full_read(self):
        self.reader.names = ["b"]
        await self.fail_watch(HistoryLostError("gone", "kv-watch", "store"))
        await asyncio.sleep(0)
        self.reader.error = None
        await self.wait_for(lambda: self.names() == ["b"], 1.0)

    async def test_restart_reads_all_targets_while_a_watch_waits(self):
        self.reader.names = ["b"]
        self.feed.restart()
        await self.wait_for(lambda: self.names() == ["b"])

    async def test_unexpected_error_does_not_end_the_feed(self):
        with self.assertLogs("balsamdeal.net.feed", "ERROR"):
            await self.fail_watch(TypeError("not a list"))
            await asyncio.sleep(0.05)
        self.reader.error = None
        self.reader.names = ["b"]
        await self.wait_for(lambda: self.names() == ["b"])


class OutageTest(unittest.TestCase):
    """The length of an outage decides whether entries may have expired in it."""

    def test_promptly_detected_outage_is_short_at_first(self):
        self.assertFalse(Outage(0.0, "refused").is_long(0.5))
        self.assertTrue(Outage(0.0, "refused").is_long(SHORT_OUTAGE_S + 0.1))

    def test_timeout_counts_as_a_long_outage(self):
        self.assertTrue(Outage(0.0, "timeout").is_long(0.1))
