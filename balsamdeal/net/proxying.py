"""I/O of the request path: sockets, timers and payloads around ``core.proxy``.

Everything runs on one event loop in one thread. Payloads and answers are stored here,
under the ids that events and effects carry. Every exchange ends in exactly one event.
"""

import asyncio
import json
import logging
from dataclasses import dataclass, replace

from tornado.httputil import HTTPHeaders

from balsamdeal.core import request_events
from balsamdeal.core.calls import CALL_TIMER
from balsamdeal.core.proxy import Proxy
from balsamdeal.core.routes import Limits
from balsamdeal.core.target_work import WORK_TIMER
from balsamdeal.errors import ExchangeError
from balsamdeal.log import DecisionLog
from balsamdeal.metrics import Metrics
from balsamdeal.net.answer_checks import (
    MISDIRECTED,
    check_answer,
    make_request_id_check,
    read_notice,
)
from balsamdeal.net.connections import ConnectionPool, Exchange, ResponseBuffers
from balsamdeal.net.control import Control
from balsamdeal.net.crash_messages import CRASHES_PATH, CrashMessenger
from balsamdeal.net.following import POLL_PATH, ConfigReplicator
from balsamdeal.net.link_sender import LinkSender
from balsamdeal.net.messages import (
    HOP_BY_HOP_HEADERS,
    Answer,
    Payload,
    compute_digest,
    filter_headers,
    make_headers,
    write_response,
)
from balsamdeal.net.node_codec import (
    MAX_HEAD_BYTES,
    NodeCodec,
    make_reply_headers,
    make_work_headers,
)
from balsamdeal.net.request_reader import KeepaliveServer, RequestServer
from balsamdeal.net.tasks import Tasks

logger = logging.getLogger(__name__)

# How long a node waits for a reply of another node, or for the answer of its target,
# beyond the time left of the work itself.
REPLY_SLACK_S = 0.3
# Non-idempotent work is sent to the target on connections last used within this time:
# the target may close an older one while the work is in transit.
NON_IDEMPOTENT_IDLE_S = 1.0
# Largest header block that is read; one above the configured limit is answered with
# 431.
MAX_HEADER_BYTES = 262_144
# Of a target's answer.
MAX_ANSWER_BYTES = 8_388_608
# Of all unfinished answers, those of nodes and of the source included: a share of the
# memory that a VM has beside a node's own. An answer is copied once it is whole.
OWN_MEMORY_BYTES = 45_000_000
ANSWERS_MEMORY_SHARE = 0.3
# How long the target may take to accept a connection before a lost run is replied to.
CHECK_TIMEOUT_S = 0.2
# Status and header of the answer to a message of another node that cannot be decoded:
# nothing of it has run. The status alone may be that of a library or another server.
UNDECODED = 400
UNDECODED_HEADER = "Not-Decoded"
# Idle connections are kept this much longer than the limit, so that a request that is
# in transit at the limit still arrives.
IDLE_TIMEOUT_MARGIN_S = 1.0


@dataclass(slots=True)
class PendingCall:
    """A caller's request whose answer has not been sent yet, and its connection.

    ``received_s`` is the loop's time in seconds.
    """

    connection: object
    payload: Payload
    received_s: float


@dataclass(slots=True)
class PendingWork:
    """Work for the own target: its payload, and where its reply is sent.

    ``attempt_id`` is set for work from callers of this node, ``connection`` for work
    from other nodes.
    """

    payload: Payload
    caller_service: str
    request_id: str
    attempt_id: int | None
    connection: object
    exchange: object = None
    answer: object = None


class ProxyShell:
    """Runs the reducer of the request path, and owns its servers and connections.

    :param settings: the ``ProxySettings``.
    :param names: the ``HeaderNames`` of callers and targets.
    """

    def __init__(self, settings, names):
        self.settings = settings
        self.names = names
        self.loop = asyncio.get_running_loop()
        self.proxy = Proxy.from_config(settings)
        self.metrics = Metrics({})
        self.codec = NodeCodec(names)
        self.decisions = DecisionLog(logging.getLogger("balsamdeal.decisions"))
        self.buffers = ResponseBuffers(_bound_answers_bytes(settings.memory_mb))
        self.peer_pool = ConnectionPool(
            MAX_ANSWER_BYTES + MAX_HEAD_BYTES, buffers=self.buffers
        )
        self.target_pool = ConnectionPool(
            MAX_ANSWER_BYTES, True, NON_IDEMPOTENT_IDLE_S, self.buffers
        )
        self.link_sender = LinkSender(
            self.loop, self.proxy.link, self._report_large_reply
        )
        self.stopping = False
        self.control = Control(self)
        self.replicator = ConfigReplicator(self)
        self.crash_messenger = CrashMessenger(self)
        self.servers = []
        self._calls = {}
        self._attempts = {}
        self._answers = {}
        self._answers_by_call = {}
        self._work = {}
        self._timers = {}
        self.tasks = Tasks(self.loop, self.metrics.count)
        self._last_id = 0
        rewritten_names = {
            name.lower()
            for name in (
                names.time_left_ms,
                names.caller_service,
                names.instance,
            )
        }
        # The target gets the caller's Host header, as it is part of the request.
        self._excluded_headers = (HOP_BY_HOP_HEADERS | rewritten_names) - {"host"}
        self._effect_handlers = {
            request_events.SetTimer: self._set_timer,
            request_events.SendAttempt: self._send_attempt,
            request_events.CancelAttempt: self._cancel_attempt,
            request_events.RelayAnswer: self._relay_answer,
            request_events.RefuseCall: self._refuse_call,
            request_events.DropCall: self._drop_call,
            request_events.RunWork: self._run_work,
            request_events.CheckTarget: self._check_target,
            request_events.CancelWork: self._cancel_work,
            request_events.ReplyWork: self._reply_work,
            request_events.LogDecision: self._write_decision,
            **self.replicator.effect_handlers,
            **self.crash_messenger.effect_handlers,
        }

    # Lifecycle

    def listen(self):
        """Open the servers for callers, other nodes, readiness and metrics.

        :raises OSError: when an address cannot be bound.
        """
        settings = self.settings
        self._open_server(settings.caller_address, self._receive_call, self._get_limits)
        self._open_server(
            settings.node_address, self._receive_from_node, self._get_hop_limits
        )
        self._open_server(settings.ready_address, self.control.answer, self._get_limits)
        if settings.metrics_address:
            address = settings.metrics_address
            self._open_server(address, self.control.answer, self._get_limits)

    def _open_server(self, address, handle, get_limits):
        limits = get_limits()
        server = KeepaliveServer(
            RequestServer(get_limits, handle),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=limits.body_bytes,
            max_buffer_size=limits.body_bytes + MAX_HEADER_BYTES,
            idle_connection_timeout=limits.idle_timeout_s,
        )
        host, _, port = address.rpartition(":")
        server.listen(int(port), host, backlog=1024)
        self.servers.append(server)

    def _get_limits(self):
        configuration = self.proxy.calls.configuration
        return configuration.limits if configuration else Limits()

    def _get_hop_limits(self):
        """Return the limits of messages from nodes: a caller's body plus a head."""
        limits = self._get_limits()
        return replace(limits, body_bytes=limits.body_bytes + MAX_HEADER_BYTES)

    def apply_limits(self):
        """Apply the idle timeout of the configuration in force to the servers."""
        # A shortened timeout is not applied: callers that have not received it yet
        # still reuse connections up to the longer one.
        timeout_s = self._get_limits().idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        for server in self.servers:
            longest_s = max(timeout_s, server.conn_params.header_timeout)
            server.conn_params.header_timeout = longest_s

    def drop_idle_connections(self):
        """Close all idle connections, which may be dead or outdated."""
        for pool in (self.peer_pool, self.target_pool, self.replicator.pool):
            pool.close()

    def stop(self):
        """Close the servers and connections, and cancel all tasks."""
        self.replicator.stop()
        self.link_sender.stop()
        for server in self.servers:
            server.stop()
        self.tasks.cancel()
        self.drop_idle_connections()

    def is_idle(self):
        """Return whether all calls and work have been answered, and the answers sent.

        Those that the kernel has taken are sent even if this process ends.
        """
        return self.proxy.is_idle() and not any(
            server.is_writing() for server in self.servers
        )

    def handle(self, event):
        """Pass an event to the reducer and run the effects that it returns.

        :param event: an event of the core, such as those of ``core.request_events``.
        """
        for effect in self.proxy.reduce(event):
            self._effect_handlers[type(effect)](effect)

    def next_id(self):
        """Return an id that is unique in this process."""
        self._last_id += 1
        return self._last_id

    def _set_timer(self, effect):
        key = (effect.kind, effect.subject)
        self._clear_timer(*key)
        self._timers[key] = self.loop.call_at(effect.at_s, self._fire_timer, key)

    def _fire_timer(self, key):
        self._timers.pop(key, None)
        self.handle(request_events.TimerFired(*key, self.loop.time()))

    def _clear_timer(self, kind, subject):
        timer = self._timers.pop((kind, subject), None)
        if timer is not None:
            timer.cancel()

    def _write_decision(self, effect):
        self.metrics.count(effect.event.replace(" ", "_"))
        self.decisions.write(effect, self.loop.time())

    # Callers

    def _receive_call(self, connection, start_line, headers, body):
        now_s = self.loop.time()
        call_id = self.next_id()
        payload = Payload(
            start_line.method,
            start_line.path,
            filter_headers(headers, self._excluded_headers),
            body,
        )
        self._calls[call_id] = PendingCall(connection, payload, now_s)
        connection.set_close_callback(lambda: self._handle_caller_close(call_id))
        self.handle(
            request_events.CallReceived(
                call_id,
                headers.get(self.names.request_id, ""),
                headers.get("Host", ""),
                start_line.path,
                _parse_milliseconds(headers.get(self.names.time_left_ms)),
                now_s,
                compute_digest(payload),
            )
        )

    def _handle_caller_close(self, call_id):
        if call_id in self._calls:
            self.handle(request_events.CallerLeft(call_id, self.loop.time()))

    def _end_call(self, call_id):
        self._clear_timer(CALL_TIMER, call_id)
        for attempt_id in self._answers_by_call.pop(call_id, ()):
            self._answers.pop(attempt_id, None)
        return self._calls.pop(call_id, None)

    def _drop_call(self, effect):
        self._end_call(effect.call_id)

    def _relay_answer(self, effect):
        answer = self._answers.pop(effect.attempt_id)
        call = self._end_call(effect.call_id)
        if call is None:
            return
        headers = make_headers(answer.headers)
        self._respond(effect, call, answer.status, headers, answer.body, answer.reason)

    def _refuse_call(self, effect):
        call = self._end_call(effect.call_id)
        if call is None:
            return
        headers = HTTPHeaders({"Content-Type": "application/json"})
        request_id = call.payload.get_header(self.names.request_id)
        if request_id:
            headers[self.names.request_id] = request_id
        if effect.retry_after_s is not None:
            headers["Retry-After"] = f"{effect.retry_after_s:.3f}"
        body = json.dumps({"reason": effect.reason}).encode()
        self._respond(effect, call, effect.status, headers, body, None)

    def _respond(self, effect, call, status, headers, body, reason):
        if self.stopping:
            headers["Connection"] = "close"
        connection = call.connection
        write_response(connection, call.payload.method, status, headers, body, reason)
        self.metrics.count(f"responses_{status}")
        if effect.route:
            latency_s = self.loop.time() - call.received_s
            self.metrics.record_latency(effect.service, effect.route, latency_s)

    # Attempts

    def _send_attempt(self, effect):
        payload = self._calls[effect.call_id].payload
        if effect.local:
            self._start_local_work(effect, payload)
            return
        exchange = Exchange(effect.node_address)
        self._attempts[effect.attempt_id] = exchange
        self.tasks.spawn(self._exchange_attempt(effect, payload, exchange))

    def _start_local_work(self, effect, payload):
        work_id = self.next_id()
        request_id = payload.get_header(self.names.request_id)
        self._attempts[effect.attempt_id] = work_id
        self._work[work_id] = PendingWork(
            payload, self.settings.service, request_id, effect.attempt_id, None
        )
        now_s = self.loop.time()
        call = self.proxy.calls.calls[effect.call_id]
        digest = call.event.digest
        event = request_events.make_work(effect, work_id, request_id, now_s, digest)
        self.handle(event)

    async def _exchange_attempt(self, effect, payload, exchange):
        message = self.codec.encode_work(effect, self.settings.service, payload)
        self.link_sender.record_sent(len(message))
        try:
            response = await self.peer_pool.fetch(
                effect.node_address,
                "POST",
                "/",
                make_work_headers(effect, self.loop.time()),
                message,
                timeout_s=effect.time_left_s + REPLY_SLACK_S,
                non_idempotent=not effect.idempotent,
                exchange=exchange,
            )
            undecoded = response.status == UNDECODED
            if undecoded and UNDECODED_HEADER in response.headers:
                raise ExchangeError(
                    "work was not decoded", "decode", effect.node_address, False
                )
            request_id = payload.get_header(self.names.request_id)
            reply, answer = self.codec.decode_reply(
                response.body,
                effect.node_address,
                request_id,
                response.headers,
                self.loop.time(),
            )
        except ExchangeError as error:
            self._attempts.pop(effect.attempt_id, None)
            now_s = self.loop.time()
            self.handle(
                request_events.AttemptFailed(
                    effect.attempt_id, error.written, error.step, now_s
                )
            )
            return
        self._attempts.pop(effect.attempt_id, None)
        if answer is not None:
            self._store_answer(effect.call_id, effect.attempt_id, answer)
        self._handle_reply(effect.attempt_id, reply, answer)

    def _handle_reply(self, attempt_id, reply, answer):
        notice, size = request_events.NO_NOTICE, 0
        if answer is not None:
            notice = read_notice(answer.headers, self.names)
            size = len(answer.body)
        now_s = self.loop.time()
        self.handle(
            request_events.AttemptReplied(attempt_id, reply, now_s, notice, size)
        )

    def _store_answer(self, call_id, attempt_id, answer):
        if call_id not in self._calls:
            return
        self._answers[attempt_id] = answer
        self._answers_by_call.setdefault(call_id, []).append(attempt_id)

    def _cancel_attempt(self, effect):
        pending = self._attempts.pop(effect.attempt_id, None)
        if isinstance(pending, Exchange):
            pending.cancel()
            if effect.silent:
                self.peer_pool.drop_idle(pending.address)
        elif pending is not None:
            self._abandon_work(pending)

    # Work at the own target

    def _receive_from_node(self, connection, start_line, headers, body):
        if start_line.path == POLL_PATH:
            self.replicator.receive_poll(connection, body)
        elif start_line.path == CRASHES_PATH:
            self.crash_messenger.receive(connection, body)
        else:
            self._receive_work(connection, headers, body)

    def _receive_work(self, connection, headers, body):
        now_s = self.loop.time()
        work_id = self.next_id()
        try:
            event, caller_service, payload = self.codec.decode_work(
                body, work_id, now_s, headers
            )
        except ExchangeError as error:
            self.refuse_message(connection, "malformed work", error)
            return
        self._work[work_id] = PendingWork(
            payload, caller_service, event.request_id, None, connection
        )
        connection.set_close_callback(lambda: self._abandon_work(work_id))
        self.handle(event)

    def refuse_message(self, connection, log_message, error):
        """Log a message of another node that cannot be decoded, and say so to it."""
        logger.warning(log_message, extra={"reason": str(error)})
        self.metrics.count("bad_messages")
        headers = HTTPHeaders({UNDECODED_HEADER: "1"})
        write_response(connection, "POST", UNDECODED, headers, b"")

    def _abandon_work(self, work_id):
        self._clear_timer(WORK_TIMER, work_id)
        if work_id in self._work:
            self.handle(request_events.WorkAbandoned(work_id, self.loop.time()))
            self._work.pop(work_id, None)

    def _run_work(self, effect):
        work = self._work[effect.work_id]
        work.exchange = Exchange()
        self.metrics.count("work_started")
        self.tasks.spawn(self._exchange_work(effect, work))

    async def _exchange_work(self, effect, work):
        payload = work.payload
        names = self.names
        headers = make_headers(payload.headers)
        headers[names.time_left_ms] = str(int(effect.time_left_s * 1000))
        headers[names.instance] = effect.instance
        headers[names.caller_service] = work.caller_service
        try:
            response = await self.target_pool.fetch(
                self.settings.target_address,
                payload.method,
                payload.path,
                headers,
                payload.body,
                timeout_s=effect.time_left_s + REPLY_SLACK_S,
                non_idempotent=not effect.idempotent,
                exchange=work.exchange,
                request_id=work.request_id,
                matches_request=make_request_id_check(names, work.request_id),
            )
            check_answer(response, names, self.settings.target_address)
        except ExchangeError as error:
            now_s = self.loop.time()
            self.handle(
                request_events.TargetFailed(
                    effect.work_id, error.written, error.step, now_s
                )
            )
            return
        self._handle_target_answer(effect, work, response)

    def _handle_target_answer(self, effect, work, response):
        status = response.status
        misdirected = status == MISDIRECTED
        declined = misdirected or self.names.declined in response.headers
        work.answer = Answer(
            status,
            response.reason,
            filter_headers(response.headers, self._excluded_headers),
            response.body,
        )
        if declined:
            self.metrics.count("work_declined")
            self._log_declined(effect, work.request_id, response)
        self.handle(
            request_events.TargetReplied(
                effect.work_id,
                declined,
                misdirected,
                status >= 500,
                self.loop.time(),
                read_notice(work.answer.headers, self.names),
                len(response.body),
            )
        )

    def _log_declined(self, effect, request_id, response):
        fields = {
            "request": request_id,
            "instance": effect.instance,
            "status": response.status,
            "id_echoed": self.names.request_id in response.headers,
            "connection_reused": response.reused,
        }
        decision = request_events.LogDecision(
            "target declined", fields, routine=effect.idempotent
        )
        self.decisions.write(decision, self.loop.time())

    def _check_target(self, effect):
        self.tasks.spawn(self._exchange_check())

    async def _exchange_check(self):
        address = self.settings.target_address
        refused = await self.target_pool.is_refused(address, CHECK_TIMEOUT_S)
        self.metrics.count("target_checks")
        self.handle(request_events.TargetChecked(refused, self.loop.time()))

    def _cancel_work(self, effect):
        self._clear_timer(WORK_TIMER, effect.work_id)
        work = self._work.get(effect.work_id)
        if work is not None and work.exchange is not None:
            work.exchange.cancel()
        if effect.silent:
            self.target_pool.drop_idle(self.settings.target_address)

    def _reply_work(self, effect):
        self._clear_timer(WORK_TIMER, effect.work_id)
        work = self._work.pop(effect.work_id, None)
        if work is None:
            return
        reply = effect.reply
        if work.attempt_id is not None:
            self._finish_local_work(work, reply)
            return
        answer = work.answer if reply.outcome == request_events.ANSWERED else None
        message = self.codec.encode_reply(reply, answer, work.request_id)
        headers = make_reply_headers(reply, self.loop.time())
        self.link_sender.send(
            work.connection, headers, message, effect.due_s, work.request_id
        )

    def _report_large_reply(self, request_id, size, unsent, took_s):
        self.metrics.count("large_replies")
        self.metrics.count("large_replies_dropped", int(unsent > 0))
        self.metrics.count("large_reply_ms", round(took_s * 1000))
        fields = {
            "request": request_id,
            "bytes": size,
            "unsent": unsent,
            "ms": round(took_s * 1000),
            "waiting_bytes": self.proxy.link.count_bytes(),
        }
        event = "large reply dropped" if unsent else "large reply sent"
        decision = request_events.LogDecision(event, fields, routine=True)
        self.decisions.write(decision, self.loop.time())

    def _finish_local_work(self, work, reply):
        attempt_id = work.attempt_id
        self._attempts.pop(attempt_id, None)
        call = self.proxy.calls.attempts.get(attempt_id)
        answer = work.answer if reply.outcome == request_events.ANSWERED else None
        if call is not None and answer is not None:
            self._store_answer(call.event.call_id, attempt_id, answer)
        # The reply may come while the event that sent the attempt is being reduced.
        self.loop.call_soon(self._handle_reply, attempt_id, reply, answer)


def _bound_answers_bytes(memory_mb):
    """Return how many bytes all unfinished answers may have on a VM."""
    free_bytes = max(0.0, memory_mb * 1e6 - OWN_MEMORY_BYTES)
    return max(MAX_ANSWER_BYTES, round(ANSWERS_MEMORY_SHARE * free_bytes))


def _parse_milliseconds(text):
    """Return seconds, or None where the header is missing or not a valid time."""
    try:
        value = float(text)
    except (TypeError, ValueError):
        return None
    return value / 1000 if 0 <= value < 1e9 else None
