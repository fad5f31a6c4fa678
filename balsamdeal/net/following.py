"""The shell of ``core.following``: asks other nodes and the source, answers others."""

import logging

from tornado.httputil import HTTPHeaders

from balsamdeal.core import effects, events, news
from balsamdeal.documents import CONFIG
from balsamdeal.errors import ExchangeError, SourceError
from balsamdeal.net import wire
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.hops import HOP_HOST
from balsamdeal.net.messages import write_response

logger = logging.getLogger(__name__)

NEWS_PATH = "/news"
MAX_NEWS_BYTES = 4_000_000
TICK_S = 0.1
# How much longer than a question waits its answer may take: links may be busy.
ANSWER_MARGIN_S = 0.7


class Follower:
    """Runs the effects of following the configuration.

    :param shell: the ``ProxyShell``.
    """

    def __init__(self, shell):
        self._shell = shell
        # A late answer closes the kept connections to a node; those of calls stay.
        self.pool = ConnectionPool(MAX_NEWS_BYTES)
        self._read = None
        self._ticker = None
        self._askers = {}
        self.runners = {
            news.Ask: self._ask,
            news.AnswerQuestion: self._answer,
            news.ConfigurationApplied: self._note_configuration,
            effects.ReadSource: self._read_source,
            effects.ReportChange: self._report_change,
        }

    def start(self, read):
        """Begin to follow.

        :param read: a coroutine function of the version held and the time to wait; it
            returns the newest version's number, and a ``Configuration`` or None.
        """
        self._read = read
        self._tick()

    def stop(self):
        """Stop to follow; questions of others are still answered."""
        if self._ticker is not None:
            self._ticker.cancel()

    def _tick(self):
        self._ticker = self._shell.loop.call_later(TICK_S, self._tick)
        self._shell.handle(events.Ticked(self._shell.loop.time()))

    def _report_change(self, effect):
        logger.info(effect.change, extra=effect.fields)

    def _note_configuration(self, effect):
        self._shell.apply_limits()
        fields = {
            "version": effect.version,
            "before": effect.before,
            "routes": effect.routes,
            "origin": effect.origin,
        }
        logger.info("configuration in force", extra=fields)

    # The source

    def _read_source(self, effect):
        self._shell.tasks.spawn(self._fetch(effect))

    async def _fetch(self, effect):
        shell = self._shell
        try:
            version, configuration = await self._read(
                effect.after_revision, effect.wait_s
            )
            document = None
            if configuration is not None:
                document = shell.proxy.make_document(configuration)
        except SourceError as error:
            self._fail_read(error.step, error.message)
            return
        except Exception as error:
            # Without an event the source would never be read again.
            logger.exception("read failed")
            self._fail_read("read", repr(error))
            return
        now_s = shell.loop.time()
        shell.handle(events.SourceAnswered(CONFIG, version, document, now_s))

    def _fail_read(self, step, reason):
        shell = self._shell
        shell.metrics.count("source_failures")
        shell.handle(events.SourceFailed(CONFIG, step, reason, shell.loop.time()))

    # Other nodes

    def _ask(self, effect):
        self._shell.tasks.spawn(self._exchange(effect))

    async def _exchange(self, effect):
        shell = self._shell
        address = effect.address
        try:
            response = await self.pool.fetch(
                address,
                "POST",
                NEWS_PATH,
                HTTPHeaders({"Host": HOP_HOST}),
                wire.encode_question(effect.question),
                timeout_s=effect.question.wait_s + ANSWER_MARGIN_S,
            )
            shell.metrics.count("control_bytes", response.size)
            answer = wire.decode_news(response.body)
        except ExchangeError as error:
            self._fail(address, error.step)
            return
        except ValueError:
            self._fail(address, "decode")
            return
        except Exception:
            # Without an event the node would never be asked again.
            logger.exception("question failed")
            self._fail(address, "ask")
            return
        shell.handle(news.NewsReceived(address, answer, shell.loop.time()))

    def _fail(self, address, step):
        shell = self._shell
        shell.metrics.count("question_failures")
        logger.info("node gave no news", extra={"node": address, "step": step})
        shell.handle(events.PeerFailed(address, step, CONFIG, shell.loop.time()))

    def receive_question(self, connection, body):
        """Take another node's question, on its connection."""
        shell = self._shell
        try:
            question = wire.decode_question(body)
        except ValueError as error:
            shell.refuse_message(connection, "bad question", error)
            return
        exchange_id = shell.next_id()
        self._askers[exchange_id] = connection
        connection.set_close_callback(lambda: self._forget(exchange_id))
        now_s = shell.loop.time()
        shell.handle(news.QuestionReceived(exchange_id, question, now_s))

    def _forget(self, exchange_id):
        if self._askers.pop(exchange_id, None) is not None:
            self._shell.proxy.following.forget_question(exchange_id)

    def _answer(self, effect):
        connection = self._askers.pop(effect.exchange_id)
        body = wire.encode_news(effect.news)
        self._shell.metrics.count("control_bytes", len(body))
        write_response(connection, "POST", 200, HTTPHeaders(), body)
