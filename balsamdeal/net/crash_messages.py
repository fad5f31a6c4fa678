"""I/O of ``core.crash_news``: messages to and from other nodes."""

import logging

from tornado.httputil import HTTPHeaders

from balsamdeal.core import crash_news
from balsamdeal.errors import ExchangeError
from balsamdeal.net.crash_codec import decode_news, encode_news
from balsamdeal.net.messages import write_response
from balsamdeal.net.node_codec import PLACEHOLDER_HOST

logger = logging.getLogger(__name__)

CRASHES_PATH = "/crashes"
# How long a node waits for the answer to a message.
ANSWER_TIMEOUT_S = 1.0


class CrashMessenger:
    """Runs the effects of the news of crashes.

    :param shell: the ``ProxyShell``.
    """

    def __init__(self, shell):
        self._shell = shell
        self._unanswered = {}
        self.effect_handlers = {
            crash_news.SendCrashNews: self._send,
            crash_news.AnswerCrashNews: self._answer,
        }

    def _send(self, effect):
        self._shell.tasks.spawn(self._exchange(effect))

    async def _exchange(self, effect):
        shell = self._shell
        try:
            response = await shell.peer_pool.fetch(
                effect.address,
                "POST",
                CRASHES_PATH,
                HTTPHeaders({"Host": PLACEHOLDER_HOST}),
                encode_news(effect, shell.loop.time()),
                timeout_s=ANSWER_TIMEOUT_S,
            )
        except ExchangeError:
            # The node is down or cut off; later exchanges are with other nodes.
            shell.metrics.count("crash_news_failures")
            return
        shell.metrics.count("crash_news_sent")
        shell.metrics.count("control_bytes", response.size)
        if response.status != 200 or not response.body:
            return
        try:
            event = decode_news(response.body, None, shell.loop.time())
        except ValueError as error:
            fields = {"node": effect.address, "reason": str(error)}
            logger.warning("malformed news of crashes", extra=fields)
            shell.metrics.count("bad_messages")
            return
        shell.handle(event)

    def receive(self, connection, body):
        """Handle another node's message, and answer it."""
        shell = self._shell
        message_id = shell.next_id()
        try:
            event = decode_news(body, message_id, shell.loop.time())
        except ValueError as error:
            shell.refuse_message(connection, "malformed news of crashes", error)
            return
        shell.metrics.count("control_bytes", len(body))
        self._unanswered[message_id] = connection
        shell.handle(event)

    def _answer(self, effect):
        connection = self._unanswered.pop(effect.message_id)
        body = b""
        if effect.reports or effect.cleared:
            body = encode_news(effect, self._shell.loop.time())
        self._shell.metrics.count("control_bytes", len(body))
        write_response(connection, "POST", 200, HTTPHeaders(), body)
