"""Stand-in for the platform: keys with revisions, blocking reads, and switches.

It answers the read part of Consul's key-value API. ``/admin`` paths publish values
and switch faults on: outages, silence, staleness, rollback, a lagging VM list.
Every call counts as one read, a waiting watch too; over the limit it answers 429.
"""

import argparse
import asyncio
import json
import sys
import time

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from balsamdeal.documents import build_document
from balsamdeal.net.forwarding import respond

READS_PER_S = 2000
MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0


def describe_vm(vm):
    """Return a VM as the platform's list has it.

    :param vm: a ``balsamdeal.snapshots.Vm``.
    """
    return {
        "vm": vm.name,
        "region": vm.region,
        "failure_domain": vm.failure_domain,
        "service": vm.service,
        "peer_address": vm.peer_address,
        "operator_address": vm.operator_address,
        "state": "leaving" if vm.leaving else "live",
    }


def make_vms_document(revision, vms):
    """Return the document that nodes make of a VM list, for use without sockets.

    :param revision: the revision of the list.
    :param vms: ``balsamdeal.snapshots.Vm`` objects.
    """
    domains = {}
    for vm in vms:
        domains.setdefault(vm.failure_domain, []).append(describe_vm(vm))
    parts = {name: json.dumps({"vms": entries}) for name, entries in domains.items()}
    return build_document(revision, parts)


class Platform:
    """Values with all their revisions, and the switches.

    :param reads_per_s: the limit across all readers.
    """

    def __init__(self, reads_per_s=READS_PER_S):
        self.reads_per_s = reads_per_s
        self.revision = 0
        self.history = {}
        self.held_back = {}
        self.changed = asyncio.Event()
        self.mode = ""
        self.reads_by_second = {}
        self.refused = 0

    def publish(self, key, value):
        """Store a value under the next revision, and return the revision."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{len(value)} bytes are over {MAX_VALUE_BYTES}")
        self.revision += 1
        self.history.setdefault(key, []).append((self.revision, value))
        self.wake()
        return self.revision

    def wake(self):
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def hold_back(self, key, versions):
        """Serve a key ``versions`` publications behind; 0 ends it."""
        self.held_back[key] = versions
        self.wake()

    def find(self, key):
        """Return revision and value of a key as it is served, or None."""
        history = self.history.get(key)
        if not history:
            return None
        return history[max(0, len(history) - 1 - self.held_back.get(key, 0))]

    def count_read(self):
        """Count a read; return whether it is within the limit."""
        second = int(time.monotonic())
        count = self.reads_by_second.get(second, 0) + 1
        self.reads_by_second[second] = count
        if count > self.reads_per_s:
            self.refused += 1
            return False
        return True

    async def read(self, key, index, wait_s):
        """Return revision and value, after waiting for a revision above ``index``."""
        deadline_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            found = self.find(key)
            left_s = deadline_s - time.monotonic()
            if found is None or not index or found[0] != index or left_s <= 0:
                return found
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


def _answer(request, status, body=b"", revision=None):
    headers = HTTPHeaders()
    if revision is not None:
        headers["X-Consul-Index"] = str(revision)
    respond(request, status, headers, body)


def make_handler(platform):
    """Return the request callback for a ``Platform``."""
    tasks = set()

    async def answer_read(request, key, index, wait_s):
        found = await platform.read(key, index, wait_s)
        if platform.mode == "silent":
            return
        if platform.mode == "down":
            request.connection.stream.close()
        elif found is None:
            _answer(request, 404)
        else:
            _answer(request, 200, found[1], found[0])

    def read(request, key):
        if not platform.count_read():
            return _answer(request, 429)
        index = int(request.arguments.get("index", [b"0"])[0])
        wait_s = float(request.arguments.get("wait", [b"0s"])[0].rstrip(b"s"))
        task = asyncio.ensure_future(answer_read(request, key, index, wait_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def administrate(request, action, key):
        if action == "publish":
            revision = platform.publish(key, request.body)
            return _answer(request, 200, json.dumps(revision).encode())
        if action == "hold-back":
            platform.hold_back(key, int(request.body))
        elif action == "mode":
            platform.mode = key
            platform.wake()
        elif action == "counts":
            content = {
                "reads": sum(platform.reads_by_second.values()),
                "busiest_second": max(platform.reads_by_second.values(), default=0),
                "by_second": platform.reads_by_second,
                "refused": platform.refused,
                "now": int(time.monotonic()),
            }
            return _answer(request, 200, json.dumps(content).encode())
        return _answer(request, 200)

    def handle(request):
        parts = request.path.split("/", 3)
        if parts[1] == "admin":
            return administrate(request, parts[2], parts[3] if len(parts) > 3 else "")
        if request.path.startswith("/v1/kv/"):
            return read(request, request.path[len("/v1/kv/") :])
        return _answer(request, 404)

    return handle


async def serve(address):
    """Serve a platform until cancelled.

    :param address: ``IP:port``.
    """
    host, _, port = address.rpartition(":")
    server = HTTPServer(
        make_handler(Platform()),
        max_body_size=MAX_VALUE_BYTES,
        idle_connection_timeout=60,
    )
    server.listen(int(port), host)
    await asyncio.Event().wait()


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    return parser.parse_args(argv)


def main(argv=None):
    """Run the stand-in."""
    asyncio.run(serve(parse_arguments(argv).address))


if __name__ == "__main__":
    sys.exit(main())
