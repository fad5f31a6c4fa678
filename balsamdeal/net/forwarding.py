"""Carries requests from callers to the nodes of targets, and to the own target.

Payloads stay here, keyed by request id and work id. The reducer receives only
metadata.
"""

import json
import math
from dataclasses import dataclass

from pydantic import ValidationError

from balsamdeal import models
from balsamdeal.core import events
from balsamdeal.core.replies import ANSWERED, Reply
from balsamdeal.documents import CONFIG
from balsamdeal.errors import ExchangeError
from balsamdeal.net import wire
from balsamdeal.net.connections import Exchange
from balsamdeal.net.messages import Payload, make_headers, write_response

WORK_PATH = "/work"
OUTCOME_PATH = "/.well-known/balsamdeal/outcomes"
# Header of a request to the target that its answer should echo. Without it a copy of an
# earlier answer on a kept connection can't be told from the answer to this request.
ATTEMPT_HEADER = "Balsamdeal-Attempt"
# Added to an attempt's timeout to get the timeout of its exchange.
ATTEMPT_MARGIN_S = 0.05


@dataclass(slots=True)
class PendingRequest:
    """A caller's request whose answer has not been sent yet.

    ``received_s`` is the loop's time in seconds.
    """

    request: object
    payload: Payload
    received_s: float


def respond(request, status, headers, body):
    """Write a complete response to a request that tornado's server received.

    :param request: the ``HTTPServerRequest``.
    :param status: the HTTP status.
    :param headers: ``HTTPHeaders``; Content-Length is added.
    :param body: the body as bytes.
    """
    write_response(request.connection, request.method, status, headers, body)


class Forwarding:
    """Carries out the shell's effects on requests, attempts and work.

    :param shell: the ``Shell`` that handles the resulting events.
    """

    def __init__(self, shell):
        self._shell = shell
        self._pending_requests = {}
        self._attempt_exchanges = {}
        # Payload and origin by work id. The origin is the request of the ingress and
        # the attempt id in it, or None for an attempt of this node itself.
        self._work = {}
        self._target_exchanges = {}
        self._target_echoes = False

    @property
    def _config(self):
        return self._shell.node.distribution.channels[CONFIG].version

    # Exchanges with callers

    def receive_call(self, request_id, request, event):
        """Store a caller's request until it is answered, and handle its event.

        :param request_id: the new id.
        :param request: the ``HTTPServerRequest``.
        :param event: ``RequestReceived`` or ``OutcomeQueried``.
        """
        payload = Payload(
            request.method,
            request.uri,
            wire.filter_headers(request.headers),
            request.body,
        )
        self._pending_requests[request_id] = PendingRequest(
            request, payload, event.now_s
        )
        request.connection.set_close_callback(
            lambda: self._on_caller_closed(request_id)
        )
        self._shell.handle(event)

    def _on_caller_closed(self, request_id):
        if self._pending_requests.pop(request_id, None) is not None:
            now_s = self._shell.loop.time()
            self._shell.handle(events.CallerLeft(request_id, now_s))

    def answer_caller(self, effect):
        """Carry out ``AnswerCaller``."""
        pending = self._pending_requests.pop(effect.request_id, None)
        if pending is None:
            return
        reply = effect.reply
        headers = make_headers(reply.headers)
        body = reply.body
        if reply.outcome != ANSWERED:
            headers["Content-Type"] = "application/json"
            body = self._describe_outcome(effect, pending)
        headers["Balsamdeal-Outcome"] = reply.outcome
        headers["Balsamdeal-Request"] = effect.request_id
        if reply.outcome != ANSWERED and reply.retry_after_s:
            headers["Retry-After"] = str(math.ceil(reply.retry_after_s))
        respond(pending.request, reply.status, headers, body)
        if effect.traffic_class:
            latency_s = self._shell.loop.time() - pending.received_s
            self._shell.metrics.record_latency(
                effect.workspace, effect.traffic_class, latency_s
            )

    @staticmethod
    def _describe_outcome(effect, pending):
        reply = effect.reply
        key = pending.request.headers.get("Idempotency-Key", effect.request_id)
        description = {
            "outcome": reply.outcome,
            "step": reply.step,
            "peer": reply.peer,
            "reason": reply.reason,
            "retry_after_s": round(reply.retry_after_s, 3),
        }
        if effect.service:
            description["ask"] = f"{OUTCOME_PATH}/{effect.service}/{key}"
        return json.dumps(description, ensure_ascii=False).encode()

    # Attempts, on the node that received the request (the ingress)

    def send_attempt(self, effect):
        """Carry out ``SendAttempt``; an attempt to the own node needs no connection."""
        pending = self._pending_requests.get(effect.request_id)
        if pending is None:
            # The caller closed its connection while a retry was waiting.
            now_s = self._shell.loop.time()
            self._shell.handle(events.CallerLeft(effect.request_id, now_s))
            return
        if effect.address == self._shell.settings.own_vm.peer_address:
            self._work[effect.attempt_id] = (pending.payload, None)
            self._submit_work(effect.attempt_id, effect, self._shell.loop.time())
            return
        exchange = Exchange()
        self._attempt_exchanges[effect.attempt_id] = exchange
        self._shell.tasks.spawn(
            self._exchange_attempt(effect, pending.payload, exchange)
        )

    def _submit_work(self, work_id, message, now_s):
        self._shell.handle(
            events.WorkReceived(
                work_id,
                message.service,
                message.flow,
                message.weight,
                message.key,
                message.fingerprint,
                message.fresh,
                message.idempotent,
                message.timeout_s,
                message.received_s,
                now_s,
            )
        )

    def _encode_work(self, effect, payload):
        own = self._shell.settings.own_vm
        message = models.WorkMessage.model_construct(
            attempt=effect.attempt_id,
            vm=own.name,
            address=own.peer_address,
            service=effect.service,
            flow=effect.flow,
            weight=effect.weight,
            key=effect.key,
            fingerprint=effect.fingerprint,
            fresh=effect.fresh,
            idempotent=effect.idempotent,
            timeout_s=round(effect.timeout_s, 4),
            received_s=effect.received_s,
            method=payload.method,
            path=payload.path,
            config=wire.pack_version(self._config),
        )
        return message.model_dump_json(ensure_ascii=True)

    async def _exchange_attempt(self, effect, payload, exchange):
        now = self._shell.loop.time
        headers = make_headers(payload.headers)
        headers[wire.WORK_HEADER] = self._encode_work(effect, payload)
        try:
            response = await self._shell.pool.fetch(
                effect.address,
                "POST",
                WORK_PATH,
                headers,
                payload.body,
                timeout_s=effect.timeout_s + ATTEMPT_MARGIN_S,
                new_connection=effect.new_connection,
                non_idempotent=not effect.idempotent,
                exchange=exchange,
            )
            event = self._decode_reply(effect, response)
        except ExchangeError as error:
            event = events.AttemptFailed(
                effect.attempt_id, error.step, error.peer, error.written, now()
            )
        self._attempt_exchanges.pop(effect.attempt_id, None)
        self._shell.handle(event)

    def _decode_reply(self, effect, response):
        now_s = self._shell.loop.time()
        try:
            attempt, reply, version = wire.decode_reply(
                response.headers[wire.REPLY_HEADER], response
            )
        except (KeyError, ValidationError):
            attempt = None
        if attempt != effect.attempt_id:
            # A response to another request must not reach this caller.
            self._shell.pool.drop_idle(effect.address)
            return events.AttemptFailed(
                effect.attempt_id, "decode", effect.address, True, now_s
            )
        if version > self._config:
            self._shell.handle(events.VersionHinted(effect.address, version, now_s))
        return events.AttemptAnswered(effect.attempt_id, reply, now_s)

    def cancel_attempt(self, effect):
        """Carry out ``CancelAttempt``."""
        exchange = self._attempt_exchanges.pop(effect.attempt_id, None)
        if exchange is not None:
            exchange.cancel()
        elif effect.attempt_id in self._work:
            now_s = self._shell.loop.time()
            self._shell.handle(events.WorkAbandoned(effect.attempt_id, now_s))

    # Work, on the node of the target

    def receive_work(self, work_id, request):
        """Accept work that an ingress sent to this node.

        :param work_id: a new id, unique in this process.
        :param request: the ``HTTPServerRequest``.
        :raises pydantic.ValidationError: when the work header is missing or invalid.
        """
        text = request.headers.get(wire.WORK_HEADER, "")
        message = models.WorkMessage.model_validate_json(text)
        now_s = self._shell.loop.time()
        payload = Payload(
            message.method,
            message.path,
            wire.filter_headers(request.headers),
            request.body,
        )
        version = wire.Version(*message.config)
        if version > self._config:
            self._shell.handle(events.VersionHinted(message.address, version, now_s))
        self._work[work_id] = (payload, (request, message.attempt))
        request.connection.set_close_callback(lambda: self._on_ingress_closed(work_id))
        self._submit_work(work_id, message, now_s)

    def _on_ingress_closed(self, work_id):
        if work_id in self._work:
            now_s = self._shell.loop.time()
            self._shell.handle(events.WorkAbandoned(work_id, now_s))

    def reply_work(self, effect):
        """Carry out ``ReplyWork``."""
        _, origin = self._work.pop(effect.work_id, (None, None))
        if origin is None:
            now_s = self._shell.loop.time()
            self._shell.handle(
                events.AttemptAnswered(effect.work_id, effect.reply, now_s)
            )
            return
        request, attempt = origin
        headers = make_headers(effect.reply.headers)
        headers[wire.REPLY_HEADER] = wire.encode_reply(
            attempt, effect.reply, self._config
        )
        respond(request, 200, headers, effect.reply.body)

    def run_on_target(self, effect):
        """Carry out ``RunOnTarget``."""
        payload, _ = self._work[effect.work_id]
        exchange = Exchange()
        self._target_exchanges[effect.work_id] = exchange
        self._shell.tasks.spawn(self._exchange_target(effect, payload, exchange))

    async def _exchange_target(self, effect, payload, exchange):
        now = self._shell.loop.time
        headers = make_headers(payload.headers)
        headers["Balsamdeal-Timeout-S"] = f"{effect.timeout_s:.3f}"
        headers["Balsamdeal-Retry"] = "no"
        headers[ATTEMPT_HEADER] = effect.work_id

        def matches_request(status, answer_headers, reused):
            return answer_headers.get(ATTEMPT_HEADER) in (None, effect.work_id)

        try:
            response = await self._shell.pool.fetch(
                self._shell.settings.target_address,
                payload.method,
                payload.path,
                headers,
                payload.body,
                timeout_s=effect.timeout_s,
                new_connection=not (effect.idempotent or self._target_echoes),
                non_idempotent=not effect.idempotent,
                exchange=exchange,
                matches_request=matches_request,
            )
            event = self._read_target_answer(effect, response)
        except ExchangeError as error:
            event = events.TargetFailed(
                effect.work_id, error.step, error.written, now()
            )
        self._target_exchanges.pop(effect.work_id, None)
        self._shell.handle(event)

    def _read_target_answer(self, effect, response):
        now_s = self._shell.loop.time()
        limit = self._shell.settings.max_body_bytes
        if len(response.body) > limit:
            return events.TargetFailed(effect.work_id, "size", True, now_s)
        headers = response.headers
        echoed = ATTEMPT_HEADER in headers
        self._target_echoes |= echoed
        not_run = headers.get("Not-Run") == "true"
        if not_run and response.reused and not echoed:
            return events.TargetFailed(effect.work_id, "not-run", True, now_s)
        reply = Reply(
            ANSWERED, response.status, wire.filter_headers(headers), response.body
        )
        return events.TargetAnswered(
            effect.work_id,
            reply,
            not_run,
            headers.get("Draining") == "true",
            now_s,
        )

    def cancel_target(self, effect):
        """Carry out ``CancelTarget``."""
        exchange = self._target_exchanges.get(effect.work_id)
        if exchange is not None:
            exchange.cancel()
