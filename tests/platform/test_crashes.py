"""Tests of crashes of servers, and of requests that cause them."""

import asyncio
import itertools
import signal

from balsamdeal.errors import ExchangeError
from tests.platform.fleet import FleetCase

# Operators allow this many more requests to servers, once this time has passed since
# a request has crashed the third.
MAX_LATE_ARRIVALS = 3
SETTLE_S = 3.0
CRASHES = 3


class CrashTest(FleetCase):
    """Five nodes in two failure domains, each with callers of its own."""

    nodes = 5

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.numbers = itertools.count()
        self.statuses = []
        for server in self.servers:
            server.crashing_paths = {"/safe/crash", "/once/crash"}
            server.on_restart = self.list_again

    async def list_again(self, server):
        index = self.servers.index(server)
        self.store.delete(f"servers/{server.instance[:-1]}")
        self.put_entry(index)

    async def repeat(self, path, duration_s, gap_s=0.15):
        """Send a request again and again, each time at the next node."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            number = next(self.numbers)
            try:
                response = await self.call(path, f"p-{number}", number % self.nodes)
                self.statuses.append(response.status)
            except ExchangeError:
                self.statuses.append(None)
            await asyncio.sleep(gap_s)

    async def serve_others(self, duration_s):
        """Send other requests at each node; return the share that is served."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        calls = []
        while loop.time() < end_s:
            number = next(self.numbers)
            call = self.call(f"/safe/{number}", f"o-{number}", number % self.nodes)
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(0.02)
        answers = await asyncio.gather(*calls, return_exceptions=True)
        served = [getattr(answer, "status", None) == 200 for answer in answers]
        return sum(served) / len(served)

    def list_late_crashes(self):
        """Return the times of crashes after the bound, and how many there were."""
        times = sorted(at_s for server in self.servers for at_s, _ in server.crashes)
        self.assertGreaterEqual(len(times), 2)
        if len(times) < CRASHES:
            return [], len(times)
        bound_s = times[CRASHES - 1] + SETTLE_S
        return [at_s for at_s in times if at_s > bound_s], len(times)

    # Guards against a request that crashes target after target, as each attempt of its
    # caller is taken for a new one.
    async def test_request_that_crashes_servers_is_refused_by_all_nodes(self):
        repeats = self.repeat("/safe/crash", 8.0)
        _, share = await asyncio.gather(repeats, self.serve_others(8.0))
        late, count = self.list_late_crashes()
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, count)
        self.assertGreater(share, 0.9)
        self.assertEqual(set(self.statuses[-10:]), {503})

    # Guards against the same with requests that nodes never send again.
    async def test_non_idempotent_request_that_crashes_servers_is_refused(self):
        await self.repeat("/once/crash", 8.0)
        late, count = self.list_late_crashes()
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, count)
        self.assertEqual(set(self.statuses[-10:]), {503})

    # Guards against a request that crashes servers again after a restart of a node.
    async def test_node_that_has_restarted_refuses_the_request(self):
        await self.repeat("/safe/crash", 2.0)
        for index in (0, 3):
            self.signal_node(index, signal.SIGKILL)
            await asyncio.to_thread(self.processes[index].wait)
            self.start_node(index)
        for index in (0, 3):
            await self.wait_until_ready(index)
        await asyncio.sleep(SETTLE_S)
        before = sum(len(server.crashes) for server in self.servers)
        for index in (0, 3):
            response = await self.call("/safe/crash", f"late-{index}", index)
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["Retry-After"]), 1.0)
        after = sum(len(server.crashes) for server in self.servers)
        self.assertEqual(after, before)

    # Guards against a frequent request that is refused, as it runs at most servers that
    # crash for another reason.
    async def test_ordinary_crashes_do_not_shut_out_a_frequent_request(self):
        loop = asyncio.get_running_loop()
        for server in self.servers:
            server.delay_s = 0.1
        for index, at_s in ((0, 1.0), (1, 1.6), (2, 2.2), (3, 2.2)):
            loop.call_later(at_s, self.servers[index].crash)
        statuses = []

        async def call(number):
            index = number % self.nodes
            response = await self.call("/safe/frequent", f"f-{number}", index)
            statuses.append((loop.time() - begin_s, response.status))

        begin_s = loop.time()
        calls = []
        while loop.time() < begin_s + 4.0:
            calls.append(asyncio.ensure_future(call(next(self.numbers))))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)
        self.assertEqual(sum(len(server.crashes) for server in self.servers), 4)
        self.assertNotIn("request crashes targets", self.read_logs())
        late = [status for at_s, status in statuses if at_s > 3.4]
        self.assertGreaterEqual(late.count(200), 0.95 * len(late))
