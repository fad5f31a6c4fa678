"""Starts a fleet of real processes on loopback addresses, for demo and measurements.

Tests use it too. Each fleet reserves its own network within 127.0.0.0/8, so that
concurrent fleets do not connect to each other. Only processes that were started here
receive signals.
"""

import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import yaml

from balsamdeal.cli import NodeError, fetch_all, fetch_node
from balsamdeal.errors import BalsamdealError
from balsamdeal.folders import read_parts
from balsamdeal.snapshots import Vm
from standins.platform import describe_vm

ROOT = Path(__file__).resolve().parent.parent
CONFIG_KEY = "balsamdeal/config"
VMS_KEY = "balsamdeal/vms"
CALLER_PORT, PEER_PORT, OPERATOR_PORT, TARGET_PORT = 7001, 7002, 7003, 7004
PLATFORM_PORT = 7000
# A fleet reserves its network by listening here; no member uses this address.
CLAIM_HOST = "127.{}.255.254"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FleetError(BalsamdealError):
    """A fleet's processes could not be started or kept running."""


@dataclass
class Member:
    """One VM of the fleet: a node and its target."""

    vm: str
    region: str
    failure_domain: str
    service: str
    host: str
    leaving: bool = False
    process: subprocess.Popen | None = None
    target: subprocess.Popen | None = None

    def make_vm(self):
        """Return the member as an entry of the VM list."""
        return Vm(
            self.vm,
            self.region,
            self.failure_domain,
            self.service,
            self.peer_address,
            self.operator_address,
            self.leaving,
        )

    @property
    def caller_address(self):
        """The address that callers use."""
        return f"{self.host}:{CALLER_PORT}"

    @property
    def peer_address(self):
        """The address that other nodes use."""
        return f"{self.host}:{PEER_PORT}"

    @property
    def operator_address(self):
        """The address that operators use."""
        return f"{self.host}:{OPERATOR_PORT}"

    @property
    def target_address(self):
        """The address of the target."""
        return f"{self.host}:{TARGET_PORT}"


def claim_network(generator=random.Random()):
    """Reserve a random loopback network that no other fleet on this machine uses.

    If two fleets shared a network, nodes of one would exit as their ports are taken,
    and nodes of the other fleet would answer in their place.

    :param generator: the random generator that orders the candidates.
    :return: the second octet of the addresses, and the socket that reserves them.
    :raises FleetError: if every network is in use.
    """
    octets = list(range(2, 251))
    generator.shuffle(octets)
    for octet in octets:
        claim_socket = socket.socket()
        try:
            claim_socket.bind((CLAIM_HOST.format(octet), PLATFORM_PORT))
            claim_socket.listen(1)
        except OSError:
            claim_socket.close()
            continue
        return octet, claim_socket
    raise FleetError("no loopback network is free", "claim", "127.0.0.0/8")


def plan_members(deployment, count, octet):
    """Return members spread over a deployment's failure domains and services.

    :param deployment: a dictionary as in ``examples/*/deployment.yaml``.
    :param count: the number of VMs.
    :param octet: the second octet of their loopback network.
    """
    domains = deployment["failure_domains"]
    services = list(deployment["services"])
    members = []
    for number in range(count):
        domain = domains[number % len(domains)]
        service = services[number // len(domains) % len(services)]
        host = f"127.{octet}.{1 + number // 200}.{1 + number % 200}"
        members.append(
            Member(f"vm-{number}", deployment["region"], domain, service, host)
        )
    return members


def read_deployment(folder):
    """Return the content of an example folder's ``deployment.yaml``."""
    return yaml.safe_load((Path(folder) / "deployment.yaml").read_text())


class Fleet:
    """A platform, nodes and targets; a context manager that kills them at exit.

    :param folder: the configuration folder to publish.
    :param count: the number of VMs.
    :param variant: the distribution variant of the nodes.
    :param options: additional settings of the daemon, by environment variable name
        without the prefix ``BALSAMDEAL_``.
    """

    def __init__(self, folder, count, variant="tree", options=None):
        self.parts = read_parts(folder)
        octet, self._claim_socket = claim_network()
        self.members = plan_members(read_deployment(folder), count, octet)
        self.variant = variant
        self.options = options or {}
        self.platform_address = f"127.{octet}.0.1:{PLATFORM_PORT}"
        self.platform = None
        self.logs = Path(tempfile.mkdtemp(prefix="balsamdeal-"))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def _spawn(self, name, module, arguments, environment=None):
        with open(self.logs / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env={**os.environ, "PYTHONUNBUFFERED": "1", **(environment or {})},
                stdout=log,
                stderr=log,
            )

    # Platform

    def start_platform(self):
        """Start the platform and publish the configuration and the VM list."""
        self.platform = self._spawn(
            "platform", "standins.platform", ["--address", self.platform_address]
        )
        self.wait_for(lambda: self.administrate("counts") is not None, 10)
        self.publish()
        self.publish_vms()

    def administrate(self, path, body=b""):
        """Send an admin request to the platform.

        :return: the decoded answer, ``True`` if that is empty or zero, ``None`` if the
            platform is unreachable or answers with an error.
        """
        url = f"http://{self.platform_address}/admin/{path}"
        try:
            request = urllib.request.Request(url, data=body, method="POST")
            with urllib.request.urlopen(request, timeout=5) as response:
                return json.loads(response.read() or b"null") or True
        except OSError:
            return None

    def publish(self, **changes):
        """Publish the configuration with changes by part name; return the revision."""
        self.parts.update(changes)
        return self.publish_text(json.dumps({"format": 1, "parts": self.parts}))

    def publish_text(self, text, key=CONFIG_KEY):
        """Publish content, then the pointer that refers to it; return its revision."""
        digest = hashlib.sha256(text.encode()).hexdigest()
        content_key = f"{key}/{digest}"
        self.administrate(f"publish/{content_key}", text.encode())
        pointer = {"format": 1, "content": {"key": content_key, "sha256": digest}}
        return self.administrate(f"publish/{key}", json.dumps(pointer).encode())

    def publish_vms(self):
        """Publish the VM list of the current members; return its revision."""
        vms = [describe_vm(member.make_vm()) for member in self.members]
        return self.publish_text(json.dumps({"vms": vms}), VMS_KEY)

    # Members

    def start_target(self, member, slots=20, work_ms=5.0):
        """Start a member's target."""
        member.target = self._spawn(
            f"{member.vm}-target",
            "standins.target",
            [
                f"--addresses={member.target_address}",
                f"--slots={slots}",
                f"--work-ms={work_ms}",
            ],
        )

    def start_node(self, member, platform_address=None):
        """Start a member's node."""
        seeds = random.Random(member.vm).sample(
            [item.peer_address for item in self.members if item is not member],
            min(3, len(self.members) - 1),
        )
        settings = {
            "VM": member.vm,
            "REGION": member.region,
            "FAILURE_DOMAIN": member.failure_domain,
            "SERVICE": member.service,
            "CALLER_ADDRESS": member.caller_address,
            "PEER_ADDRESS": member.peer_address,
            "OPERATOR_ADDRESS": member.operator_address,
            "TARGET_ADDRESS": member.target_address,
            "PLATFORM_ADDRESS": platform_address or self.platform_address,
            "SEEDS": ",".join(seeds),
            "DISTRIBUTION": self.variant,
            "FLEET_SIZE": str(len(self.members)),
            **self.options,
        }
        environment = {f"BALSAMDEAL_{name}": text for name, text in settings.items()}
        member.process = self._spawn(member.vm, "balsamdeal.daemon", [], environment)

    def start(self, targets=True, slots=20, work_ms=5.0):
        """Start everything and wait until all nodes are ready."""
        self.start_platform()
        for member in self.members:
            if targets:
                self.start_target(member, slots, work_ms)
            self.start_node(member)
        self.wait_ready()

    def wait_ready(self, timeout_s=60):
        """Wait until every node that was started is ready."""
        started = [member for member in self.members if member.process is not None]

        def ready():
            for member in started:
                if member.process.poll() is not None:
                    raise FleetError("node process exited", "start", member.vm)
            return all(map(self.is_ready, started))

        self.wait_for(ready, timeout_s)

    def running(self):
        """Return the members whose node process is alive."""
        return [m for m in self.members if m.process and m.process.poll() is None]

    def is_ready(self, member):
        """Return whether a node reports that it is ready for callers."""
        try:
            return fetch_node(member.operator_address, "/ready")["ready"]
        except NodeError:
            return False

    def fetch_status(self, member):
        """Return a node's status."""
        return fetch_node(member.operator_address, "/status")

    def fetch_statuses(self, members=None):
        """Return the statuses of nodes that answer, by VM."""
        members = self.running() if members is None else members
        by_address = {member.operator_address: member.vm for member in members}
        answers = fetch_all(list(by_address), "/status")
        return {
            by_address[address]: answer
            for address, answer in answers.items()
            if not isinstance(answer, NodeError)
        }

    def fetch_counters(self, member):
        """Return a node's counters."""
        return fetch_node(member.operator_address, "/metrics.json")["counters"]

    def switch_target(self, member, action):
        """Send an admin request like ``mode/hang`` to a target; return its counts."""
        return fetch_node(member.target_address, f"/admin/{action}")

    def fetch_runs(self):
        """Return the number of runs by run id, summed over all targets that answer."""
        runs = {}
        for member in self.members:
            try:
                counts = self.switch_target(member, "runs")["runs"]
            except NodeError:
                continue
            for run_id, count in counts.items():
                runs[run_id] = runs.get(run_id, 0) + count
        return runs

    def wait_for(self, condition, timeout_s):
        """Poll until a condition is true.

        :raises TimeoutError: if it is still false after the timeout.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"condition not met within {timeout_s} s; logs in {self.logs}"
                )
            time.sleep(0.02)

    def wait_revision(self, revision, members=None, timeout_s=30, channel="config"):
        """Wait until nodes run a revision or a newer one; return the seconds waited."""
        members = self.running() if members is None else members
        started_s = time.monotonic()

        def is_in_force():
            statuses = self.fetch_statuses(members)
            return len(statuses) == len(members) and all(
                status["channels"][channel]["revision"] >= revision
                for status in statuses.values()
            )

        self.wait_for(is_in_force, timeout_s)
        return time.monotonic() - started_s

    def measure_convergence(self, revision, published_s, members=None):
        """Return the seconds from a publication until it was in force everywhere.

        :param revision: the revision published.
        :param published_s: the time of publication, in seconds since the epoch.
        :param members: the members to wait for; all running ones if None.
        """
        members = self.running() if members is None else members
        self.wait_revision(revision, members)
        statuses = self.fetch_statuses(members).values()
        applied = [item["channels"]["config"]["applied_at_s"] for item in statuses]
        return max(applied) - published_s

    def stop(self):
        """Kill every process that was started here and release the network."""
        processes = [self.platform]
        for member in self.members:
            processes += [member.process, member.target]
        processes = [p for p in processes if p is not None and p.poll() is None]
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait()
        self._claim_socket.close()


def read_usage(process):
    """Return the processor time in seconds and the resident bytes of a process."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, pages * PAGE_BYTES
