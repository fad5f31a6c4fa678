"""Tests of the fault-injecting proxy."""

import asyncio
import unittest

from tools.links import DELAY, DOWN_ONLY, PASS, REFUSE, RESET, SILENT, UP_ONLY, Link


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link in front of an echo server."""

    async def asyncSetUp(self):
        self.received = []
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.link = Link(self.server.sockets[0].getsockname())
        await self.link.listen("127.0.0.1", 0)
        self.addCleanup(self.link.close)
        self.address = self.link._server.sockets[0].getsockname()

    async def echo(self, reader, writer):
        try:
            while data := await reader.read(100):
                self.received.append(data)
                writer.write(data)
        except ConnectionError:
            pass  # reset by the link
        writer.close()

    async def open(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def send_byte(self, peer, wait_s=0.2):
        """Send a byte; return the answer, or None if there is none in time."""
        reader, writer = peer
        writer.write(b"x")
        try:
            return await asyncio.wait_for(reader.read(10), wait_s)
        except TimeoutError:
            return None

    async def test_bytes_pass(self):
        self.assertEqual(await self.send_byte(await self.open()), b"x")

    async def test_silence_holds_both_directions_back_until_it_passes(self):
        peer = await self.open()
        await self.send_byte(peer)
        self.link.set_mode(SILENT)
        self.assertIsNone(await self.send_byte(peer))
        self.assertEqual(len(self.received), 1)
        self.link.set_mode(PASS)
        self.assertEqual(await asyncio.wait_for(peer[0].read(10), 5.0), b"x")

    async def test_one_way(self):
        peer = await self.open()
        await self.send_byte(peer)
        self.link.set_mode(UP_ONLY)
        self.assertIsNone(await self.send_byte(peer))
        self.assertEqual(len(self.received), 2)
        self.link.set_mode(DOWN_ONLY)
        self.assertEqual(await asyncio.wait_for(peer[0].read(10), 5.0), b"x")
        self.assertIsNone(await self.send_byte(peer))
        self.assertEqual(len(self.received), 2)

    async def test_delay(self):
        self.link.set_mode(DELAY)
        self.assertEqual(await self.send_byte(await self.open(), 5.0), b"x")

    async def test_reset_and_refusal(self):
        peer = await self.open()
        await self.send_byte(peer)
        self.link.set_mode(RESET)
        with self.assertRaises(ConnectionResetError):
            await peer[0].read(10)
        self.link.set_mode(REFUSE)
        with self.assertRaises(ConnectionError):
            reader, _ = await self.open()
            await reader.read(10)
