"""Tests of draining a node of the product's own interface."""

import asyncio
import unittest
from types import SimpleNamespace

from balsamdeal.daemon import drain


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A node without work, and a server whose receivers take bytes slowly."""

    async def asyncSetUp(self):
        self.shell = SimpleNamespace(
            loop=asyncio.get_running_loop(),
            handle=lambda event: None,
            node=SimpleNamespace(is_idle=lambda: True),
        )

    # Guards against answers that are cut off by the end of the process, as their
    # receivers have not taken all bytes yet (the cause of review/5).
    async def test_drain_waits_for_bytes_that_are_not_written(self):
        polls = []

        def is_writing():
            polls.append(None)
            return len(polls) < 5

        await drain(self.shell, [SimpleNamespace(is_writing=is_writing)], 30.0)
        self.assertEqual(len(polls), 5)

    async def test_drain_ends_beside_a_receiver_that_takes_nothing(self):
        servers = [SimpleNamespace(is_writing=lambda: True)]
        await asyncio.wait_for(drain(self.shell, servers, 0.2), 30.0)
