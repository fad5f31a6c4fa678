"""Requests through real nodes: whole answers, one run, truthful refusals."""

import asyncio
import socket

from tests.platform.fleet import HOST, FleetCase, make_rules
from tests.platform.test_messages import make_configuration, make_rule


class OneNodeTest(FleetCase):
    """A node beside the only server."""

    nodes = 1

    async def misbehave(self, kind, path, request_id="r1"):
        self.servers[0].misbehaviours = [kind]
        response = await self.call(path, request_id)
        return response.status, self.count_runs(request_id)

    async def test_request_and_answer_pass_unchanged(self):
        response = await self.call("/once/a%20b?q=1&q=2", "r1", body=b"charge")
        line, headers, body = self.servers[0].seen[-1]
        self.assertEqual(line, "POST /once/a%20b?q=1&q=2 HTTP/1.1")
        self.assertEqual((body, headers["host"]), (b"charge", HOST))
        self.assertEqual(headers["x-caller-service"], "desk")
        self.assertLessEqual(int(headers["x-deadline-ms"]), 1500)
        self.assertGreater(int(headers["x-deadline-ms"]), 1000)
        self.assertEqual(response.body, b"i-0 ran /once/a%20b?q=1&q=2")
        self.assertEqual(response.headers["X-Server-Seal"], "seal-r1")

    async def test_foreign_answer_is_skipped(self):
        self.assertEqual(await self.misbehave("foreign-first", "/once/1"), (200, 1))

    async def test_extra_answer_reaches_nobody(self):
        self.assertEqual(await self.misbehave("extra", "/once/1"), (200, 1))
        response = await self.call("/once/2", "r2")
        self.assertEqual(response.body, b"i-0 ran /once/2")

    async def test_wrong_bytes_are_never_a_success_and_are_not_run_again(self):
        kinds = ("reset", "cut", "garbage", "unsealed", "encoded", "unframed-reset")
        for number, kind in enumerate(kinds):
            with self.subTest(kind):
                found = await self.misbehave(kind, "/once/1", f"r{number}")
                self.assertEqual(found, (502, 1))

    async def test_answer_that_ends_with_its_connection_is_whole(self):
        self.assertEqual(await self.misbehave("unframed", "/once/1"), (200, 1))

    async def test_declined_request_is_not_run_and_says_when_to_come_back(self):
        self.servers[0].misbehaviours = ["decline"]
        response = await self.call("/once/1", "r1")
        self.assertEqual((response.status, self.count_runs("r1")), (503, 0))
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    async def test_failure_of_the_server_passes_with_its_seal(self):
        self.servers[0].misbehaviours = ["fail"]
        response = await self.call("/once/1", "r1")
        self.assertEqual(response.status, 500)
        self.assertIn("X-Server-Seal", response.headers)

    async def test_final_answer_at_the_end_of_the_time(self):
        self.servers[0].delay_s = 3.0
        response = await self.call("/once/1", "r1", time_left_ms=300)
        self.assertEqual(response.status, 504)

    async def test_unknown_route_is_404(self):
        self.assertEqual((await self.call("/none/", "r1")).status, 404)

    async def test_caller_that_leaves_ends_the_run(self):
        self.servers[0].delay_s = 3.0
        address = (self.get_ip(0), self.ports[1])
        _, writer = await asyncio.open_connection(*address)
        head = f"GET /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n\r\n"
        writer.write(head.encode())

        async def is_running():
            return self.count_runs("r1") == 1

        await self.wait_for(is_running)
        writer.close()

        async def is_broken_off():
            return self.servers[0].broken_off == 1

        await self.wait_for(is_broken_off, 2.0)

    def send_raw(self, content):
        """Send bytes to the callers' port; return what comes back."""
        with socket.create_connection((self.get_ip(0), self.ports[1]), 3) as peer:
            peer.sendall(content)
            peer.settimeout(3)
            received = b""
            while True:
                try:
                    piece = peer.recv(4096)
                except OSError:
                    return received
                if not piece:
                    return received
                received += piece

    async def test_hostile_framing_is_refused_and_nothing_forwarded(self):
        start = f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        smuggled = f"GET /safe/2 HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
        chunked = "Transfer-Encoding: chunked\r\n"
        for name, rest, statuses in (
            ("both lengths", f"Content-Length: 4\r\n{chunked}\r\n0\r\n\r\n", {400}),
            ("two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", {400}),
            ("signed length", "Content-Length: +4\r\n\r\nabcd", {400}),
            ("odd chunk", f"{chunked}\r\n0x4\r\nabcd\r\n0\r\n\r\n", {400}),
            ("odd coding", "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", {400}),
            ("large head", f"X-Big: {'x' * 20000}\r\n\r\n", {431}),
            ("large body", "Content-Length: 99999999\r\n\r\n", {413}),
        ):
            with self.subTest(name):
                content = (start + rest + smuggled).encode()
                received = await asyncio.to_thread(self.send_raw, content)
                status = int(received.split()[1]) if received else 400
                self.assertIn(status, statuses)
                self.assertNotIn(b"200", received[:20])
        self.assertEqual(self.servers[0].seen, [])

    async def test_store_away_changes_nothing_that_is_known(self):
        self.store.fault = "reset"
        self.store.lose_history()
        await asyncio.sleep(1.0)
        self.assertEqual((await self.call("/safe/1", "r1")).status, 200)

    async def test_newer_configuration_is_in_force_and_an_older_one_is_not(self):
        rules = make_rules() + [make_rule("/new/", service="desk")]
        self.store.put("op/config", make_configuration(9, *rules))

        async def is_in_force():
            return (await self.call("/new/1", "r1")).status == 200

        await self.wait_for(is_in_force, 2.0)
        self.store.put("op/config", make_configuration(4, *make_rules()))
        await asyncio.sleep(1.5)
        self.assertTrue(await is_in_force())

    async def test_bad_configuration_leaves_the_last_good_one(self):
        broken = make_configuration(9, make_rule("/new/", service="none"))
        self.store.put("op/config", broken)
        await asyncio.sleep(1.0)
        self.assertEqual((await self.call("/safe/1", "r1")).status, 200)


class TwoNodesTest(FleetCase):
    """Two nodes in one failure domain."""

    zones = ("erie",)

    async def drop_server(self, index):
        self.servers[index].stop()

    async def test_request_that_never_reached_a_server_goes_to_another(self):
        await self.drop_server(0)
        for number in range(8):
            response = await self.call("/once/1", f"r{number}")
            self.assertEqual((response.status, response.body[:3]), (200, b"i-1"))

    async def test_node_that_is_gone_is_passed_by(self):
        self.signal_node(1)
        self.processes[1].wait()
        for number in range(8):
            response = await self.call("/once/1", f"r{number}")
            self.assertEqual(response.status, 200)

    async def test_caller_s_service_is_that_of_its_vm_whatever_it_says(self):
        self.write_settings(0, service="board")
        self.signal_node(0, 1)

        async def is_taken_up():
            return "settings reloaded" in self.read_logs()

        await self.wait_for(is_taken_up, 5.0)
        await self.call("/safe/1", "r1")
        seen = [item for server in self.servers for item in server.seen]
        self.assertEqual(seen[-1][1]["x-caller-service"], "board")

    async def test_leaving_server_gets_nothing_new(self):
        self.put_entry(0, state="draining")
        await asyncio.sleep(1.5)
        before = len(self.servers[0].seen)
        for number in range(8):
            self.assertEqual((await self.call("/once/1", f"r{number}")).status, 200)
        self.assertEqual(len(self.servers[0].seen), before)

    async def test_address_with_another_server_runs_nothing(self):
        self.servers[0].instance = "i-other"
        for number in range(8):
            response = await self.call("/once/1", f"r{number}")
            self.assertEqual((response.status, response.body[:3]), (200, b"i-1"))

    async def test_sigterm_answers_what_is_in_flight_and_ends_in_time(self):
        for server in self.servers:
            server.delay_s = 0.8
        calls = [
            asyncio.ensure_future(self.call("/once/1", f"r{number}"))
            for number in range(6)
        ]
        await asyncio.sleep(0.2)
        self.signal_node(0, 15)
        statuses = [response.status for response in await asyncio.gather(*calls)]
        self.assertEqual(statuses, [200] * 6)
        self.assertFalse(await self.is_ready(0))
        self.assertEqual((await self.call("/once/1", "late")).status, 200)
        code = await asyncio.to_thread(self.processes[0].wait, 6.0)
        self.assertEqual(code, 0)

    async def test_node_that_starts_while_the_store_is_away_says_503(self):
        self.store.fault = 503
        self.signal_node(0)
        self.processes[0].wait()
        self.start_node(0)

        async def answers():
            try:
                response = await self.call("/safe/1", "r1")
            except Exception:
                return False  # it does not listen yet
            return response.status == 503 and "Retry-After" in response.headers

        await self.wait_for(answers)
        self.assertFalse(await self.is_ready(0))
        self.store.fault = None
        await self.wait_until_ready(0)
        self.assertEqual((await self.call("/safe/1", "r2")).status, 200)
