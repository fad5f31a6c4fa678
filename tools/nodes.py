"""Runs nodes as real processes against stand-ins of the platform's store and servers.

The stand-ins share one event loop; all use one loopback network. Only processes that
were started here receive signals.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from balsamdeal.errors import ExchangeError
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.messages import make_headers
from standins.server import Server
from standins.store import Store
from tools.fleet import ROOT, claim_network

HOST = "shop.example"
READY_TIMEOUT_S = 15.0
# For nodes, callers, readiness and metrics. They lie below the ephemeral port range,
# as a connection of any process may occupy a port of that range.
PORTS = (7101, 7102, 7103, 7104)


class PlatformNodes:
    """Nodes with one server of the service ``desk`` each; zones are assigned in turn.

    Subclasses define the content of the store by ``make_entry`` and
    ``make_configuration``.
    """

    nodes = 2
    zones = ("erie", "toledo")
    ports = PORTS

    async def open(self):
        """Start store, servers and nodes; wait until all nodes are ready."""
        self.folder = tempfile.TemporaryDirectory()
        octet, self.claim_socket = claim_network()
        self.network = f"127.{octet}.0"
        self.store = Store()
        self.store.listen()
        self.processes = {}
        self.servers = []
        self.pool = ConnectionPool(10_000_000)
        self._logs = []
        self.store.put("op/config", self.make_configuration(1))
        for index in range(self.nodes):
            server = Server(f"i-{index}")
            await server.listen(self.get_ip(index))
            self.servers.append(server)
            self.put_entry(index)
        await self.open_links()
        for index in range(self.nodes):
            self.start_node(index)
        for index in range(self.nodes):
            await self.wait_until_ready(index)

    async def open_links(self):
        """Hook for subclasses that put proxies between the processes."""

    async def close(self):
        """Kill the nodes, stop the stand-ins and release all resources."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.pool.close()
        for server in self.servers:
            server.stop()
        self.store.stop()
        self.claim_socket.close()
        for log in self._logs:
            log.close()
        self.folder.cleanup()

    def make_configuration(self, version):
        """Return a configuration in the format of the store."""
        raise NotImplementedError

    def make_entry(self, server, zone, **changes):
        """Return a server's entry in the format of the store."""
        raise NotImplementedError

    def get_ip(self, index):
        """Return the IP address of a VM."""
        return f"{self.network}.{1 + index}"

    def get_zone(self, index):
        """Return the failure domain of a VM."""
        return self.zones[index % len(self.zones)]

    def get_inbound_port(self, index):
        """Return the inbound port that a node listens on and expects others to use."""
        return self.ports[0]

    def get_server_address(self, index):
        """Return the address at which a node reaches its server."""
        return self.servers[index].address

    def get_store_address(self, index):
        """Return the address at which a node reaches the store."""
        return self.store.address

    def put_entry(self, index, **changes):
        """Write a server's entry to the store."""
        server = self.servers[index]
        entry = self.make_entry(server, self.get_zone(index), **changes)
        self.store.put(f"servers/{server.instance}", entry)

    def write_settings(self, index, **changes):
        """Write the settings file of a node; return its path."""
        _, outbound, ready, _ = self.ports
        ip = self.get_ip(index)
        content = {
            "node-name": f"sidecar-{index}",
            "zone": self.get_zone(index),
            "region": "great-lakes",
            "service": "desk",
            "app-address": self.get_server_address(index),
            "listen": {
                "inbound": f"{ip}:{self.get_inbound_port(index)}",
                "outbound": f"{ip}:{outbound}",
                "ready-address": f"{ip}:{ready}",
            },
            "bounds": {"grace-s": 6, "retry-budget-ratio": 0.2},
            "platform": {"address": self.get_store_address(index)},
            **changes,
        }
        path = Path(self.folder.name) / f"{index}.json"
        path.write_text(json.dumps(content))
        return path

    def start_node(self, index):
        """Start a node's process."""
        path = self.write_settings(index)
        log = open(Path(self.folder.name) / f"{index}.log", "ab")
        self._logs.append(log)
        self.processes[index] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "balsamdeal.platform",
                "--metrics-port",
                str(self.ports[3]),
            ],
            cwd=ROOT,
            env={**os.environ, "BALSAMDEAL_BOOT": str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def signal_node(self, index, signal_number=signal.SIGKILL):
        """Send a signal to a node's process."""
        self.processes[index].send_signal(signal_number)

    async def fetch_readiness(self, index):
        """Return a node's answer to a readiness probe, or None if there is none."""
        try:
            return await self.pool.fetch(
                f"{self.get_ip(index)}:{self.ports[2]}",
                "GET",
                "/api/readiness",
                make_headers([]),
                timeout_s=1.0,
                new_connection=True,
            )
        except ExchangeError:
            return None  # it does not listen yet, or no longer

    async def is_ready(self, index):
        """Return whether a node reports that it is ready for callers."""
        answer = await self.fetch_readiness(index)
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, index):
        """Wait until a node serves callers."""
        await self.wait_for(lambda: self.is_ready(index))

    async def wait_for(self, condition, bound_s=READY_TIMEOUT_S):
        """Poll an async condition until it is true.

        :raises TimeoutError: if it is still false after the bound.
        """
        deadline_s = asyncio.get_running_loop().time() + bound_s
        while not await condition():
            if asyncio.get_running_loop().time() > deadline_s:
                raise TimeoutError(
                    "condition not met in time:\n" + self.read_logs()[-2000:]
                )
            await asyncio.sleep(0.05)

    def read_logs(self):
        """Return the log output of all nodes."""
        logs = sorted(Path(self.folder.name).glob("*.log"))
        return "\n".join(path.read_text() for path in logs)

    async def call(
        self,
        path,
        request_id,
        index=0,
        time_left_ms=1500,
        method=None,
        body=b"",
        timeout_s=5.0,
        new_connection=True,
    ):
        """Send one request to a node's port for callers; return the response.

        :param time_left_ms: the milliseconds until the call's deadline, sent in
            ``X-Deadline-Ms``.
        :param timeout_s: how long to wait for the response, in seconds.
        """
        method = method or ("POST" if path.startswith("/once/") else "GET")
        pairs = [("Host", HOST), ("X-Request-Id", request_id)]
        pairs.append(("X-Deadline-Ms", str(time_left_ms)))
        return await self.pool.fetch(
            f"{self.get_ip(index)}:{self.ports[1]}",
            method,
            path,
            make_headers(pairs),
            body,
            timeout_s=timeout_s,
            new_connection=new_connection,
        )

    def count_runs(self, request_id):
        """Return the number of runs of a request, summed over all servers."""
        return sum(server.runs[request_id] for server in self.servers)
