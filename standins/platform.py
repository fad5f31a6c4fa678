"""Stand-in for the platform: keys with revisions, blocking reads, injected faults.

It serves the read part of Consul's key-value API. ``/admin`` paths publish values
and inject faults: outages, silence, staleness, rollback, a lagging VM list. Each
request counts as one read, a blocking one too; reads over the limit get status 429.
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
    """Return a VM's entry in the platform's VM list.

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
    """Return the document that nodes build from a VM list, for use without sockets.

    :param revision: the revision of the list.
    :param vms: ``balsamdeal.snapshots.Vm`` objects.
    """
    domains = {}
    for vm in vms:
        domains.setdefault(vm.failure_domain, []).append(describe_vm(vm))
    parts = {name: json.dumps({"vms": entries}) for name, entries in domains.items()}
    return build_document(revision, parts)


class Platform:
    """All revisions of each key's value, and the faults that are switched on.

    ``mode`` is empty, ``silent`` (reads get no answer) or ``down`` (connections are
    closed).

    :param reads_per_s: the limit on reads per second, across all readers.
    """

    def __init__(self, reads_per_s=READS_PER_S):
        self.reads_per_s = reads_per_s
        self.revision = 0
        self.history = {}
        self.lag_by_key = {}
        self.changed = asyncio.Event()
        self.mode = ""
        self.reads_by_second = {}
        self.refused = 0

    def publish(self, key, value):
        """Store a value under the next revision, and return the revision.

        :raises ValueError: if the value is over MAX_VALUE_BYTES.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"{len(value)} bytes are over {MAX_VALUE_BYTES}")
        self.revision += 1
        self.history.setdefault(key, []).append((self.revision, value))
        self.notify_watchers()
        return self.revision

    def notify_watchers(self):
        """Wake blocking reads, which then check their key again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_lag(self, key, versions):
        """Serve a key's value from ``versions`` publications ago; 0 ends the lag."""
        self.lag_by_key[key] = versions
        self.notify_watchers()

    def find(self, key):
        """Return the revision and value that a key is served with, or None."""
        history = self.history.get(key)
        if not history:
            return None
        return history[max(0, len(history) - 1 - self.lag_by_key.get(key, 0))]

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
        """Wait until a key's revision differs from ``index``; return find's result.

        An ``index`` of 0 and an unknown key end the wait at once.

        :param wait_s: how long to wait, in seconds; MAX_WAIT_S at most.
        """
        deadline_s = time.monotonic() + min(wait_s, MAX_WAIT_S)
        while True:
            found = self.find(key)
            remaining_s = deadline_s - time.monotonic()
            if found is None or not index or found[0] != index or remaining_s <= 0:
                return found
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass


def _send_response(request, status, body=b"", revision=None):
    headers = HTTPHeaders()
    if revision is not None:
        headers["X-Consul-Index"] = str(revision)
    respond(request, status, headers, body)


def make_handler(platform):
    """Return the request callback for a ``Platform``."""
    tasks = set()

    async def finish_read(request, key, index, wait_s):
        found = await platform.read(key, index, wait_s)
        if platform.mode == "silent":
            return
        if platform.mode == "down":
            request.connection.stream.close()
        elif found is None:
            _send_response(request, 404)
        else:
            _send_response(request, 200, found[1], found[0])

    def read(request, key):
        if not platform.count_read():
            return _send_response(request, 429)
        index = int(request.arguments.get("index", [b"0"])[0])
        wait_s = float(request.arguments.get("wait", [b"0s"])[0].rstrip(b"s"))
        task = asyncio.ensure_future(finish_read(request, key, index, wait_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def handle_admin(request, action, key):
        if action == "publish":
            revision = platform.publish(key, request.body)
            return _send_response(request, 200, json.dumps(revision).encode())
        if action == "hold-back":
            platform.set_lag(key, int(request.body))
        elif action == "mode":
            platform.mode = key
            platform.notify_watchers()
        elif action == "counts":
            content = {
                "reads": sum(platform.reads_by_second.values()),
                "busiest_second": max(platform.reads_by_second.values(), default=0),
                "by_second": platform.reads_by_second,
                "refused": platform.refused,
                "now": int(time.monotonic()),
            }
            return _send_response(request, 200, json.dumps(content).encode())
        return _send_response(request, 200)

    def handle(request):
        parts = request.path.split("/", 3)
        if parts[1] == "admin":
            return handle_admin(request, parts[2], parts[3] if len(parts) > 3 else "")
        if request.path.startswith("/v1/kv/"):
            return read(request, request.path[len("/v1/kv/") :])
        return _send_response(request, 404)

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
