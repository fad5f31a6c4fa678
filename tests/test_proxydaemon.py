"""Tests of the end of a node: when callers have left, and what is still in flight."""

import asyncio
import unittest
from types import SimpleNamespace

from balsamdeal.core import traffic
from balsamdeal.net.proxying import ProxyShell
from balsamdeal.proxydaemon import KILL_MARGIN_S, LINGER_S, REFUSE_S, drain
from tests.net.test_proxying import NAMES, make_settings

STOP_BOUND_S = 6.0
ROUND_S = 1.0


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A shell on a clock that the drain itself advances."""

    async def asyncSetUp(self):
        self.shell = ProxyShell(make_settings(stop_bound_s=STOP_BOUND_S), NAMES)
        self.addCleanup(self.shell.stop)
        self.now_s = 0.0
        self.shell.loop = SimpleNamespace(time=lambda: self.now_s)
        self.actions = []

    async def sleep(self, delay_s):
        """Advance the clock; run what is due."""
        self.now_s += delay_s
        for action in [item for item in self.actions if item[0] <= self.now_s]:
            self.actions.remove(action)
            action[1]()
        await asyncio.sleep(0)

    def ask_readiness(self, first_s):
        """Have the platform ask once a second."""
        for number in range(8):
            at_s = first_s + number * ROUND_S
            self.actions.append((at_s, self.shell.control.note_miss))

    async def test_node_leaves_after_callers_have_heard_of_its_end(self):
        self.ask_readiness(0.3)
        await drain(self.shell, self.sleep)
        self.assertGreater(self.now_s, 1.3 + REFUSE_S)
        self.assertLess(self.now_s, LINGER_S)

    async def test_many_questions_at_once_are_one(self):
        for number in range(8):
            self.actions.append((0.1 + number * 0.01, self.shell.control.note_miss))
        await drain(self.shell, self.sleep)
        self.assertGreaterEqual(self.now_s, LINGER_S)

    async def test_node_that_nobody_asks_lingers(self):
        await drain(self.shell, self.sleep)
        self.assertGreaterEqual(self.now_s, LINGER_S)

    async def test_node_waits_for_what_is_in_flight_but_not_for_ever(self):
        self.ask_readiness(0.3)
        self.shell.proxy.is_idle = lambda: False
        await drain(self.shell, self.sleep)
        bound_s = STOP_BOUND_S - KILL_MARGIN_S
        self.assertAlmostEqual(self.now_s, bound_s, delta=0.1)
        self.assertTrue(self.shell.proxy.calls.refusing)

    async def test_drain_tells_the_reducer_at_once(self):
        self.ask_readiness(0.3)
        await drain(self.shell, self.sleep)
        self.assertIsInstance(self.shell.proxy.serving.stop, traffic.StopRequested)
        self.assertTrue(self.shell.stopping)
