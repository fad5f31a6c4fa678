"""Stand-in for targets: slots, work time, drain, faults, and a count of runs.

One process serves any number of targets, each on an address of its own. Every run
is counted under the request's ``Run-Id``, so tests see what really ran. The response
body carries the ``Run-Id`` and padding, so a caller can detect a response that
belongs to another request or is cut short.
"""

import argparse
import asyncio
import json
import sys

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders

from balsamdeal.net.forwarding import ATTEMPT_HEADER, respond

PADDING = "x" * 120


def echo_attempt(request):
    """Return the header that ties an answer to its request, as a dictionary."""
    attempt = request.headers.get(ATTEMPT_HEADER)
    return {} if attempt is None else {ATTEMPT_HEADER: attempt}


class Target:
    """One target; ``mode`` switches a fault on.

    Modes: ``drain`` rejects requests with the headers Not-Run and Draining, ``shed``
    with Not-Run alone; ``fail`` responds 500 after the run, ``hang`` runs and never
    responds, ``cut`` runs and closes the connection in the middle of the response.

    :param slots: the number of concurrent requests; further ones wait.
    :param work_s: the duration of a run in seconds.
    """

    def __init__(self, slots, work_s):
        self.slots = asyncio.Semaphore(slots)
        self.work_s = work_s
        self.mode = ""
        self.runs = {}
        self.cancelled = 0
        self.max_running = 0
        self.running = 0

    async def run(self, request):
        """Run a request unless the mode rejects it, and send the mode's response."""
        run_id = request.headers.get("Run-Id", "")
        if self.mode in ("drain", "shed"):
            headers = HTTPHeaders({"Not-Run": "true", **echo_attempt(request)})
            if self.mode == "drain":
                headers["Draining"] = "true"
            return respond(request, 503, headers, b"")
        async with self.slots:
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            self.runs[run_id] = self.runs.get(run_id, 0) + 1
            try:
                if self.work_s:
                    await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        return self._send_answer(request, run_id)

    def _send_answer(self, request, run_id):
        body = json.dumps({"run_id": run_id, "padding": PADDING}).encode()
        headers = HTTPHeaders({"Content-Type": "application/json"})
        headers.update(echo_attempt(request))
        if self.mode == "hang":
            return
        if self.mode == "cut":
            stream = request.connection.stream
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            stream.write(head + body[: len(body) // 2])
            stream.close()
            return
        respond(request, 500 if self.mode == "fail" else 200, headers, body)


def make_handler(target):
    """Return the request callback of one ``Target``."""
    tasks = set()

    def handle_admin(request):
        action, _, value = request.path[len("/admin/") :].partition("/")
        if action == "mode":
            target.mode = value
        elif action == "work-ms":
            target.work_s = float(value) / 1000
        content = {
            "runs": target.runs,
            "most_at_once": target.max_running,
            "cancelled": target.cancelled,
        }
        respond(request, 200, HTTPHeaders(), json.dumps(content).encode())

    def handle(request):
        if request.path.startswith("/admin/"):
            return handle_admin(request)
        if request.path == "/health":
            # Misleading on purpose: a failing or draining target reports "ok" too.
            return respond(request, 200, HTTPHeaders(), b"ok")
        task = asyncio.ensure_future(target.run(request))
        tasks.add(task)

        def cancel():
            target.cancelled += 1
            task.cancel()

        request.connection.set_close_callback(cancel)
        task.add_done_callback(tasks.discard)

    return handle


async def serve(addresses, slots, work_s):
    """Serve a target on each address until cancelled."""
    for address in addresses:
        host, _, port = address.rpartition(":")
        server = HTTPServer(make_handler(Target(slots, work_s)))
        server.listen(int(port), host)
    await asyncio.Event().wait()


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", required=True, help="comma-separated")
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--work-ms", type=float, default=5.0)
    return parser.parse_args(argv)


def main(argv=None):
    """Run the stand-in."""
    arguments = parse_arguments(argv)
    work_s = arguments.work_ms / 1000
    asyncio.run(serve(arguments.addresses.split(","), arguments.slots, work_s))


if __name__ == "__main__":
    sys.exit(main())
