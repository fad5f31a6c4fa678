"""Serves the platform's readiness probes and the metrics."""

import json
import math

from tornado.httputil import HTTPHeaders

from balsamdeal.net.messages import write_response

# Readiness probes less than this apart belong to one round, in seconds; the platform
# probes once a second.
MIN_ROUND_GAP_S = 0.5
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"


class Control:
    """Readiness of a node, and the failed readiness probes during a stop.

    ``failed_probe_rounds`` counts the rounds of probes that were answered with 503
    since the stop began. ``last_failed_probe_s`` is the event loop's time of the last
    counted one, in seconds.

    :param shell: the ``ProxyShell``.
    """

    def __init__(self, shell):
        self._shell = shell
        self.failed_probe_rounds = 0
        self.last_failed_probe_s = -math.inf

    def answer(self, connection, start_line, headers, body):
        """Answer one request: metrics or readiness, depending on its path."""
        path = start_line.path.partition("?")[0]
        if path.endswith("metrics"):
            content = self._shell.metrics.format_prometheus()
            response_headers = HTTPHeaders({"Content-Type": METRICS_CONTENT_TYPE})
            write_response(connection, "GET", 200, response_headers, content)
            return
        ready = self._shell.proxy.is_ready() and not self._shell.stopping
        if self._shell.stopping:
            self.count_failed_probe()
        content = json.dumps(self._describe(ready)).encode()
        response_headers = HTTPHeaders({"Content-Type": "application/json"})
        status = 200 if ready else 503
        write_response(connection, start_line.method, status, response_headers, content)

    def _describe(self, ready):
        """Return the content of the answer to a probe, with what to look into."""
        replicator = self._shell.replicator
        content = {"ready": ready, "missing": self._shell.proxy.list_missing()}
        if self._shell.stopping:
            content["stopping"] = True
        if replicator.rejection is not None:
            content["rejected_configuration"] = replicator.rejection
        if replicator.unknown_words:
            content["unknown_words"] = replicator.unknown_words
        return content

    def count_failed_probe(self):
        """Count a failed probe if it begins a round.

        Failed probes make callers use other nodes.
        """
        now_s = self._shell.loop.time()
        if now_s - self.last_failed_probe_s >= MIN_ROUND_GAP_S:
            self.failed_probe_rounds += 1
            self.last_failed_probe_s = now_s
