"""I/O of ``core.replication``: polls to and from other nodes, reads of the source."""

import logging
from dataclasses import dataclass

from tornado.httputil import HTTPHeaders

from balsamdeal.core import effects, events, replication_messages
from balsamdeal.documents import CONFIG
from balsamdeal.errors import ExchangeError, SourceError
from balsamdeal.net import wire
from balsamdeal.net.connections import ConnectionPool
from balsamdeal.net.messages import write_response
from balsamdeal.net.node_codec import PLACEHOLDER_HOST

logger = logging.getLogger(__name__)

POLL_PATH = "/news"
MAX_NEWS_BYTES = 4_000_000
TICK_S = 0.1
# An answer may take this much longer than its poll's ``wait_s``: a late one may still
# bring a newer version.
ANSWER_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """What the source answered about configurations.

    ``version`` is the newest version's number. ``configuration`` is it if it is newer
    than the one held, or None. ``transfer_s`` is how long it takes over the own link if
    that is idle, or None without a configuration. ``rejection`` is why the newest
    version was rejected, or None if it was not, and ``unknown_words`` what is unknown
    in it.
    """

    version: int
    configuration: object
    transfer_s: float | None
    rejection: str | None = None
    unknown_words: tuple[str, ...] = ()


class ConfigReplicator:
    """Runs the effects of the replication of the configuration.

    ``rejection`` and ``unknown_words`` are those of the version that this node last
    read from the source, see ``ConfigurationUpdate``.

    :param shell: the ``ProxyShell``.
    """

    def __init__(self, shell):
        self._shell = shell
        # Separate from the pool for attempts: a late answer to a poll closes the idle
        # connections to a node, and those for attempts must stay.
        self.pool = ConnectionPool(MAX_NEWS_BYTES, buffers=shell.buffers)
        self.rejection = None
        self.unknown_words = ()
        self._read = None
        self._tick_timer = None
        self._pending_polls = {}
        self.effect_handlers = {
            replication_messages.SendPoll: self._send_poll,
            replication_messages.SendPollResponse: self._send_poll_response,
            replication_messages.ConfigurationApplied: self._handle_configuration,
            effects.ReadSource: self._read_source,
            effects.ReportChange: self._report_change,
        }

    def start(self, read):
        """Start to read the source and to poll the other nodes.

        :param read: a coroutine function of the version held and the time to wait in
            seconds; it returns a ``ConfigurationUpdate``.
        """
        self._read = read
        self._tick()

    def stop(self):
        """Stop the ticks; polls of other nodes are still answered."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def _tick(self):
        self._tick_timer = self._shell.loop.call_later(TICK_S, self._tick)
        self._shell.handle(events.Ticked(self._shell.loop.time()))

    def _report_change(self, effect):
        logger.info(effect.change, extra=effect.fields)

    def _handle_configuration(self, effect):
        self._shell.apply_limits()
        fields = {
            "version": effect.version,
            "before": effect.before,
            "routes": effect.routes,
            "origin": effect.origin,
            "asked_ms": round(effect.asked_s * 1000),
            "parents": effect.parents,
        }
        logger.info("configuration in force", extra=fields)

    # The source

    def _read_source(self, effect):
        self._shell.tasks.spawn(self._fetch_configuration(effect))

    async def _fetch_configuration(self, effect):
        shell = self._shell
        try:
            update = await self._read(effect.after_revision, effect.wait_s)
            document = None
            self.rejection = update.rejection
            self.unknown_words = update.unknown_words
            if update.configuration is not None:
                document = shell.proxy.make_document(update.configuration)
        except SourceError as error:
            self._report_read_failure(effect, error.step, error.message)
            return
        except Exception as error:
            # Without an event the core would never read the source again.
            logger.exception("read of the source failed")
            self._report_read_failure(effect, "read", repr(error))
            return
        shell.handle(
            events.SourceAnswered(
                CONFIG,
                update.version,
                document,
                shell.loop.time(),
                effect.read_id,
                update.transfer_s,
            )
        )

    def _report_read_failure(self, effect, step, reason):
        shell = self._shell
        shell.metrics.count("source_failures")
        now_s = shell.loop.time()
        shell.handle(events.SourceFailed(CONFIG, step, reason, now_s, effect.read_id))

    # Other nodes

    def _send_poll(self, effect):
        self._shell.tasks.spawn(self._exchange_poll(effect))

    async def _exchange_poll(self, effect):
        shell = self._shell
        address = effect.address
        try:
            response = await self.pool.fetch(
                address,
                "POST",
                POLL_PATH,
                HTTPHeaders({"Host": PLACEHOLDER_HOST}),
                wire.encode_poll_request(effect.request),
                timeout_s=effect.request.wait_s + ANSWER_MARGIN_S,
            )
            shell.metrics.count("control_bytes", response.size)
            answer = wire.decode_poll_response(response.body)
        except ExchangeError as error:
            self._report_node_failure(address, error.step)
            return
        except ValueError:
            self._report_node_failure(address, "decode")
            return
        except Exception:
            # Without an event the core would never poll the node again.
            logger.exception("poll of a node failed")
            self._report_node_failure(address, "ask")
            return
        shell.handle(
            replication_messages.PollResponseReceived(
                address, answer, shell.loop.time()
            )
        )

    def _report_node_failure(self, address, step):
        shell = self._shell
        shell.metrics.count("question_failures")
        logger.info("node gave no news", extra={"node": address, "step": step})
        shell.handle(events.PeerFailed(address, step, CONFIG, shell.loop.time()))

    def receive_poll(self, connection, body):
        """Handle another node's poll; its connection waits for the answer."""
        shell = self._shell
        try:
            request = wire.decode_poll_request(body)
        except ValueError as error:
            shell.refuse_message(connection, "malformed poll", error)
            return
        exchange_id = shell.next_id()
        self._pending_polls[exchange_id] = connection
        connection.set_close_callback(lambda: self._drop_poll(exchange_id))
        now_s = shell.loop.time()
        shell.handle(replication_messages.PollReceived(exchange_id, request, now_s))

    def _drop_poll(self, exchange_id):
        if self._pending_polls.pop(exchange_id, None) is not None:
            self._shell.proxy.replication.drop_poll(exchange_id)

    def _send_poll_response(self, effect):
        connection = self._pending_polls.pop(effect.exchange_id)
        body = wire.encode_poll_response(effect.response)
        self._shell.metrics.count("control_bytes", len(body))
        self._shell.link_sender.record_sent(len(body))
        write_response(connection, "POST", 200, HTTPHeaders(), body)
