"""Tests of the store's client against the stand-in."""

import asyncio
import unittest
from types import SimpleNamespace

from balsamdeal.core.following import WATCH_WAIT_S
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
            source_address=self.store.address,
            node_address="127.0.0.1:8145",
            link_mbps=None,
        )
        self.metrics = Metrics({})
        shell = SimpleNamespace(settings=settings, metrics=self.metrics)
        self.reader = StoreReader(shell)
        self.addCleanup(self.reader._pool.close)

    def put_servers(self, count):
        for number in range(count):
            self.store.put(f"servers/i-{number}", make_entry(f"10.0.0.{number}:80"))

    def put_configuration(self, version):
        rule = make_rule("/a/", service="desk")
        self.store.put("op/config", make_configuration(version, rule))

    async def read_configuration(self, after, wait_s=0.05):
        """Return the version that a read tells, and that of the content if any."""
        version, configuration = await self.reader.read_configuration(after, wait_s)
        return version, configuration and configuration.version

    async def test_configuration(self):
        self.put_configuration(3)
        self.assertEqual(await self.read_configuration(0, 0.0), (3, 3))
        self.put_configuration(5)
        self.assertEqual(await self.read_configuration(3), (5, 5))
        self.assertEqual(await self.read_configuration(5), (5, None))

    async def test_no_configuration_yet(self):
        self.assertEqual(await self.read_configuration(0, 0.0), (0, None))

    async def test_watch_of_the_configuration_waits_for_news(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        waiting = asyncio.ensure_future(self.read_configuration(3, 5.0))
        await asyncio.sleep(0.05)
        self.put_configuration(4)
        self.assertEqual(await waiting, (4, 4))

    # Guards against reading each version of a storm, which made the newest late.
    async def test_versions_that_newer_ones_replaced_are_not_read(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        self.put_configuration(4)
        await self.read_configuration(3)
        for version in range(5, 20):
            self.put_configuration(version)
        decoded = self.metrics.counters["control_bytes"]
        self.assertEqual(await self.read_configuration(4), (19, 19))
        one = len(self.store.items["op/config"]["value"])
        self.assertLess(self.metrics.counters["control_bytes"] - decoded, 2 * one)

    # Guards against a watch that repeats what other nodes have brought meanwhile.
    async def test_versions_from_other_nodes_are_not_read_again(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        for version in range(4, 12):
            self.put_configuration(version)
        decoded = self.metrics.counters["control_bytes"]
        self.assertEqual(await self.read_configuration(11), (11, None))
        one = len(self.store.items["op/config"]["value"])
        self.assertLess(self.metrics.counters["control_bytes"] - decoded, 2 * one)

    async def test_bad_configuration_is_not_taken_and_the_next_is(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        self.store.put("op/config", b"{")
        self.assertEqual(await self.read_configuration(3), (3, None))
        self.put_configuration(4)
        self.assertEqual(await self.read_configuration(3), (4, 4))

    async def test_lost_history_is_no_failure_for_the_configuration(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        self.put_configuration(4)
        self.store.lose_history()
        self.assertEqual(await self.read_configuration(3), (4, 4))

    # Guards against a list of targets that waits behind versions of the configuration.
    async def test_watch_of_targets_carries_no_configuration(self):
        self.put_servers(1)
        revision = (await self.reader.read_targets()).revision
        self.put_configuration(3)
        before = self.metrics.counters["control_bytes"]
        await self.reader.watch_targets(revision, 0.05)
        one = len(self.store.items["op/config"]["value"])
        self.assertLess(self.metrics.counters["control_bytes"] - before, one)

    async def test_pages_of_servers(self):
        self.put_servers(8)
        news = await self.reader.read_targets()
        self.assertEqual(len(news.entries), 8)
        self.assertEqual(news.revision, self.store.revision)

    async def test_watch_tells_changes_and_removals(self):
        self.put_servers(2)
        revision = (await self.reader.read_targets()).revision
        self.store.delete("servers/i-0")
        self.store.put("servers/i-1", make_entry("10.0.0.1:80", state="draining"))
        changes = (await self.reader.watch_targets(revision, 1.0)).changes
        self.assertIsNone(changes[0][1])
        self.assertTrue(changes[1][1].leaving)

    async def test_forged_entry_hides_no_other(self):
        self.put_servers(1)
        self.store.put("servers/forged", b"\xff\x00")
        found = dict((await self.reader.read_targets()).entries)
        self.assertIsNone(found["servers/forged"])
        self.assertIsNotNone(found["servers/i-0"])
        self.assertEqual(self.metrics.counters["bad_entries"], 1)

    async def test_lost_history(self):
        self.put_servers(1)
        revision = (await self.reader.read_targets()).revision
        self.store.put("servers/i-2", make_entry("10.0.0.2:80"))
        self.store.lose_history()
        with self.assertRaises(HistoryLostError):
            await self.reader.watch_targets(revision, 1.0)

    async def test_refusals_and_resets_are_errors_of_the_source(self):
        for fault in (429, 503, "reset"):
            self.store.fault = fault
            with self.subTest(fault), self.assertRaises(SourceError):
                await self.reader.read_targets()

    async def test_lost_answer_of_the_configuration_s_watch_is_noticed_soon(self):
        self.put_configuration(3)
        await self.read_configuration(0, 0.0)
        self.store.fault = "silent"
        began_s = asyncio.get_running_loop().time()
        with self.assertRaises(SourceError):
            await self.reader.read_configuration(3, WATCH_WAIT_S)
        # A version must be in force within two seconds of its write.
        self.assertLess(asyncio.get_running_loop().time() - began_s, 2.0)

    async def test_lost_answer_of_a_watch_is_noticed_soon(self):
        revision = (await self.reader.read_targets()).revision
        self.store.fault = "silent"
        began_s = asyncio.get_running_loop().time()
        with self.assertRaises(SourceError):
            await self.reader.watch_targets(revision, WATCH_S)
        # A node counts as calm three seconds after the last disturbance.
        self.assertLess(asyncio.get_running_loop().time() - began_s, 3.0)
