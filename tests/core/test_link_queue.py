"""Tests of the order of messages on a VM's own link."""

import math
import unittest

from balsamdeal.core.link_queue import CHUNK_S, LINK_SHARE, LinkQueue

THIN_MBPS = 3.5
BYTES_PER_S = THIN_MBPS * 1e6 / 8


class LinkQueueTest(unittest.TestCase):
    """A link of 3.5 Mbit/s, on which 90 KB take about a fifth of a second."""

    def setUp(self):
        self.queue = LinkQueue(THIN_MBPS)
        self.now_s = 100.0

    def add(self, message_id, size, due_s=math.inf):
        self.queue.add(message_id, size, due_s)

    def send_all(self, until_s=math.inf):
        """Send all chunks that are due; return (time, message, bytes) of each."""
        sent = []
        while self.queue.find_next_s() is not None:
            self.now_s = max(self.now_s, self.queue.find_next_s())
            if self.now_s >= until_s:
                break
            sent.append((self.now_s, *self.queue.take_chunk(self.now_s)))
        return sent

    def list_ends(self, sent):
        """Return the messages in the order of their last chunks."""
        last = {message_id: at_s for at_s, message_id, _ in sent}
        return sorted(last, key=last.get)

    def test_all_bytes_are_sent_within_the_bandwidth(self):
        self.add("a", 90_000)
        self.add("b", 250_001)
        sent = self.send_all()
        sizes = {}
        for _, message_id, size in sent:
            sizes[message_id] = sizes.get(message_id, 0) + size
        self.assertEqual(sizes, {"a": 90_000, "b": 250_001})
        took_s = sent[-1][0] - 100.0
        self.assertLessEqual(sum(sizes.values()) - sent[-1][2], took_s * BYTES_PER_S)
        self.assertGreaterEqual(340_001, took_s * BYTES_PER_S * LINK_SHARE * 0.99)

    # Guards against small answers that wait for seconds behind large ones.
    def test_no_more_than_a_chunk_is_ahead_of_a_small_message(self):
        for number in range(6):
            self.add(number, 540_000)
        while self.now_s < 103.0:
            self.now_s = self.queue.find_next_s() or self.now_s
            self.queue.take_chunk(self.now_s)
            self.assertLessEqual(self.queue.find_next_s() - self.now_s, CHUNK_S + 1e-9)

    def test_small_messages_delay_large_ones(self):
        self.add("a", 90_000)
        self.queue.take_chunk(self.now_s)
        before_s = self.queue.find_next_s()
        self.queue.record_sent(4_000, self.now_s)
        self.assertAlmostEqual(
            self.queue.find_next_s() - before_s, 4_000 / BYTES_PER_S / LINK_SHARE
        )

    def test_shortest_remainder_goes_first(self):
        self.add("long", 540_000)
        self.send_all(until_s=100.5)
        self.add("short", 60_000)
        self.assertEqual(self.list_ends(self.send_all()), ["short", "long"])

    # Guards against an overload in which all large answers become late, as each waits
    # for others that are late already.
    def test_late_messages_go_last(self):
        self.add("late", 20_000, due_s=99.0)
        self.add("long", 90_000, due_s=101.0)
        self.add("short", 60_000, due_s=101.0)
        self.assertEqual(self.list_ends(self.send_all()), ["short", "long", "late"])

    def test_removed_message_is_not_sent(self):
        self.add("a", 90_000)
        self.add("b", 60_000)
        self.queue.remove("b")
        self.queue.remove("b")
        self.assertEqual({item for _, item, _ in self.send_all()}, {"a"})
        self.assertTrue(self.queue.is_idle())

    def test_wait_covers_what_is_on_the_link_waits_and_is_expected(self):
        self.queue.record_sent(10_000, self.now_s)
        self.add("a", 90_000)
        expected_s = 200_000 / BYTES_PER_S / LINK_SHARE
        self.assertAlmostEqual(
            self.queue.estimate_wait_s(self.now_s, 100_000), expected_s
        )
        self.assertAlmostEqual(self.queue.estimate_transfer_s(200_000), expected_s)

    def test_nothing_is_large_on_a_link_of_unknown_bandwidth(self):
        queue = LinkQueue(None)
        queue.record_sent(10**9, 100.0)
        self.assertFalse(queue.is_large(10**9))
        self.assertEqual(queue.estimate_wait_s(100.0, 10**9), 0.0)

    def test_wide_links_send_at_once_what_thin_ones_send_in_chunks(self):
        self.assertTrue(LinkQueue(2.5).is_large(16_000))
        self.assertFalse(LinkQueue(1000.0).is_large(540_000))


if __name__ == "__main__":
    unittest.main()
