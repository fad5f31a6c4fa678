"""Client of the control exchanges with other nodes: views, pulls and inquiries."""

from pydantic import ValidationError
from tornado.httputil import HTTPHeaders

from balsamdeal import models
from balsamdeal.core import events, key_records
from balsamdeal.core.membership import REFUSED
from balsamdeal.errors import ExchangeError
from balsamdeal.net import wire

VIEW_PATH = "/control/view"
PULL_PATH = "/control/pull"
INQUIRY_PATH = "/control/inquiry"
VIEW_TIMEOUT_S = 0.5
PULL_TIMEOUT_S = 1.8
INQUIRY_TIMEOUT_S = 0.5


class PeerClient:
    """Carries out the shell's effects that send control messages to peers.

    :param shell: the ``Shell`` that handles the resulting events.
    """

    def __init__(self, shell):
        self._shell = shell

    def send_view(self, effect):
        """Carry out ``SendView``."""
        self._shell.tasks.spawn(self._exchange_view(effect))

    def pull_delta(self, effect):
        """Carry out ``PullDelta``."""
        self._shell.tasks.spawn(self._exchange_pull(effect))

    def send_inquiry(self, effect):
        """Carry out ``SendInquiry``."""
        self._shell.tasks.spawn(self._exchange_inquiry(effect))

    async def _post(self, address, path, body, timeout_s):
        response = await self._shell.pool.fetch(
            address, "POST", path, HTTPHeaders(), body, timeout_s=timeout_s
        )
        self._shell.metrics.count("control_bytes", response.size)
        if response.status != 200:
            raise ExchangeError(f"status {response.status}", "answer", address, True)
        return response.body

    async def _exchange_view(self, effect):
        now = self._shell.loop.time
        try:
            body = wire.encode_view(effect.view)
            answer = await self._post(effect.address, VIEW_PATH, body, VIEW_TIMEOUT_S)
            event = events.PeerAnswered(wire.decode_view(answer), now())
        except ExchangeError as error:
            event = events.PeerFailed(effect.address, error.step, effect.purpose, now())
        except ValidationError:
            event = events.PeerFailed(effect.address, "decode", effect.purpose, now())
        self._shell.handle(event)

    async def _exchange_pull(self, effect):
        now = self._shell.loop.time
        base = None if effect.base is None else wire.pack_version(effect.base)
        message = models.PullMessage(channel=effect.channel, base=base)
        try:
            body = message.model_dump_json().encode()
            answer = await self._post(effect.address, PULL_PATH, body, PULL_TIMEOUT_S)
            delta = wire.decode_delta(answer)
            event = events.DeltaPulled(effect.address, effect.channel, delta, now())
        except ExchangeError as error:
            event = events.PeerFailed(effect.address, error.step, effect.channel, now())
        except ValidationError:
            event = events.PeerFailed(effect.address, "decode", effect.channel, now())
        self._shell.handle(event)

    async def _exchange_inquiry(self, effect):
        message = models.InquiryMessage(key=effect.key, asker=effect.asker)
        try:
            body = message.model_dump_json().encode()
            answer = await self._post(
                effect.address, INQUIRY_PATH, body, INQUIRY_TIMEOUT_S
            )
            finding = wire.decode_finding(answer)
        except ExchangeError as error:
            state = key_records.ENDED if error.step == REFUSED else key_records.LOST
            finding = events.Finding(effect.vm, state, 0.0, 0)
        except ValidationError:
            finding = events.Finding(effect.vm, key_records.LOST, 0.0, 0)
        now_s = self._shell.loop.time()
        self._shell.handle(events.InquiryAnswered(effect.subject, finding, now_s))
