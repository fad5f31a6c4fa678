"""Encodes the core's data classes as messages between nodes, and decodes them."""

import zlib

from balsamdeal import models
from balsamdeal.core.events import Finding, View
from balsamdeal.core.replication_messages import PollRequest, PollResponse
from balsamdeal.core.replies import Load, Reply
from balsamdeal.documents import CHANNELS, NO_VERSION, Delta, Version
from balsamdeal.net import messages

# Largest response to a poll once inflated: the source's largest value is 1 MB.
MAX_POLL_RESPONSE_BYTES = 16_000_000
WORK_HEADER = "Balsamdeal-Work"
REPLY_HEADER = "Balsamdeal-Reply"


def pack_version(version):
    """Return a version as the pair of revision and digest that messages carry."""
    return (version.revision, version.digest)


def encode_view(view):
    """Return a ``View`` as JSON bytes."""
    message = models.ViewMessage(
        vm=view.vm,
        failure_domain=view.failure_domain,
        address=view.address,
        started_s=view.started_s,
        versions={name: pack_version(item) for name, item in view.versions.items()},
        source_age_s=view.source_age_s,
        starting=view.starting,
        draining=view.draining,
    )
    return message.model_dump_json().encode()


def decode_view(body):
    """Return the ``View`` in JSON bytes.

    :raises pydantic.ValidationError: when the body is not a valid view.
    """
    message = models.ViewMessage.model_validate_json(body)
    versions = {
        channel: Version(*message.versions.get(channel, pack_version(NO_VERSION)))
        for channel in CHANNELS
    }
    return View(
        message.vm,
        message.failure_domain,
        message.address,
        message.started_s,
        versions,
        message.source_age_s,
        message.starting,
        message.draining,
    )


def _pack_base(base):
    return None if base is None else pack_version(base)


def _unpack_base(base):
    return None if base is None else Version(*base)


def _make_delta_message(delta):
    return models.DeltaMessage(
        base=_pack_base(delta.base),
        version=pack_version(delta.version),
        changed=delta.changed,
        removed=list(delta.removed),
    )


def _parse_delta_message(message):
    return Delta(
        _unpack_base(message.base),
        Version(*message.version),
        message.changed,
        tuple(message.removed),
    )


def encode_delta(delta):
    """Return a ``Delta`` as JSON bytes."""
    return _make_delta_message(delta).model_dump_json().encode()


def decode_delta(body):
    """Return the ``Delta`` in JSON bytes.

    :raises pydantic.ValidationError: when the body is not a valid delta.
    """
    return _parse_delta_message(models.DeltaMessage.model_validate_json(body))


def encode_poll_request(request):
    """Return a ``PollRequest`` as JSON bytes."""
    message = models.PollRequestMessage(
        base=_pack_base(request.base),
        wait_s=request.wait_s,
        links=list(request.links),
    )
    return message.model_dump_json().encode()


def decode_poll_request(body):
    """Return the ``PollRequest`` in JSON bytes.

    :raises pydantic.ValidationError: when the body is not a valid poll request.
    """
    message = models.PollRequestMessage.model_validate_json(body)
    base = _unpack_base(message.base)
    return PollRequest(base, message.wait_s, tuple(message.links))


def encode_poll_response(poll_response):
    """Return a ``PollResponse`` as zlib-compressed JSON.

    It is compressed because deltas may be long and repetitive.
    """
    message = models.PollResponseMessage(
        delta=(
            None
            if poll_response.delta is None
            else _make_delta_message(poll_response.delta)
        ),
        is_behind=poll_response.is_behind,
        source_age_s=poll_response.source_age_s,
        links=list(poll_response.links),
    )
    return zlib.compress(message.model_dump_json().encode())


def decode_poll_response(body):
    """Return the ``PollResponse`` in zlib-compressed JSON.

    :raises ValueError: when the body is not compressed or not a valid poll response;
        ``pydantic.ValidationError`` is a subclass.
    """
    inflate = zlib.decompressobj()
    try:
        text = inflate.decompress(body, MAX_POLL_RESPONSE_BYTES)
    except zlib.error as error:
        raise ValueError("body is not zlib-compressed") from error
    if not inflate.eof:
        raise ValueError("body is cut short or inflates to too many bytes")
    message = models.PollResponseMessage.model_validate_json(text)
    delta = None if message.delta is None else _parse_delta_message(message.delta)
    return PollResponse(
        delta, message.is_behind, message.source_age_s, tuple(message.links)
    )


def encode_reply(attempt, reply, config):
    """Return the value of REPLY_HEADER: a ``Reply`` without its headers and body.

    :param attempt: the id of the attempt at the ingress.
    :param reply: the ``Reply``.
    :param config: the version of the configuration in force at this node.
    """
    load = reply.load
    message = models.ReplyMessage.model_construct(
        attempt=attempt,
        outcome=reply.outcome,
        status=reply.status,
        step=reply.step,
        peer=reply.peer,
        reason=reply.reason,
        retry_after_s=reply.retry_after_s,
        load=load
        and models.LoadMessage.model_construct(
            busy=load.busy,
            queued=load.queued,
            slots=load.slots,
            draining=load.draining,
        ),
        moved_to=reply.moved_to,
        config=pack_version(config),
    )
    return message.model_dump_json(ensure_ascii=True)


def decode_reply(text, response):
    """Return the attempt id, ``Reply`` and configuration version of a response.

    :param text: the value of REPLY_HEADER.
    :param response: the ``connections.Response`` with the reply's headers and body.
    :raises pydantic.ValidationError: when the text is not a valid reply.
    """
    message = models.ReplyMessage.model_validate_json(text)
    load = message.load
    reply = Reply(
        message.outcome,
        message.status,
        filter_headers(response.headers),
        response.body,
        message.step,
        message.peer,
        message.reason,
        message.retry_after_s,
        load and Load(load.busy, load.queued, load.slots, load.draining),
        message.moved_to,
    )
    return message.attempt, reply, Version(*message.config)


def filter_headers(headers):
    """Return the end-to-end headers as pairs, without ``Balsamdeal-`` headers.

    :param headers: tornado's ``HTTPHeaders``.
    """
    return tuple(
        (name, value)
        for name, value in messages.filter_headers(headers)
        if not name.startswith("Balsamdeal-")
    )


def encode_finding(finding):
    """Return a ``Finding`` as JSON bytes."""
    message = models.InquiryAnswer(
        state=finding.state,
        vm=finding.vm,
        since_s=finding.since_s,
        vms_revision=finding.vms_revision,
    )
    return message.model_dump_json().encode()


def decode_finding(body):
    """Return the ``Finding`` in JSON bytes.

    :raises pydantic.ValidationError: when the body is not a valid finding.
    """
    message = models.InquiryAnswer.model_validate_json(body)
    return Finding(message.vm, message.state, message.since_s, message.vms_revision)
