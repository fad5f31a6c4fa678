"""Sends replies to other nodes in the order of a ``core.link_queue.LinkQueue``."""

from dataclasses import dataclass

from balsamdeal.net.messages import begin_response, write_response


@dataclass(slots=True)
class PendingReply:
    """A large reply that has not been sent whole.

    ``rest`` is what remains of its ``size`` bytes. ``begun_s`` is the loop's time in
    seconds.
    """

    connection: object
    request_id: str
    size: int
    rest: memoryview
    begun_s: float


class LinkSender:
    """Sends small replies at once, and large ones in chunks as the link takes them.

    :param loop: the event loop.
    :param queue: the ``LinkQueue`` of the VM's own link.
    :param report: a function of a large reply's request id, its bytes, the bytes that
        were not sent as its receiver had left, and the seconds that it took.
    """

    def __init__(self, loop, queue, report):
        self._loop = loop
        self._queue = queue
        self._report = report
        self._pending = {}
        self._last_id = 0
        self._timer = None

    def record_sent(self, size):
        """Record bytes that are sent to other VMs on the way past this sender."""
        self._queue.record_sent(size, self._loop.time())

    def send(self, connection, headers, message, due_s, request_id):
        """Send a complete reply; a connection that closes meanwhile ends it.

        :param connection: the ``HTTP1Connection`` of tornado's server.
        :param headers: ``HTTPHeaders``; Content-Length is added.
        :param message: the body as bytes.
        :param due_s: the loop's time, in seconds, by which it should arrive.
        :param request_id: the id of the request, for the report.
        """
        if not self._queue.is_large(len(message)):
            self.record_sent(len(message))
            write_response(connection, "POST", 200, headers, message)
            return
        if not begin_response(connection, 200, headers, len(message)):
            return
        self._last_id += 1
        message_id = self._last_id
        self._pending[message_id] = PendingReply(
            connection,
            request_id,
            len(message),
            memoryview(message),
            self._loop.time(),
        )
        connection.set_close_callback(lambda: self._drop(message_id))
        self._queue.add(message_id, len(message), due_s)
        self._send_due()

    def _drop(self, message_id):
        """Forget a reply whose receiver has disconnected."""
        if message_id in self._pending:
            self._queue.remove(message_id)
            self._end(message_id)

    def _end(self, message_id):
        pending = self._pending.pop(message_id)
        took_s = self._loop.time() - pending.begun_s
        self._report(pending.request_id, pending.size, len(pending.rest), took_s)

    def _send_due(self):
        """Send the chunks that are due, and set the timer of the next one."""
        while chunk := self._queue.take_chunk(self._loop.time()):
            self._send_chunk(*chunk)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_s = self._queue.find_next_s()
        if next_s is not None:
            self._timer = self._loop.call_at(next_s, self._send_due)

    def _send_chunk(self, message_id, size):
        pending = self._pending[message_id]
        connection = pending.connection
        if connection.stream is None or connection.stream.closed():
            self._drop(message_id)
            return
        connection.write(bytes(pending.rest[:size]))
        pending.rest = pending.rest[size:]
        if not pending.rest:
            connection.finish()
            self._end(message_id)

    def stop(self):
        """Send nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
        self._pending.clear()
