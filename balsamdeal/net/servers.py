"""The three HTTP servers of a node: for callers, other nodes and operators."""

import hashlib
import itertools
import json
import logging
import secrets
import time
import uuid
from urllib.parse import unquote

from pydantic import ValidationError
from tornado.httputil import HTTPHeaders

from balsamdeal import models
from balsamdeal.core import events
from balsamdeal.core.key_records import scope_key
from balsamdeal.documents import DIGEST_LENGTH, Version
from balsamdeal.net import peers, status, wire
from balsamdeal.net.connections import measure_message
from balsamdeal.net.forwarding import OUTCOME_PATH, WORK_PATH, respond
from balsamdeal.net.request_reader import DrainableServer

logger = logging.getLogger(__name__)

MAX_KEY_LENGTH = 255
MAX_CONTROL_BYTES = 1_000_000


def make_request_id():
    """Return a new UUIDv7, which contains its creation time in milliseconds."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds & (2**48 - 1)) << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def send_json(request, code, content):
    """Send a JSON response; return its size in bytes, headers included."""
    body = json.dumps(content, ensure_ascii=False).encode()
    return send_body(request, code, "application/json", body)


def send_body(request, code, content_type, body):
    """Send a response with a body; return its size in bytes, headers included."""
    headers = HTTPHeaders({"Content-Type": content_type})
    respond(request, code, headers, body)
    return measure_message("HTTP/1.1 200 OK", headers, body)


def get_workspace(request):
    """Return the workspace in a request's headers, or an empty string."""
    return unquote(request.headers.get("Balsamdeal-Workspace", ""))


def compute_fingerprint(request):
    """Return a digest of a request's method, path with query, and body."""
    content = f"{request.method} {request.uri}\n".encode() + request.body
    return hashlib.sha256(content).hexdigest()[:DIGEST_LENGTH]


def _parse_timeout(text):
    if text is None:
        return None
    value = float(text)
    if not 0 < value <= models.MAX_TIMEOUT_S:
        raise ValueError(f"timeout must be within (0, {models.MAX_TIMEOUT_S}]")
    return value


def make_caller_handler(shell):
    """Return the request callback of the server for callers."""

    def send_bad_request(request, reason):
        # An earlier request with the same Idempotency-Key may have run.
        outcome = "unknown" if "Idempotency-Key" in request.headers else "not-run"
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Balsamdeal-Outcome": outcome}
        )
        content = {"outcome": outcome, "step": "receive", "reason": reason}
        respond(request, 400, headers, json.dumps(content).encode())

    def handle_outcome_request(request):
        service, _, key = request.path[len(OUTCOME_PATH) + 1 :].partition("/")
        request_id = make_request_id()
        scoped = scope_key(get_workspace(request), unquote(key))
        event = events.OutcomeQueried(
            request_id, unquote(service), scoped, shell.loop.time()
        )
        shell.forwarding.receive_call(request_id, request, event)

    def handle(request):
        if request.path.startswith(OUTCOME_PATH + "/"):
            return handle_outcome_request(request)
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_LENGTH:
            return send_bad_request(
                request, f"Idempotency-Key: over {MAX_KEY_LENGTH} characters"
            )
        try:
            timeout_s = _parse_timeout(request.headers.get("Balsamdeal-Timeout-S"))
        except ValueError as error:
            return send_bad_request(request, f"Balsamdeal-Timeout-S: {error}")
        request_id = make_request_id()
        event = events.RequestReceived(
            request_id,
            get_workspace(request),
            request.method,
            request.path,
            key,
            compute_fingerprint(request) if key else "",
            timeout_s,
            request.headers.get("Balsamdeal-Retry") != "no",
            shell.loop.time(),
        )
        return shell.forwarding.receive_call(request_id, request, event)

    return handle


def make_peer_handler(shell):
    """Return the request callback of the server for other nodes."""
    numbers = itertools.count(1)

    def count_bytes(request, size):
        line = f"{request.method} {request.uri} HTTP/1.1"
        size += measure_message(line, request.headers, request.body)
        shell.metrics.count("control_bytes", size)

    def defer_answer(request, encode, make_event):
        exchange_id = f"x{next(numbers)}"

        def answer(effect):
            size = send_body(request, 200, "application/json", encode(effect))
            count_bytes(request, size)

        shell.exchanges[exchange_id] = answer
        shell.handle(make_event(exchange_id, shell.loop.time()))

    def handle_view(request):
        view = wire.decode_view(request.body)
        defer_answer(
            request,
            lambda effect: wire.encode_view(effect.view),
            lambda exchange_id, now_s: events.PeerViewReceived(
                exchange_id, view, now_s
            ),
        )

    def handle_inquiry(request):
        message = models.InquiryMessage.model_validate_json(request.body)
        defer_answer(
            request,
            lambda effect: wire.encode_finding(effect.finding),
            lambda exchange_id, now_s: events.InquiryReceived(
                exchange_id, message.key, message.asker, now_s
            ),
        )

    def answer_pull(request):
        message = models.PullMessage.model_validate_json(request.body)
        base = None if message.base is None else Version(*message.base)
        delta = shell.node.distribution.answer_pull(message.channel, base)
        if delta is None:
            return count_bytes(request, send_json(request, 404, {}))
        body = wire.encode_delta(delta)
        size = send_body(request, 200, "application/json", body)
        return count_bytes(request, size)

    def handle_work(request):
        shell.forwarding.receive_work(f"w{next(numbers)}", request)

    routes = {
        WORK_PATH: handle_work,
        peers.VIEW_PATH: handle_view,
        peers.PULL_PATH: answer_pull,
        peers.INQUIRY_PATH: handle_inquiry,
    }

    def handle(request):
        route = routes.get(request.path)
        if route is None:
            return send_json(request, 404, {"reason": "unknown path"})
        try:
            return route(request)
        except ValidationError as error:
            shell.metrics.count("bad_messages")
            return send_json(request, 400, {"reason": str(error)})

    return handle


def make_operator_handler(shell):
    """Return the request callback of the server for operators."""

    def send_ready(request):
        code = 200 if status.is_ready(shell.node) else 503
        send_json(request, code, {"ready": code == 200})

    def explain(request):
        def get_argument(name, default):
            values = request.arguments.get(name)
            return values[-1].decode() if values else default

        content = status.explain(
            shell.node,
            get_argument("workspace", ""),
            get_argument("method", "GET"),
            get_argument("path", "/"),
            shell.loop.time(),
        )
        send_json(request, 200 if "route" in content else 404, content)

    def send_prometheus(request):
        body = shell.metrics.format_prometheus()
        send_body(request, 200, "text/plain; version=0.0.4", body)

    routes = {
        "/health": lambda request: send_json(request, 200, {"alive": True}),
        "/ready": send_ready,
        "/status": lambda request: send_json(
            request, 200, status.describe(shell.node, shell.loop.time())
        ),
        "/explain": explain,
        "/metrics": send_prometheus,
        "/metrics.json": lambda request: send_json(
            request, 200, shell.metrics.summarize()
        ),
    }

    def handle(request):
        route = routes.get(request.path)
        if route is None:
            return send_json(request, 404, {"paths": sorted(routes)})
        return route(request)

    return handle


def listen(shell):
    """Open the three servers and return them.

    :param shell: the ``Shell`` that handles the requests.
    :raises OSError: when an address cannot be bound.
    """
    settings = shell.settings
    own = settings.own_vm
    servers = []
    for address, make_handler, limit in (
        (own.operator_address, make_operator_handler, MAX_CONTROL_BYTES),
        (own.peer_address, make_peer_handler, settings.max_body_bytes),
        (settings.caller_address, make_caller_handler, settings.max_body_bytes),
    ):
        host, _, port = address.rpartition(":")
        server = DrainableServer(
            make_handler(shell), max_body_size=limit, max_buffer_size=limit * 2
        )
        server.listen(int(port), host.strip("[]"), reuse_port=False)
        servers.append(server)
    return servers
