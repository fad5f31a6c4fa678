"""Tests of the store's client against the stand-in."""

import asyncio
import unittest
from types import SimpleNamespace

from balsamdeal.errors import HistoryLostError, SourceError
from balsamdeal.metrics import Metrics
from balsamdeal.net.feed import WATCH_S
from balsamdeal.platform.store import StoreReader
from standins.store import Store
from tests.platform.test_messages import make_configuration, make_entry, make_rule


class StoreReaderTest(unittest.IsolatedAsyncioTestCase):
    """Reads, pages, watches, and what is no answer."""

    async def asyncSetUp(self):
        self.store = Store()
        self.store.listen()
        self.addCleanup(self.store.stop)
        settings = SimpleNamespace(
            source_address=self.store.address, node_address="127.0.0.1:8145"
        )
        self.metrics = Metrics({})
        shell = SimpleNamespace(settings=settings, metrics=self.metrics)
        self.reader = StoreReader(shell)
        self.addCleanup(self.reader._pool.close)

    def put_servers(self, count):
        for number in range(count):
            self.store.put(f"servers/i-{number}", make_entry(f"10.0.0.{number}:80"))

    async def test_configuration(self):
        rule = make_rule("/a/", service="desk")
        self.store.put("op/config", make_configuration(3, rule))
        news = await self.reader.read_all()
        self.assertEqual(news.configuration.version, 3)
        self.store.put("op/config", make_configuration(5, rule))
        news = await self.reader.watch(news.revision, 1.0)
        self.assertEqual(news.configuration.version, 5)

    async def test_no_configuration_yet(self):
        self.assertIsNone((await self.reader.read_all()).configuration)

    async def test_pages_of_servers(self):
        self.put_servers(8)
        news = await self.reader.read_all()
        self.assertEqual(len(news.entries), 8)
        self.assertEqual(news.revision, self.store.revision)

    async def test_watch_tells_changes_and_removals(self):
        self.put_servers(2)
        revision = (await self.reader.read_all()).revision
        self.store.delete("servers/i-0")
        self.store.put("servers/i-1", make_entry("10.0.0.1:80", state="draining"))
        changes = (await self.reader.watch(revision, 1.0)).changes
        self.assertIsNone(changes[0][1])
        self.assertTrue(changes[1][1].leaving)

    async def test_forged_entry_hides_no_other(self):
        self.put_servers(1)
        self.store.put("servers/forged", b"\xff\x00")
        found = dict((await self.reader.read_all()).entries)
        self.assertIsNone(found["servers/forged"])
        self.assertIsNotNone(found["servers/i-0"])
        self.assertEqual(self.metrics.counters["bad_entries"], 1)

    async def test_lost_history(self):
        self.put_servers(1)
        revision = (await self.reader.read_all()).revision
        self.store.put("servers/i-2", make_entry("10.0.0.2:80"))
        self.store.lose_history()
        with self.assertRaises(HistoryLostError):
            await self.reader.watch(revision, 1.0)

    async def test_refusals_and_resets_are_errors_of_the_source(self):
        for fault in (429, 503, "reset"):
            self.store.fault = fault
            with self.subTest(fault), self.assertRaises(SourceError):
                await self.reader.read_all()

    async def test_lost_answer_of_a_watch_is_noticed_soon(self):
        revision = (await self.reader.read_all()).revision
        self.store.fault = "silent"
        began_s = asyncio.get_running_loop().time()
        with self.assertRaises(SourceError):
            await self.reader.watch(revision, WATCH_S)
        # A node counts as calm three seconds after the last disturbance.
        self.assertLess(asyncio.get_running_loop().time() - began_s, 3.0)
