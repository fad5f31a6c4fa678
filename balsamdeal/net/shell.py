"""The shell: passes events to the reducer and carries out the effects it returns.

Everything runs on one event loop in one thread. Every I/O task produces exactly one
event, whether it succeeds or fails.
"""

import asyncio
import logging
import time
from collections import deque

from balsamdeal.core import effects, events
from balsamdeal.core.node import Node
from balsamdeal.documents import CONFIG, VMS
from balsamdeal.errors import SourceError
from balsamdeal.metrics import Metrics
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.forwarding import Forwarding
from balsamdeal.net.peers import PeerClient
from balsamdeal.net.source import Source
from balsamdeal.net.tasks import Tasks

logger = logging.getLogger(__name__)

TICK_S = 0.1
# A complete document may be larger than the body of a request.
MAX_RESPONSE_BYTES = 64_000_000


class Shell:
    """Owns the reducer, the clients and the timers of a node.

    :param settings: validated ``settings.Settings``.
    """

    def __init__(self, settings):
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.node = Node.from_config(settings)
        self.metrics = Metrics(self.node.distribution.counters)
        self.pool = ConnectionPool(MAX_RESPONSE_BYTES)
        keys = {CONFIG: settings.config_key, VMS: settings.vms_key}
        self.source = Source(
            self.pool, settings.platform_address, keys, self.metrics.count
        )
        self.peers = PeerClient(self)
        self.forwarding = Forwarding(self)
        # Control exchanges of peers to be answered: id -> function of the effect.
        self.exchanges = {}
        self._queue = deque()
        self._handling = False
        self.tasks = Tasks(self.loop, self.metrics.count)
        self._ticker = None
        self._effect_handlers = {
            effects.SetTimer: self._set_timer,
            effects.ReadSource: self._read_source,
            effects.ReportChange: self._report_change,
            effects.SendView: self.peers.send_view,
            effects.PullDelta: self.peers.pull_delta,
            effects.SendInquiry: self.peers.send_inquiry,
            effects.AnswerView: self._answer_exchange,
            effects.AnswerInquiry: self._answer_exchange,
            effects.AnswerCaller: self.forwarding.answer_caller,
            effects.SendAttempt: self.forwarding.send_attempt,
            effects.CancelAttempt: self.forwarding.cancel_attempt,
            effects.RunOnTarget: self.forwarding.run_on_target,
            effects.CancelTarget: self.forwarding.cancel_target,
            effects.ReplyWork: self.forwarding.reply_work,
        }

    def start(self):
        """Start the reducer and its periodic timer."""
        self.handle(events.Started(round(time.time(), 3), self.loop.time()))
        self._tick()

    def stop(self):
        """Cancel the periodic timer and the tasks, and close the connections."""
        if self._ticker is not None:
            self._ticker.cancel()
        self.tasks.cancel()
        self.pool.close()

    def handle(self, event):
        """Reduce an event and carry out its effects.

        An event that arrives while effects are carried out is queued and reduced
        after them.

        :param event: one of ``core.events``.
        """
        self._queue.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._queue:
                for effect in self.node.reduce(self._queue.popleft()):
                    self._effect_handlers[type(effect)](effect)
        finally:
            self._handling = False

    def _tick(self):
        self._ticker = self.loop.call_later(TICK_S, self._tick)
        self.handle(events.Ticked(self.loop.time()))

    def _set_timer(self, effect):
        self.loop.call_at(effect.at_s, self._fire_timer, effect)

    def _fire_timer(self, effect):
        self.handle(events.TimerFired(effect.kind, effect.subject, self.loop.time()))

    def _report_change(self, effect):
        logger.info(effect.change, extra=effect.fields)

    def _answer_exchange(self, effect):
        respond = self.exchanges.pop(effect.exchange_id, None)
        if respond is not None:
            respond(effect)

    def _read_source(self, effect):
        self.tasks.spawn(self._fetch_source(effect))

    async def _fetch_source(self, effect):
        channel = effect.channel
        known = self.node.distribution.channels[channel].document
        try:
            revision, document = await self.source.read(
                channel, effect.after_revision, effect.wait_s, known
            )
        except SourceError as error:
            event = events.SourceFailed(
                channel, error.step, error.message, self.loop.time()
            )
        else:
            event = events.SourceAnswered(channel, revision, document, self.loop.time())
        self.handle(event)
