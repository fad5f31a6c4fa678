"""Tests of requests that crash each server that begins to run them."""

import asyncio
import itertools

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

    def list_again(self, server):
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
