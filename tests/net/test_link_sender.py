"""Tests of replies on a narrow link: whole, in chunks, and small ones first."""

import asyncio
import math
import unittest

from tornado.httputil import HTTPHeaders

from balsamdeal.core.link_queue import LinkQueue
from balsamdeal.core.routes import Limits
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.link_sender import LinkSender
from balsamdeal.net.request_reader import KeepaliveServer, RequestServer

LARGE, SMALL = 60_000, 400
MBPS = 4.0
LARGE_S = LARGE * 8 / (MBPS * 1e6)


class LinkSenderTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers with as many bytes as the path says."""

    async def asyncSetUp(self):
        self.queue = LinkQueue(MBPS)
        self.reports = []
        self.sender = LinkSender(
            asyncio.get_running_loop(),
            self.queue,
            lambda *values: self.reports.append(values),
        )
        self.addCleanup(self.sender.stop)
        server = KeepaliveServer(RequestServer(Limits, self.answer))
        server.listen(0, "127.0.0.1")
        self.addCleanup(server.stop)
        port = list(server._sockets.values())[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = ConnectionPool(10_000_000)
        self.addCleanup(self.pool.close)

    def answer(self, connection, start_line, headers, body):
        size = int(start_line.path.lstrip("/"))
        message = bytes(number % 251 for number in range(size))
        self.sender.send(connection, HTTPHeaders(), message, math.inf, "r1")

    async def fetch(self, size, timeout_s=5.0):
        return await self.pool.fetch(
            self.address, "POST", f"/{size}", HTTPHeaders(), timeout_s=timeout_s
        )

    async def test_large_replies_arrive_whole_and_their_connections_are_used_again(
        self,
    ):
        for size in (LARGE, SMALL, LARGE):
            response = await self.fetch(size)
            self.assertEqual(
                response.body, bytes(number % 251 for number in range(size))
            )
        self.assertEqual(len(self.pool._idle[self.address]), 1)
        self.assertTrue(self.queue.is_idle())
        self.assertEqual([item[:3] for item in self.reports], 2 * [("r1", LARGE, 0)])
        self.assertGreater(self.reports[0][3], 0.5 * LARGE_S)

    # Guards against small answers that wait for large ones on a narrow link.
    async def test_small_reply_overtakes_large_ones(self):
        large = [asyncio.ensure_future(self.fetch(LARGE)) for _ in range(4)]
        while self.queue.estimate_wait_s(asyncio.get_running_loop().time()) < LARGE_S:
            await asyncio.sleep(0.005)
        await self.fetch(SMALL)
        self.assertFalse(any(item.done() for item in large[1:]))
        for response in await asyncio.gather(*large):
            self.assertEqual(len(response.body), LARGE)

    # Guards against an error in one connection that stops all large replies.
    async def test_connection_without_a_stream_ends_its_own_reply_only(self):
        connections = []
        send = self.sender.send

        def detach_first(connection, *arguments):
            send(connection, *arguments)
            connections.append(connection)
            if len(connections) == 1:
                connection.detach()

        self.sender.send = detach_first
        first = asyncio.ensure_future(self.fetch(LARGE, timeout_s=0.5))
        while not connections:
            await asyncio.sleep(0.005)
        response = await self.fetch(LARGE, timeout_s=3.0)
        self.assertEqual(len(response.body), LARGE)
        await asyncio.wait([first])
        self.assertIsNotNone(first.exception())
        self.assertTrue(self.queue.is_idle())

    # Guards against a link that stays reserved for callers who have left.
    async def test_reply_is_dropped_when_its_receiver_disconnects(self):
        task = asyncio.ensure_future(self.fetch(50 * LARGE, timeout_s=0.2))
        await asyncio.wait([task])
        self.assertIsNotNone(task.exception())
        ((_, size, unsent, _),) = self.reports
        self.assertEqual(size, 50 * LARGE)
        self.assertGreater(unsent, 0)
        response = await self.fetch(LARGE, timeout_s=3.0)
        self.assertEqual(len(response.body), LARGE)
        self.assertTrue(self.queue.is_idle())


if __name__ == "__main__":
    unittest.main()
