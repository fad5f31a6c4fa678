"""Tests of the I/O of the replication of the configuration: unexpected errors."""

import asyncio
import unittest

from balsamdeal.net.following import ConfigurationUpdate
from balsamdeal.net.proxying import ProxyShell
from tests.core.test_routes import make_configuration, make_route
from tests.net.test_proxying import NAMES, make_settings


class ConfigReplicatorTest(unittest.IsolatedAsyncioTestCase):
    """A node that reads from a source whose answers the test sets."""

    async def asyncSetUp(self):
        self.shell = ProxyShell(make_settings(), NAMES)
        self.addCleanup(self.shell.stop)
        self.answers = []

    async def read(self, after, wait_s):
        if not self.answers:
            await asyncio.sleep(wait_s or 0.01)
            return ConfigurationUpdate(after, None, None)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return ConfigurationUpdate(answer.version, answer, None)

    async def wait_for_version(self, version):
        end_s = asyncio.get_running_loop().time() + 5.0
        while True:
            held = self.shell.proxy.calls.configuration
            if held is not None and held.version == version:
                return
            self.assertLess(asyncio.get_running_loop().time(), end_s)
            await asyncio.sleep(0.02)

    # After an unexpected error the node must still read the source.
    async def test_unexpected_read_error_does_not_end_replication(self):
        first = make_configuration(3, make_route("r", "/"))
        second = make_configuration(4, make_route("r", "/"))
        self.answers = [first, TypeError("not a list"), second]
        with self.assertLogs("balsamdeal.net.following", "ERROR"):
            self.shell.replicator.start(self.read)
            await self.wait_for_version(4)
        self.assertEqual(self.shell.metrics.counters["source_failures"], 1)
        self.assertTrue(self.shell.proxy.calls.configuration is not None)
