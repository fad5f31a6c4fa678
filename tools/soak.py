"""A randomized soak test: real nodes under injected faults, with checked guarantees.

Each seed generates one schedule of faults on links, processes, store and servers,
while callers at every node send requests, some of which must not be repeated. At the
end the results of callers are compared with the runs at servers. Faults overlap
and run in real time, so a seed reproduces its schedule but not the exact interleaving.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from balsamdeal.errors import ExchangeError
from standins.server import SERVER_FAULTS, Server
from tests.platform.test_messages import make_configuration, make_entry, make_route
from tools.links import FAULTS, PASS, RESET, Link
from tools.nodes import PlatformNodes

STORE_PORT, SERVER_PORT, FIRST_INBOUND_PORT = 7190, 7191, 7110
SERVICES = ("desk", "board")
CALLS_PER_S = 25.0  # at each node; all together take half of a core
# Time that a server works on a request: long enough for faults to occur meanwhile.
WORK_S = 0.1
FAULT_GAP_S = 0.25
MAX_FAULT_S = 3.0
# A final answer is due within the route's 1.5 s. A call counts as hung only after this
# time, as a process may be suspended, killed or slow on a busy machine.
CALL_TIMEOUT_S = 12.0
# All faults end within this time; the longest is a graceful stop of six seconds
# followed by a restart.
FAULTS_END_TIMEOUT_S = 30.0
# Time after the last fault in which silent connections must be detected, nodes
# restarted and entries restored.
RECOVERY_TIMEOUT_S = 15.0
# Statuses that guarantee that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Operators count a server's requests over spans of this length, from some time after it
# has first named a limit, and those of nodes that it told a while before. They allow
# one and a half times what the limit allows, and a few requests more.
LIMIT_WINDOW_S, LIMIT_SETTLE_S, TOLD_BEFORE_S = 4.0, 3.0, 0.5
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5
# A server that says it is leaving may get new requests for this long.
DRAIN_S = 2.0
# A request that has crashed this many servers may get to servers this many more times,
# once the time has passed within which nodes have to know.
CRASHES, MAX_LATE_ARRIVALS, CRASH_SETTLE_S = 3, 3, 3.0
# It is sent again in so many rounds at the end, so far apart.
LATE_ROUNDS, LATE_ROUND_GAP_S = 4, 1.5
# Mean gap between attempts at a request that crashes servers, and how many.
CRASH_GAP_S, CRASH_ATTEMPTS = 0.3, 12
# How long a server names a limit, or says that it is leaving, at most.
MAX_NOTICE_S = 9.0


@dataclass
class Outcome:
    """The result of a call at its caller.

    ``once`` marks a request that must run at most once. ``status`` is None if no answer
    came; ``error`` then names the step of the exchange that failed. ``wrong_answer``
    holds a successful answer that does not belong to the request. ``node`` is the
    number of the node that was called.
    """

    request_id: str
    once: bool
    at_s: float
    status: int | None = None
    error: str = ""
    wrong_answer: str = ""
    node: int = 0


@dataclass
class NoticeRecord:
    """A server's notice, and since when each node has known it.

    ``per_s`` is the limit that the server named at ``since_s``, None if it said that it
    was leaving. ``told_s`` holds when a node first passed on an answer with the notice,
    by the node's number; disturbed nodes are left out until they do so again. A limit
    that has ``ended`` is not checked: the server may name another one later.
    """

    server: Server
    per_s: float | None
    since_s: float
    told_s: dict = field(default_factory=dict)
    violation: str = ""
    ended: bool = False


@dataclass
class CrashRequest:
    """A request that crashes each server that begins to run it.

    ``arrivals_s`` holds when it arrived at servers.
    """

    path: str
    once: bool
    arrivals_s: list = field(default_factory=list)


class Soak(PlatformNodes):
    """Four nodes with a separate link between each pair of processes.

    A node connects to other VMs at the port on which it listens itself. As each node
    has a different port, every VM can have one link for each of the other nodes.

    :param seed: the seed of callers and faults.
    :param duration_s: how long faults are started.
    """

    nodes = 4

    def __init__(self, seed, duration_s):
        self.seed = seed
        self.duration_s = duration_s
        self.random = Random(seed)
        self.links = {}
        self.outcomes = []
        self.outcomes_by_id = {}
        self.version = 1
        self.schedule = []
        self.stopping = False
        self.replaced_servers = []
        self.being_replaced = set()
        self.unexpected_exits = []
        self.expected_exits = set()
        self.tasks = set()
        self.notice_records = []
        self.crash_requests = {}
        self.crashing_paths = set()

    def make_configuration(self, version):
        """Return a configuration with two routes per service and one for the version.

        The path of the latter contains the version.
        """
        raw_routes = [make_route(f"/v{version}/", service=SERVICES[0])]
        for service in SERVICES:
            once = make_route(f"/once/{service}/", service=service)
            raw_routes.append({**once, "kind": "unsafe", "priority": 1})
            raw_routes.append(make_route(f"/safe/{service}/", service=service))
        return make_configuration(version, *raw_routes)

    def get_service(self, index):
        """Return the service of a VM's server."""
        return SERVICES[index % len(SERVICES)]

    def get_zone(self, index):
        """Return a VM's failure domain; each service has a server in both domains."""
        return self.zones[index // 2 % len(self.zones)]

    def put_entry(self, index, **changes):
        """Write a server's entry to the store."""
        super().put_entry(index, service=self.get_service(index), **changes)

    def write_settings(self, index, **changes):
        """Write the settings file of a node; return its path."""
        service = self.get_service(index)
        return super().write_settings(index, service=service, **changes)

    def make_entry(self, server, zone, **changes):
        """Return a server's entry in the format of the store."""
        return make_entry(server.address, zone=zone, **changes)

    def get_inbound_port(self, index):
        """Return the inbound port of a node, different for each."""
        return FIRST_INBOUND_PORT + index

    def get_server_address(self, index):
        """Return the address of the link from a node to its server."""
        return f"{self.get_ip(index)}:{SERVER_PORT}"

    def get_store_address(self, index):
        """Return the address of the link from a node to the store."""
        return f"{self.get_ip(index)}:{STORE_PORT}"

    async def open_links(self):
        """Open the links between nodes, to the servers and to the store."""
        for index in range(self.nodes):
            self._prepare_server(self.servers[index])
            ip = self.get_ip(index)
            await self._open_link(("store", index), ip, STORE_PORT, self.store.address)
            address = self.servers[index].address
            await self._open_link(("server", index), ip, SERVER_PORT, address)
            for other in range(self.nodes):
                if other != index:
                    port = self.get_inbound_port(other)
                    target = f"{ip}:{self.get_inbound_port(index)}"
                    await self._open_link((other, index), ip, port, target)

    def _prepare_server(self, server):
        server.delay_s = WORK_S
        server.on_arrival = self._check_arrival
        server.on_crash = self._handle_crash
        server.on_restart = self._handle_server_restart
        server.crashing_paths = self.crashing_paths

    def _handle_crash(self, server):
        """Let the node's link to a crashed server refuse connections as well."""
        index = self.servers.index(server)
        self._record_fault(f"server {server.instance} crashes")
        self.being_replaced.add(index)
        self.links["server", index].close()
        for record in self.notice_records:
            record.ended |= record.server is server

    async def _handle_server_restart(self, server):
        index = self.servers.index(server)
        await self.links["server", index].listen(self.get_ip(index), SERVER_PORT)
        self.store.delete(f"servers/{server.instance[:-1]}")
        self.put_entry(index)
        self.being_replaced.discard(index)

    async def _open_link(self, name, host, port, target):
        target_host, _, target_port = target.rpartition(":")
        link = Link((target_host, int(target_port)))
        await link.listen(host, port)
        self.links[name] = link

    # Callers

    async def _send_calls(self, index):
        draw = Random(f"{self.seed} {index}")
        number = 0
        while not self.stopping:
            await asyncio.sleep(draw.expovariate(CALLS_PER_S))
            number += 1
            once = draw.random() < 0.5
            self._spawn(self._call(index, number, once, draw.random() < 0.5))

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, index, number, once, new_connection):
        kind = "once" if once else "safe"
        request_id = f"{kind}-{index}-{number}"
        # Half of the requests need a server on another VM, over links between nodes.
        path = f"/{kind}/{SERVICES[number % len(SERVICES)]}/{index}/{number}"
        await self._send(index, path, request_id, once, new_connection)

    async def _send(self, index, path, request_id, once, new_connection):
        """Send one request; record and return its outcome."""
        now_s = asyncio.get_running_loop().time()
        outcome = Outcome(request_id, once, now_s, node=index)
        self.outcomes.append(outcome)
        self.outcomes_by_id[request_id] = outcome
        try:
            response = await self.call(
                path,
                request_id,
                index,
                timeout_s=CALL_TIMEOUT_S,
                new_connection=new_connection,
            )
        except ExchangeError as error:
            outcome.error = error.step
            return outcome
        outcome.status = response.status
        self._record_told(index, response)
        if 200 <= response.status < 300:
            seal = response.headers.get("X-Server-Seal")
            body = response.body.decode()
            if seal != f"seal-{request_id}" or not body.endswith(f" ran {path}"):
                outcome.wrong_answer = f"{seal} {body}"
        return outcome

    # Notices

    def _record_told(self, index, response):
        """Note that a node has passed on an answer with a notice."""
        now_s = asyncio.get_running_loop().time()
        server_name = response.body.decode(errors="replace").split(" ")[0]
        for record in self.notice_records:
            name = "Server-Limit" if record.per_s is not None else "Server-Leaving"
            if record.server.instance == server_name and name in response.headers:
                record.told_s.setdefault(index, now_s)

    def _excuse_nodes(self, indices, also_leaving=True):
        """Forget what disturbed nodes know of servers."""
        for record in self.notice_records:
            if also_leaving or record.per_s is not None:
                for index in indices:
                    record.told_s.pop(index, None)

    def _check_arrival(self, server, request_id, now_s):
        """Note a violation if a request that arrives at a server exceeds its notice."""
        crash_request = self.crash_requests.get(request_id.partition(".")[0])
        if crash_request is not None:
            crash_request.arrivals_s.append(now_s)
        for record in self.notice_records:
            if record.server is not server or record.violation or record.ended:
                continue
            if record.per_s is None:
                self._check_leaving(record, request_id)
            elif now_s >= record.since_s + LIMIT_SETTLE_S:
                self._check_limit(record, now_s)

    def _check_leaving(self, record, request_id):
        _, headers, _ = record.server.seen[-1]
        if headers.get("x-expected-instance") != record.server.instance:
            return  # it is answered with 421, which operators do not count
        outcome = self.outcomes_by_id.get(request_id)
        told_s = outcome and record.told_s.get(outcome.node)
        if told_s and outcome.at_s > told_s + DRAIN_S:
            late_s = outcome.at_s - told_s
            name = f"{record.server.instance} is leaving"
            record.violation = f"{name}, but got {request_id} {late_s:.1f} s later"

    def _check_limit(self, record, now_s):
        server = record.server
        count = 0
        for at_s, (_, headers, _) in zip(server.arrivals[::-1], server.seen[::-1]):
            if at_s <= now_s - LIMIT_WINDOW_S:
                break
            outcome = self.outcomes_by_id.get(headers.get("x-request-id"))
            told_s = outcome and record.told_s.get(outcome.node)
            count += bool(told_s) and told_s <= now_s - TOLD_BEFORE_S
        allowed = LIMIT_FACTOR * record.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        if count > allowed:
            name = f"{server.instance} named {record.per_s:.1f}/s"
            record.violation = (
                f"{name}, but got {count} requests, {allowed:.0f} allowed"
            )

    async def _name_limit(self):
        """Have a server name a limit, which may change, for some time."""
        server = self.servers[self.random.randrange(self.nodes)]
        if server.notices:
            return
        per_s = self.random.uniform(0.5, 20.0)
        duration_s = self.random.uniform(4.0, MAX_NOTICE_S)
        self._record_fault(f"{server.instance}: {per_s:.1f}/s for {duration_s:.1f} s")
        now_s = asyncio.get_running_loop().time()
        record = NoticeRecord(server, per_s, now_s)
        self.notice_records.append(record)
        server.notices = [("Server-Limit", f"{per_s:.1f}")]
        await asyncio.sleep(duration_s)
        server.notices = []
        record.ended = True

    async def _announce_leaving(self):
        """Have a server say that it is leaving, then replace it."""
        index = self.random.randrange(self.nodes)
        server = self.servers[index]
        if server.notices or index in self.being_replaced:
            return
        duration_s = self.random.uniform(DRAIN_S, MAX_NOTICE_S)
        self._record_fault(f"{server.instance} says it leaves, {duration_s:.1f} s")
        now_s = asyncio.get_running_loop().time()
        self.notice_records.append(NoticeRecord(server, None, now_s))
        server.notices = [("Server-Leaving", "1")]
        await asyncio.sleep(duration_s)
        if self.servers[index] is server:
            await self._replace_server(index)

    # Faults

    def _record_fault(self, text):
        now_s = asyncio.get_running_loop().time() - self.started_s
        self.schedule.append(f"{now_s:.2f} {text}")

    async def _break_one_link(self):
        name = self.random.choice(sorted(self.links, key=str))
        # A link to a server holds back requests of all nodes.
        nodes = range(self.nodes) if name[0] == "server" else name
        await self._inject_link_fault([self.links[name]], nodes, f"link {name}")

    async def _break_node_links(self):
        index = self.random.randrange(self.nodes)
        links = [link for name, link in self.links.items() if index in name]
        nodes = range(self.nodes)
        await self._inject_link_fault(links, nodes, f"all links of node {index}")

    async def _inject_link_fault(self, links, nodes, text):
        """Apply one random fault to links of the given nodes for a random time."""
        mode = self.random.choice(FAULTS)
        fault_duration_s = self.random.uniform(0.2, MAX_FAULT_S)
        self._record_fault(f"{text} {mode} for {fault_duration_s:.1f} s")
        for link in links:
            link.set_mode(mode)
        self._excuse_nodes(nodes, also_leaving=False)
        if mode != RESET:
            await asyncio.sleep(fault_duration_s)
            for link in links:
                link.set_mode(PASS)
            self._excuse_nodes(nodes, also_leaving=False)

    async def _suspend_node(self):
        index = self.random.randrange(self.nodes)
        fault_duration_s = self.random.uniform(0.2, MAX_FAULT_S)
        process = self.processes[index]
        self._record_fault(f"node {index} suspended for {fault_duration_s:.1f} s")
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self._excuse_nodes([index])
            await asyncio.sleep(fault_duration_s)
            self._excuse_nodes([index])
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    async def _kill_nodes(self, indices=None):
        indices = indices or [self.random.randrange(self.nodes)]
        self._record_fault(f"nodes {indices} killed")
        # Keep the killed process, as another fault may restart the node meanwhile.
        killed = [(index, self.processes[index]) for index in indices]
        for _, process in killed:
            self.expected_exits.add(process.pid)
            process.kill()
        await asyncio.gather(*(self._restart_after_exit(*item) for item in killed))

    async def _kill_all_nodes(self):
        await self._kill_nodes(list(range(self.nodes)))

    async def _terminate_node(self):
        index = self.random.randrange(self.nodes)
        process = self.processes[index]
        self._record_fault(f"node {index} sent SIGTERM")
        self.expected_exits.add(process.pid)
        if process.poll() is None:
            process.terminate()
            await self._restart_after_exit(index, process)

    async def _restart_after_exit(self, index, process):
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        self._excuse_nodes([index])
        if self.processes[index] is process:
            self.start_node(index)

    async def _reload_node(self):
        index = self.random.randrange(self.nodes)
        self._record_fault(f"node {index} sent SIGHUP")
        if self.processes[index].poll() is None:
            self.processes[index].send_signal(signal.SIGHUP)

    async def _inject_store_fault(self):
        fault = self.random.choice((503, 429, "reset", "silent", "history"))
        fault_duration_s = self.random.uniform(0.3, MAX_FAULT_S)
        self._record_fault(f"store {fault} for {fault_duration_s:.1f} s")
        if fault == "history":
            self.store.compact()
            return
        self.store.fault = fault
        await asyncio.sleep(fault_duration_s)
        self.store.fault = None

    async def _publish_versions(self):
        for _ in range(self.random.randint(1, 3)):
            self.version += self.random.randint(1, 3)
            self.store.put("op/config", self.make_configuration(self.version))
        self._record_fault(f"version {self.version}")

    async def _queue_server_faults(self):
        index = self.random.randrange(self.nodes)
        kinds = self.random.choices(SERVER_FAULTS, k=self.random.randint(1, 4))
        self._record_fault(f"server {index} {kinds}")
        self.servers[index].pending_faults += kinds

    async def _slow_down_server(self):
        server = self.servers[self.random.randrange(self.nodes)]
        fault_duration_s = self.random.uniform(0.5, MAX_FAULT_S)
        server.delay_s = self.random.uniform(0.2, 1.0)
        self._record_fault(f"server {server.instance} takes {server.delay_s:.1f} s")
        await asyncio.sleep(fault_duration_s)
        server.delay_s = WORK_S

    async def _expire_entry(self):
        index = self.random.randrange(self.nodes)
        key = f"servers/{self.servers[index].instance}"
        self._record_fault(f"{key} expires")
        self.store.delete(key)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.put_entry(index)

    async def _list_older_entry(self):
        """List another entry for a server's address for some time."""
        index = self.random.randrange(self.nodes)
        key = f"servers/a-{index}"
        self._record_fault(f"{key} names the address of server {index}")
        entry = self.make_entry(
            self.servers[index],
            self.get_zone(index),
            service=self.get_service(index),
        )
        self.store.put(key, entry)
        await asyncio.sleep(self.random.uniform(1.0, MAX_FAULT_S))
        self.store.delete(key)

    async def _replace_server(self, index=None):
        """Replace a server by a new one at the same address."""
        if index is None:
            index = self.random.randrange(self.nodes)
        if index in self.being_replaced:
            return  # its replacement does not listen yet
        self.being_replaced.add(index)
        old = self.servers[index]
        self._record_fault(f"server {old.instance} crashes and is replaced")
        old.stop()
        self.store.delete(f"servers/{old.instance}")
        self.replaced_servers.append(old)
        host, _, port = old.address.rpartition(":")
        server = Server(f"i-{index}-{len(self.replaced_servers)}")
        self._prepare_server(server)
        self.servers[index] = server
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await server.listen(host, int(port))
        self.put_entry(index)
        self.being_replaced.discard(index)

    async def _repeat_crashing_request(self):
        """Send a request that crashes servers again and again, at any node."""
        number = len(self.crash_requests)
        service = self.random.choice(SERVICES)
        once = self.random.random() < 0.5
        path = f"/{'once' if once else 'safe'}/{service}/crash/{number}"
        self._record_fault(f"request {path} crashes servers")
        self.crash_requests[f"crash-{number}"] = CrashRequest(path, once)
        self.crashing_paths.add(path)
        for attempt in range(CRASH_ATTEMPTS):
            await self._send_crashing(
                number, attempt, self.random.randrange(self.nodes)
            )
            await asyncio.sleep(self.random.expovariate(1 / CRASH_GAP_S))

    async def _send_crashing(self, number, attempt, index):
        request = self.crash_requests[f"crash-{number}"]
        request_id = f"crash-{number}.{attempt}-{index}"
        await self._send(index, request.path, request_id, request.once, True)

    async def _check_crash_requests(self):
        """Send all of these at each node again; return those that reach servers."""
        await asyncio.sleep(CRASH_SETTLE_S)
        began_s = asyncio.get_running_loop().time()
        checked = [
            (number, request)
            for number, request in enumerate(self.crash_requests.values())
            if len(request.arrivals_s) >= CRASHES
        ]
        for attempt in range(LATE_ROUNDS if checked else 0):
            for number, _ in checked:
                for index in range(self.nodes):
                    await self._send_crashing(number, f"late-{attempt}", index)
            # Servers that have crashed again are back for the next round.
            await asyncio.sleep(LATE_ROUND_GAP_S)
        violations = []
        for _, request in checked:
            late = sum(at_s > began_s for at_s in request.arrivals_s)
            if late > MAX_LATE_ARRIVALS:
                violations.append(
                    f"{request.path} got to servers {late} times more after "
                    f"{len(request.arrivals_s) - late}"
                )
        return violations

    async def _inject_faults(self):
        kinds = (
            (self._break_one_link, 12),
            (self._break_node_links, 2),
            (self._suspend_node, 2),
            (self._kill_nodes, 2),
            (self._kill_all_nodes, 0.5),
            (self._terminate_node, 2),
            (self._reload_node, 1),
            (self._inject_store_fault, 2),
            (self._publish_versions, 2),
            (self._queue_server_faults, 8),
            (self._slow_down_server, 2),
            (self._expire_entry, 1),
            (self._list_older_entry, 2),
            (self._replace_server, 1),
            (self._name_limit, 2),
            (self._announce_leaving, 1),
            (self._repeat_crashing_request, 0.7),
        )
        actions, weights = zip(*kinds)
        end_s = asyncio.get_running_loop().time() + self.duration_s
        faults = set()
        while asyncio.get_running_loop().time() < end_s:
            action = self.random.choices(actions, weights)[0]
            faults.add(asyncio.ensure_future(action()))
            await asyncio.sleep(self.random.expovariate(1 / FAULT_GAP_S))
            self._record_unexpected_exits()
        await asyncio.wait_for(asyncio.gather(*faults), FAULTS_END_TIMEOUT_S)

    def _record_unexpected_exits(self):
        for index, process in self.processes.items():
            code = process.poll()
            if code is not None and process.pid not in self.expected_exits:
                self.unexpected_exits.append(
                    f"node {index} exited unexpectedly with status {code}"
                )
                self.expected_exits.add(process.pid)

    # Checks

    async def run_schedule(self):
        """Run the schedule; return descriptions of all violated guarantees."""
        self.started_s = asyncio.get_running_loop().time()
        callers = [
            asyncio.ensure_future(self._send_calls(index))
            for index in range(self.nodes)
        ]
        await self._inject_faults()
        self.store.fault = None
        for server in self.servers:
            server.pending_faults.clear()
        violations = await self._check_recovery()
        violations += await self._check_crash_requests()
        self.stopping = True
        await asyncio.gather(*callers)
        if self.tasks:
            await asyncio.wait(self.tasks)
        # Requests that a link held back may arrive until its other end has closed.
        await asyncio.sleep(1.0)
        self._record_unexpected_exits()
        violations += [
            record.violation for record in self.notice_records if record.violation
        ]
        return violations + self.unexpected_exits + self._check_outcomes()

    async def _check_recovery(self):
        """Return the nodes and paths not served under the newest version in time."""
        self.version += 1
        self.store.put("op/config", self.make_configuration(self.version))
        violations = []
        for index in range(self.nodes):
            paths = [f"/once/{service}/final/{index}" for service in SERVICES]
            for path in (f"/v{self.version}/{index}", *paths):

                async def is_served(path=path, index=index):
                    request_id = f"final-{len(self.outcomes)}-{index}"
                    once = path.startswith("/once/")
                    outcome = await self._send(index, path, request_id, once, True)
                    return outcome.status == 200

                try:
                    await self.wait_for(is_served, RECOVERY_TIMEOUT_S)
                except TimeoutError:
                    violations.append(f"node {index} does not serve {path}")
        return violations

    def count_runs(self, request_id):
        """Return the number of runs of a request at all servers, also replaced ones."""
        servers = self.servers + self.replaced_servers
        return sum(server.runs[request_id] for server in servers)

    def _check_outcomes(self):
        violations = []
        for outcome in self.outcomes:
            runs = self.count_runs(outcome.request_id)
            name = f"{outcome.request_id} at {outcome.at_s - self.started_s:.2f} s"
            if outcome.wrong_answer:
                violations.append(f"{name}: wrong answer: {outcome.wrong_answer}")
            if outcome.error == "timeout":
                violations.append(f"{name}: no answer for {CALL_TIMEOUT_S} s")
            if not outcome.once:
                continue
            if runs > 1:
                violations.append(f"{name}: ran {runs} times")
            if outcome.status in NOT_RUN_STATUSES and runs:
                violations.append(f"{name}: {outcome.status}, but it ran")
            if outcome.status is not None and 200 <= outcome.status < 300 and not runs:
                violations.append(f"{name}: {outcome.status}, but it did not run")
        lines = self.read_logs().splitlines()
        violations += [
            line for line in lines if "Traceback" in line or '"ERROR"' in line
        ]
        return violations

    async def close(self):
        """Stop all processes, stand-ins and links."""
        await super().close()
        for link in self.links.values():
            link.close()


def run_seed(seed, duration_s):
    """Run one seed; return violations, fault schedule, status counts and node logs."""

    async def run():
        soak = Soak(seed, duration_s)
        try:
            await soak.open()
            violations = await soak.run_schedule()
            counts = Counter(str(item.status) for item in soak.outcomes)
            return violations, soak.schedule, counts, soak.read_logs()
        finally:
            await soak.close()

    return asyncio.run(run())


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="one, or a range such as 1-50")
    parser.add_argument("--duration-s", type=float, default=12.0)
    return parser.parse_args(argv)


def main(argv=None):
    """Run the seeds; return 1 if a guarantee was violated."""
    arguments = parse_arguments(argv)
    first, _, last = arguments.seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        violations, schedule, counts, logs = run_seed(seed, arguments.duration_s)
        print(
            f"seed {seed}: {len(violations)} broken, {json.dumps(counts)}", flush=True
        )
        if violations:
            failed.append(seed)
            folder = Path(tempfile.mkdtemp(prefix=f"balsamdeal-soak-{seed}-"))
            (folder / "nodes.log").write_text(logs)
            (folder / "schedule.txt").write_text("\n".join(schedule + violations))
            print("\n".join(violations[:10]), f"\nschedule and logs in {folder}")
    print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
