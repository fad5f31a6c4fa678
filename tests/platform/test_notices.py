"""Tests of what servers say of themselves in answers: request limits and leaving."""

import asyncio
import itertools
import signal

from balsamdeal.errors import ExchangeError
from tests.platform.fleet import FleetCase

# Operators allow one and a half times a server's limit over any span of this length,
# and a few requests more, from this long after the server has first named it.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_IN_FORCE_S = 3.0
# Operators allow new requests at a leaving server for this long after a node has
# passed on its notice.
DRAIN_S = 2.0


class NoticesTest(FleetCase):
    """Three nodes in one failure domain, each with callers of its own."""

    nodes = 3
    zones = ("erie",)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.numbers = itertools.count()
        self.sent_at_s = {}
        self.answers = {}

    def now_s(self):
        return asyncio.get_running_loop().time()

    async def send_calls(self, index, per_s, duration_s):
        """Send calls to a node at a steady rate, without waiting for answers."""
        tasks = []
        end_s = self.now_s() + duration_s
        while self.now_s() < end_s:
            tasks.append(asyncio.ensure_future(self.send_call(index)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*tasks)

    async def send_call(self, index):
        request_id = f"{index}-{next(self.numbers)}"
        self.sent_at_s[request_id] = self.now_s()
        try:
            response = await self.call("/safe/1", request_id, index)
        except ExchangeError:
            return  # the node is being restarted
        self.answers[request_id] = (self.now_s(), response)

    async def send_from_all(self, per_s, duration_s):
        await asyncio.gather(
            *(self.send_calls(index, per_s, duration_s) for index in range(self.nodes))
        )

    def count_most_arrivals(self, server, from_s):
        """Return the most arrivals in any window that begins after a time."""
        times = [at_s for at_s in server.arrivals if at_s >= from_s]
        return max(
            sum(begin_s <= at_s < begin_s + LIMIT_WINDOW_S for at_s in times)
            for begin_s in times or [from_s]
        )

    def get_allowed(self, per_s):
        return LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_SLACK

    # Guards against a server that gets far more requests than the limit in its answers.
    async def test_server_gets_no_more_requests_than_the_limit_it_names(self):
        for server in self.servers:
            server.delay_s = 0.1
        self.servers[0].notices = [("Server-Limit", "4.0")]
        named_s = self.now_s()
        await self.send_from_all(30, LIMIT_IN_FORCE_S + LIMIT_WINDOW_S + 1.0)
        most = self.count_most_arrivals(self.servers[0], named_s + LIMIT_IN_FORCE_S)
        self.assertLessEqual(most, self.get_allowed(4.0))
        self.assertGreater(most, 0)
        statuses = [response.status for _, response in self.answers.values()]
        self.assertGreaterEqual(statuses.count(200), 0.95 * len(self.sent_at_s))

    # Guards against a limit that is lost when the node in front of the server restarts.
    async def test_limit_holds_after_a_restart_of_the_node_in_front(self):
        for server in self.servers:
            server.delay_s = 0.3
        self.servers[0].notices = [("Server-Limit", "1.0")]
        named_s = self.now_s()
        calls = [
            asyncio.ensure_future(self.send_calls(index, 60, LIMIT_IN_FORCE_S + 6.0))
            for index in (1, 2)
        ]
        await asyncio.sleep(LIMIT_IN_FORCE_S)
        self.signal_node(0, signal.SIGKILL)
        await asyncio.to_thread(self.processes[0].wait)
        self.start_node(0)
        await asyncio.gather(*calls)
        most = self.count_most_arrivals(self.servers[0], named_s + LIMIT_IN_FORCE_S)
        self.assertLessEqual(most, self.get_allowed(1.0))

    # Guards against new requests for a server whose answers say that it is leaving
    # while the store does not.
    async def test_server_that_says_it_is_leaving_gets_no_new_requests(self):
        self.servers[0].notices = [("Server-Leaving", "1")]
        await self.send_from_all(30, DRAIN_S + 2.0)
        told_at_s = {}
        for request_id, (at_s, response) in self.answers.items():
            if "Server-Leaving" in response.headers:
                node = request_id.split("-")[0]
                told_at_s[node] = min(at_s, told_at_s.get(node, at_s))
        self.assertTrue(told_at_s)
        late = [
            request_id
            for request_id in self.servers[0].runs
            if (node := request_id.split("-")[0]) in told_at_s
            and self.sent_at_s[request_id] > told_at_s[node] + DRAIN_S
        ]
        self.assertEqual(late, [])
