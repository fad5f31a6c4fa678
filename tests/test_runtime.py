"""Tests of the event loop that skips polls for I/O."""

import asyncio
import selectors
import socket
import unittest

from balsamdeal.runtime import MAX_SKIPPED_POLLS, PollSkippingSelector, make_loop


class PollSkippingSelectorTest(unittest.TestCase):
    """Callbacks that are always ready must not starve I/O and timers."""

    def setUp(self):
        self.selector = PollSkippingSelector()
        self.addCleanup(self.selector.close)
        one, other = socket.socketpair()
        self.addCleanup(one.close)
        self.addCleanup(other.close)
        self.selector.register(one, selectors.EVENT_READ)
        other.send(b"x")

    def test_polls_after_a_bounded_number_of_batches(self):
        select = self.selector.select
        found = [bool(select(0)) for _ in range(MAX_SKIPPED_POLLS + 1)]
        self.assertEqual(found, [False] * MAX_SKIPPED_POLLS + [True])

    def test_polls_when_no_callback_is_ready(self):
        self.assertTrue(self.selector.select(1.0))

    def test_timers_fire_beside_busy_callbacks(self):
        async def run():
            loop = asyncio.get_running_loop()
            spinning = True

            def spin():
                if spinning:
                    loop.call_soon(spin)

            spin()
            await asyncio.sleep(0.01)
            spinning = False
            return True

        with asyncio.Runner(loop_factory=make_loop) as runner:
            self.assertTrue(runner.run(asyncio.wait_for(run(), 5.0)))
