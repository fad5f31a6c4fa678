"""Answers the platform's questions for readiness, and serves metrics."""

import json
import math

from tornado.httputil import HTTPHeaders

from balsamdeal.net.messages import write_response

# Questions for readiness closer together than this are of one round, in seconds; the
# platform asks once a second.
MISS_GAP_S = 0.5
METRICS_TYPE = "text/plain; version=0.0.4"


class Control:
    """Readiness of a node, and how often it was asked for in vain during a stop.

    ``misses`` counts rounds of questions that were answered with 503 since the stop
    began, ``missed_s`` is the loop's time of the last one.

    :param shell: the ``ProxyShell``.
    """

    def __init__(self, shell):
        self._shell = shell
        self.misses = 0
        self.missed_s = -math.inf

    def answer(self, connection, start_line, headers, body):
        """Answer one request, by its path."""
        path = start_line.path.partition("?")[0]
        if path.endswith("metrics"):
            content = self._shell.metrics.format_prometheus()
            kind = HTTPHeaders({"Content-Type": METRICS_TYPE})
            write_response(connection, "GET", 200, kind, content)
            return
        ready = self._shell.proxy.is_ready() and not self._shell.stopping
        if self._shell.stopping:
            self.note_miss()
        content = json.dumps({"ready": ready}).encode()
        kind = HTTPHeaders({"Content-Type": "application/json"})
        status = 200 if ready else 503
        write_response(connection, start_line.method, status, kind, content)

    def note_miss(self):
        """Count a question that takes callers away, once for each round."""
        now_s = self._shell.loop.time()
        if now_s - self.missed_s >= MISS_GAP_S:
            self.misses += 1
            self.missed_s = now_s
