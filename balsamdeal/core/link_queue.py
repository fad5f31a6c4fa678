"""Order of messages on a VM's own link.

A large answer holds a narrow link for up to a second, and small answers, versions and
polls would wait behind it. So small messages are sent at once, and large ones in
chunks, as fast as the link takes them: there is never much more than a chunk ahead of
a small message.

Pure: the shell adds messages, asks for chunks and waits in between.
"""

# Time that the link takes for one chunk; a message of at most one chunk is small.
CHUNK_S = 0.03
MIN_CHUNK_BYTES = 8192
# Share of the link's bandwidth that messages of nodes may use. The rest is for packet
# headers, acknowledgements and the protocols of others on the VM.
LINK_SHARE = 0.92


class LinkQueue:
    """Large messages that wait for the own link; changed in place.

    Of the messages that can still be in time the one with the shortest remainder goes
    first, so that most are; then the others, likewise. Without a known bandwidth
    nothing waits.

    :param link_mbps: the bandwidth in Mbit/s, or None if it is not known.
    """

    def __init__(self, link_mbps):
        self.link_mbps = link_mbps or None
        self._bytes_per_s = (link_mbps or 0.0) * 1e6 / 8 * LINK_SHARE
        self._chunk_bytes = max(MIN_CHUNK_BYTES, int(self._bytes_per_s * CHUNK_S))
        self._remaining = {}
        self._due_s = {}
        self._idle_from_s = 0.0

    def is_large(self, size):
        """Return whether a message of ``size`` bytes is sent in chunks."""
        return self.link_mbps is not None and size > self._chunk_bytes

    def record_sent(self, size, now_s):
        """Record bytes that are sent at once, and are ahead of waiting messages."""
        if self.link_mbps is not None:
            begin_s = max(now_s, self._idle_from_s)
            self._idle_from_s = begin_s + size / self._bytes_per_s

    def add(self, message_id, size, due_s):
        """Add a large message.

        :param message_id: its id, unique among the messages that wait.
        :param size: its bytes.
        :param due_s: the loop's time, in seconds, by which it should have been sent.
        """
        self._remaining[message_id] = size
        self._due_s[message_id] = due_s

    def remove(self, message_id):
        """Remove a message that nobody waits for any more."""
        self._remaining.pop(message_id, None)
        self._due_s.pop(message_id, None)

    def take_chunk(self, now_s):
        """Return the message that is due and the bytes of it to send, or None.

        A message is removed with its last chunk.
        """
        if not self._remaining or now_s < self._idle_from_s:
            return None

        def make_order(message_id):
            remaining = self._remaining[message_id]
            ends_s = now_s + remaining / self._bytes_per_s
            return ends_s > self._due_s[message_id], remaining

        message_id = min(self._remaining, key=make_order)
        size = min(self._chunk_bytes, self._remaining[message_id])
        self._remaining[message_id] -= size
        if not self._remaining[message_id]:
            self.remove(message_id)
        self.record_sent(size, now_s)
        return message_id, size

    def find_next_s(self):
        """Return when the next chunk is due, or None if no message waits."""
        return self._idle_from_s if self._remaining else None

    def count_bytes(self):
        """Return the bytes of all large messages that have not been sent."""
        return sum(self._remaining.values())

    def is_idle(self):
        """Return whether no large message waits."""
        return not self._remaining

    def estimate_transfer_s(self, size):
        """Return how long an idle link takes for a message, in seconds."""
        return size / self._bytes_per_s if self.link_mbps is not None else 0.0

    def estimate_wait_s(self, now_s, further_bytes=0.0):
        """Return how long the link takes for what waits, in seconds.

        :param further_bytes: bytes that are expected besides.
        """
        if self.link_mbps is None:
            return 0.0
        size = self.count_bytes() + further_bytes
        return max(0.0, self._idle_from_s - now_s) + size / self._bytes_per_s
