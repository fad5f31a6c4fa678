"""Stand-in for callers: single calls with checked answers, and open-loop load."""

import asyncio
import json
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from balsamdeal.errors import ExchangeError
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.servers import make_request_id

MAX_BODY = 10_000_000
FOREIGN = "foreign"
BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one call.

    ``outcome`` is the node's Balsamdeal-Outcome header (``answered`` without one),
    FOREIGN if the body is not that of this run id, or BROKEN if the exchange failed.
    """

    run_id: str
    key: str
    outcome: str
    status: int
    latency_s: float
    retry_after_s: float
    body: bytes
    request_id: str


class Caller:
    """Calls nodes and checks that each answer belongs to its request."""

    def __init__(self):
        self.pool = ConnectionPool(MAX_BODY)
        self.loop = asyncio.get_running_loop()

    async def call(
        self,
        address,
        workspace,
        method,
        path,
        *,
        run_id=None,
        key="",
        timeout_s=10.0,
        since_s=None,
        headers=None,
    ):
        """Return the ``Result`` of one call.

        :param address: a node's address for callers, or a target's address.
        :param workspace: the workspace to call as.
        :param method: the HTTP method.
        :param path: the path.
        :param run_id: the id under which the target counts runs; a new one if None.
        :param key: an Idempotency-Key, or the empty string.
        :param timeout_s: the time limit of the exchange, in seconds.
        :param since_s: the loop's time from which latency is measured, in seconds; now
            if None.
        :param headers: further headers.
        """
        run_id = run_id or make_request_id()
        started_s = self.loop.time() if since_s is None else since_s
        request_headers = HTTPHeaders(headers or {})
        request_headers["Balsamdeal-Workspace"] = workspace
        request_headers["Run-Id"] = run_id
        if key:
            request_headers["Idempotency-Key"] = key
        try:
            response = await self.pool.fetch(
                address,
                method,
                path,
                request_headers,
                timeout_s=timeout_s,
                non_idempotent=method == "POST",
            )
        except ExchangeError:
            latency_s = self.loop.time() - started_s
            return Result(run_id, key, BROKEN, 0, latency_s, 0.0, b"", "")
        return Result(
            run_id,
            key,
            self._classify(response, run_id),
            response.status,
            self.loop.time() - started_s,
            float(response.headers.get("Retry-After", 0)),
            response.body,
            response.headers.get("Balsamdeal-Request", ""),
        )

    @staticmethod
    def _classify(response, run_id):
        outcome = response.headers.get("Balsamdeal-Outcome", "answered")
        if outcome != "answered" or response.status != 200:
            return outcome
        try:
            content = json.loads(response.body)
        except ValueError:
            return FOREIGN
        return outcome if content.get("run_id") == run_id else FOREIGN

    async def load(self, rate, duration_s, make_call):
        """Start calls at a fixed rate without waiting for answers; return the results.

        :param rate: calls per second.
        :param duration_s: how long to start calls, in seconds.
        :param make_call: a function of the call's number and its due time that
            returns a coroutine.
        """
        started_s = self.loop.time()
        tasks = []
        for number in range(int(rate * duration_s)):
            due_s = started_s + number / rate
            delay_s = due_s - self.loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.ensure_future(make_call(number, due_s)))
        return list(await asyncio.gather(*tasks))
