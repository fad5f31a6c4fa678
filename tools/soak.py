"""A randomized soak: real nodes under faults from outside, promises checked meanwhile.

Each seed plays one schedule of faults on links, processes, store and servers, while
callers at every node send requests that may be repeated and some that may not. What
callers and servers saw is compared at the end. Faults overlap; times are the machine's,
so a seed repeats its schedule, not each interleaving.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from balsamdeal.errors import ExchangeError
from standins.server import MISBEHAVIOURS, Server
from tests.platform.test_messages import make_configuration, make_entry, make_rule
from tools.links import FAULTS, PASS, RESET, Link
from tools.nodes import PlatformNodes

STORE_PORT, SERVER_PORT, FIRST_INBOUND_PORT = 7190, 7191, 7110
SERVICES = ("desk", "board")
CALLS_PER_S = 25.0  # at each node; half of a core for all on the machine used
# A run lasts so long that faults meet work in the middle of it.
WORK_S = 0.1
FAULT_GAP_S = 0.25
LONGEST_FAULT_S = 3.0
# A final answer comes within the route's 1.5 s; a process that was stopped, killed or
# slow on a busy machine is given this much more before a call counts as hung.
HUNG_S = 12.0
# All faults end within this: the longest is a stop of six seconds, and a restart.
FAULTS_END_S = 30.0
# After the last fault: silent connections are noticed, nodes restarted, entries back.
RECOVERY_S = 15.0
TRUTHFUL = (408, 421, 429, 503)


@dataclass
class Outcome:
    """What a caller saw: ``status`` is None where the connection ended first."""

    request_id: str
    once: bool
    at_s: float
    status: int | None = None
    error: str = ""
    wrong: str = ""


class Soak(PlatformNodes):
    """Four nodes with links of their own between all processes.

    A node finds the others at the port on which it listens itself. Each has another
    port, so a link listens on every VM for each of the other nodes.

    :param seed: of the schedule, the callers and the choices of faults.
    :param duration_s: how long faults go on.
    """

    nodes = 4

    def __init__(self, seed, duration_s):
        self.seed = seed
        self.duration_s = duration_s
        self.random = Random(seed)
        self.links = {}
        self.outcomes = []
        self.version = 1
        self.schedule = []
        self.stopping = False
        self.gone_servers = []
        self.replaced = set()
        self.own_ends = []
        self.expected_ends = set()
        self.tasks = set()

    def make_configuration(self, version):
        """Return two routes to each service, and one that names the version."""
        rules = [make_rule(f"/v{version}/", service=SERVICES[0])]
        for service in SERVICES:
            once = make_rule(f"/once/{service}/", service=service)
            rules.append({**once, "kind": "unsafe", "priority": 1})
            rules.append(make_rule(f"/safe/{service}/", service=service))
        return make_configuration(version, *rules)

    def get_service(self, index):
        """Return the service of a VM's server."""
        return SERVICES[index % len(SERVICES)]

    def get_zone(self, index):
        """Return the failure domain of a VM: each service has a server in both."""
        return self.zones[index // 2 % len(self.zones)]

    def put_entry(self, index, **changes):
        """Write a server's entry."""
        super().put_entry(index, service=self.get_service(index), **changes)

    def write_settings(self, index, **changes):
        """Write the settings file of a node; return its path."""
        service = self.get_service(index)
        return super().write_settings(index, service=service, **changes)

    def make_entry(self, server, zone, **changes):
        """Return a server's entry."""
        return make_entry(server.address, zone=zone, **changes)

    def get_inbound_port(self, index):
        """Return a node's own port for other nodes."""
        return FIRST_INBOUND_PORT + index

    def get_server_address(self, index):
        """Return the link to a node's server."""
        return f"{self.get_ip(index)}:{SERVER_PORT}"

    def get_store_address(self, index):
        """Return a node's link to the store."""
        return f"{self.get_ip(index)}:{STORE_PORT}"

    async def open_links(self):
        """Open the links between nodes, to the servers and to the store."""
        for index in range(self.nodes):
            self.servers[index].delay_s = WORK_S
            ip = self.get_ip(index)
            await self._open_link(("store", index), ip, STORE_PORT, self.store.address)
            address = self.servers[index].address
            await self._open_link(("server", index), ip, SERVER_PORT, address)
            for other in range(self.nodes):
                if other != index:
                    port = self.get_inbound_port(other)
                    target = f"{ip}:{self.get_inbound_port(index)}"
                    await self._open_link((other, index), ip, port, target)

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
        # Half of the work is for another VM, over links between nodes.
        path = f"/{kind}/{SERVICES[number % len(SERVICES)]}/{index}/{number}"
        await self._send(index, path, request_id, once, new_connection)

    async def _send(self, index, path, request_id, once, new_connection):
        """Send one request; keep and return what its caller saw."""
        now_s = asyncio.get_running_loop().time()
        outcome = Outcome(request_id, once, now_s)
        self.outcomes.append(outcome)
        try:
            response = await self.call(
                path,
                request_id,
                index,
                timeout_s=HUNG_S,
                new_connection=new_connection,
            )
        except ExchangeError as error:
            outcome.error = error.step
            return outcome
        outcome.status = response.status
        if 200 <= response.status < 300:
            seal = response.headers.get("X-Server-Seal")
            body = response.body.decode()
            if seal != f"seal-{request_id}" or not body.endswith(f" ran {path}"):
                outcome.wrong = f"{seal} {body}"
        return outcome

    # Faults

    def _note(self, text):
        now_s = asyncio.get_running_loop().time() - self.started_s
        self.schedule.append(f"{now_s:.2f} {text}")

    async def _break_link(self):
        name = self.random.choice(sorted(self.links, key=str))
        await self._break([self.links[name]], f"link {name}")

    async def _cut_node(self):
        index = self.random.randrange(self.nodes)
        links = [link for name, link in self.links.items() if index in name]
        await self._break(links, f"all links of node {index}")

    async def _break(self, links, text):
        """Give links one fault together, for a while."""
        mode = self.random.choice(FAULTS)
        for_s = self.random.uniform(0.2, LONGEST_FAULT_S)
        self._note(f"{text} {mode} for {for_s:.1f} s")
        for link in links:
            link.set_mode(mode)
        if mode != RESET:
            await asyncio.sleep(for_s)
            for link in links:
                link.set_mode(PASS)

    async def _suspend(self):
        index = self.random.randrange(self.nodes)
        for_s = self.random.uniform(0.2, LONGEST_FAULT_S)
        process = self.processes[index]
        self._note(f"node {index} suspended for {for_s:.1f} s")
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    async def _kill(self, indices=None):
        indices = indices or [self.random.randrange(self.nodes)]
        self._note(f"nodes {indices} killed")
        # Another fault may restart a node meanwhile, so its process is kept here.
        killed = [(index, self.processes[index]) for index in indices]
        for _, process in killed:
            self.expected_ends.add(process.pid)
            process.kill()
        await asyncio.gather(*(self._restart(*item) for item in killed))

    async def _kill_all(self):
        await self._kill(list(range(self.nodes)))

    async def _terminate(self):
        index = self.random.randrange(self.nodes)
        process = self.processes[index]
        self._note(f"node {index} asked to stop")
        self.expected_ends.add(process.pid)
        if process.poll() is None:
            process.terminate()
            await self._restart(index, process)

    async def _restart(self, index, process):
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.random.uniform(0.0, 1.0))
        if self.processes[index] is process:
            self.start_node(index)

    async def _reload(self):
        index = self.random.randrange(self.nodes)
        self._note(f"node {index} asked to reload")
        if self.processes[index].poll() is None:
            self.processes[index].send_signal(signal.SIGHUP)

    async def _break_store(self):
        fault = self.random.choice((503, 429, "reset", "silent", "history"))
        for_s = self.random.uniform(0.3, LONGEST_FAULT_S)
        self._note(f"store {fault} for {for_s:.1f} s")
        if fault == "history":
            self.store.lose_history()
            return
        self.store.fault = fault
        await asyncio.sleep(for_s)
        self.store.fault = None

    async def _publish(self):
        for _ in range(self.random.randint(1, 3)):
            self.version += self.random.randint(1, 3)
            self.store.put("op/config", self.make_configuration(self.version))
        self._note(f"version {self.version}")

    async def _misbehave(self):
        index = self.random.randrange(self.nodes)
        kinds = self.random.choices(MISBEHAVIOURS, k=self.random.randint(1, 4))
        self._note(f"server {index} {kinds}")
        self.servers[index].misbehaviours += kinds

    async def _slow_down(self):
        server = self.servers[self.random.randrange(self.nodes)]
        for_s = self.random.uniform(0.5, LONGEST_FAULT_S)
        server.delay_s = self.random.uniform(0.2, 1.0)
        self._note(f"server {server.instance} takes {server.delay_s:.1f} s")
        await asyncio.sleep(for_s)
        server.delay_s = WORK_S

    async def _lapse(self):
        index = self.random.randrange(self.nodes)
        key = f"servers/{self.servers[index].instance}"
        self._note(f"{key} lapses")
        self.store.delete(key)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.put_entry(index)

    async def _replace(self):
        """Another server takes the place of one, at its address."""
        index = self.random.randrange(self.nodes)
        if index in self.replaced:
            return  # the next one does not listen yet
        self.replaced.add(index)
        old = self.servers[index]
        self._note(f"server {old.instance} crashes and is replaced")
        old.stop()
        self.store.delete(f"servers/{old.instance}")
        self.gone_servers.append(old)
        host, _, port = old.address.rpartition(":")
        server = Server(f"i-{index}-{len(self.gone_servers)}")
        server.delay_s = WORK_S
        self.servers[index] = server
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await server.listen(host, int(port))
        self.put_entry(index)
        self.replaced.discard(index)

    async def _play_faults(self):
        kinds = (
            (self._break_link, 12),
            (self._cut_node, 2),
            (self._suspend, 2),
            (self._kill, 2),
            (self._kill_all, 0.5),
            (self._terminate, 2),
            (self._reload, 1),
            (self._break_store, 2),
            (self._publish, 2),
            (self._misbehave, 8),
            (self._slow_down, 2),
            (self._lapse, 1),
            (self._replace, 1),
        )
        actions, weights = zip(*kinds)
        end_s = asyncio.get_running_loop().time() + self.duration_s
        faults = set()
        while asyncio.get_running_loop().time() < end_s:
            action = self.random.choices(actions, weights)[0]
            faults.add(asyncio.ensure_future(action()))
            await asyncio.sleep(self.random.expovariate(1 / FAULT_GAP_S))
            self._watch_ends()
        await asyncio.wait_for(asyncio.gather(*faults), FAULTS_END_S)

    def _watch_ends(self):
        for index, process in self.processes.items():
            code = process.poll()
            if code is not None and process.pid not in self.expected_ends:
                self.own_ends.append(f"node {index} ended by itself with {code}")
                self.expected_ends.add(process.pid)

    # Checks

    async def play(self):
        """Play the schedule; return what was broken, as a list of texts."""
        self.started_s = asyncio.get_running_loop().time()
        callers = [
            asyncio.ensure_future(self._send_calls(index))
            for index in range(self.nodes)
        ]
        await self._play_faults()
        self.store.fault = None
        for server in self.servers:
            server.misbehaviours.clear()
        broken = await self._check_recovery()
        self.stopping = True
        await asyncio.gather(*callers)
        if self.tasks:
            await asyncio.wait(self.tasks)
        # Copies that a link held back may arrive until its other end has closed.
        await asyncio.sleep(1.0)
        self._watch_ends()
        return broken + self.own_ends + self._check_outcomes()

    async def _check_recovery(self):
        """Every node serves, by the newest version, and the log names no error."""
        self.version += 1
        self.store.put("op/config", self.make_configuration(self.version))
        broken = []
        for index in range(self.nodes):
            paths = [f"/once/{service}/final/{index}" for service in SERVICES]
            for path in (f"/v{self.version}/{index}", *paths):

                async def served(path=path, index=index):
                    request_id = f"final-{len(self.outcomes)}-{index}"
                    once = path.startswith("/once/")
                    outcome = await self._send(index, path, request_id, once, True)
                    return outcome.status == 200

                try:
                    await self.wait_for(served, RECOVERY_S)
                except TimeoutError:
                    broken.append(f"node {index} does not serve {path}")
        return broken

    def count_runs(self, request_id):
        """Return how often servers ran a request, those that are gone included."""
        servers = self.servers + self.gone_servers
        return sum(server.runs[request_id] for server in servers)

    def _check_outcomes(self):
        broken = []
        for outcome in self.outcomes:
            runs = self.count_runs(outcome.request_id)
            name = f"{outcome.request_id} at {outcome.at_s - self.started_s:.2f} s"
            if outcome.wrong:
                broken.append(f"{name}: wrong answer: {outcome.wrong}")
            if outcome.error == "timeout":
                broken.append(f"{name}: no answer for {HUNG_S} s")
            if not outcome.once:
                continue
            if runs > 1:
                broken.append(f"{name}: ran {runs} times")
            if outcome.status in TRUTHFUL and runs:
                broken.append(f"{name}: {outcome.status}, but it ran")
            if outcome.status is not None and 200 <= outcome.status < 300 and not runs:
                broken.append(f"{name}: {outcome.status}, but it did not run")
        lines = self.read_logs().splitlines()
        broken += [line for line in lines if "Traceback" in line or '"ERROR"' in line]
        return broken

    async def close(self):
        """End everything."""
        await super().close()
        for link in self.links.values():
            link.close()


def play_seed(seed, duration_s):
    """Play one seed; return what was broken, the schedule, counts and logs."""

    async def run():
        soak = Soak(seed, duration_s)
        try:
            await soak.open()
            broken = await soak.play()
            counts = Counter(str(item.status) for item in soak.outcomes)
            return broken, soak.schedule, counts, soak.read_logs()
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
    """Play seeds; return 1 if a promise was broken."""
    arguments = parse_arguments(argv)
    first, _, last = arguments.seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        broken, schedule, counts, logs = play_seed(seed, arguments.duration_s)
        print(f"seed {seed}: {len(broken)} broken, {json.dumps(counts)}", flush=True)
        if broken:
            failed.append(seed)
            folder = Path(tempfile.mkdtemp(prefix=f"balsamdeal-soak-{seed}-"))
            (folder / "nodes.log").write_text(logs)
            (folder / "schedule.txt").write_text("\n".join(schedule + broken))
            print("\n".join(broken[:10]), f"\nschedule and logs in {folder}")
    print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
