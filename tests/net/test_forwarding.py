"""Tests of forwarding: a reply is accepted only for the attempt it belongs to."""

import unittest
from types import SimpleNamespace

from tornado.httputil import HTTPHeaders

from balsamdeal.core import effects, events
from balsamdeal.core.replies import Reply
from balsamdeal.documents import CONFIG, Version
from balsamdeal.net import wire
from balsamdeal.net.connections import Response
from balsamdeal.net.forwarding import Forwarding

LOCAL_VERSION = Version(3, "c")
EFFECT = effects.SendAttempt(
    attempt_id="r1.1",
    request_id="r1",
    vm="vm-2",
    address="10.0.0.2:7002",
    service="desk",
    flow=("w", "c"),
    weight=1.0,
    key="w/k",
    fingerprint="f",
    fresh=False,
    idempotent=True,
    timeout_s=1.0,
    received_s=0.0,
    new_connection=False,
)


class MismatchedReplyTest(unittest.TestCase):
    """Replies between nodes carry the id of the attempt that they belong to."""

    def setUp(self):
        self.dropped = []
        self.handled = []
        state = SimpleNamespace(version=LOCAL_VERSION)
        self.forwarding = Forwarding(
            SimpleNamespace(
                loop=SimpleNamespace(time=lambda: 1.0),
                pool=SimpleNamespace(drop_idle=self.dropped.append),
                handle=self.handled.append,
                node=SimpleNamespace(
                    distribution=SimpleNamespace(channels={CONFIG: state})
                ),
            )
        )

    def decode(self, attempt, version=LOCAL_VERSION):
        reply = Reply("answered", 200, (("A", "b"),), b"body")
        headers = HTTPHeaders({"A": "b"})
        headers[wire.REPLY_HEADER] = wire.encode_reply(attempt, reply, version)
        response = Response(200, headers, b"body", 0)
        return self.forwarding._decode_reply(EFFECT, response)

    def test_reply_to_the_attempt_is_accepted(self):
        event = self.decode("r1.1")
        self.assertIsInstance(event, events.AttemptAnswered)
        self.assertEqual(event.reply.body, b"body")
        self.assertEqual(event.reply.headers, (("A", "b"),))
        self.assertEqual(self.handled, [])

    def test_reply_to_another_attempt_is_a_failure_that_may_have_run(self):
        event = self.decode("r2.1")
        self.assertIsInstance(event, events.AttemptFailed)
        self.assertTrue(event.written)
        self.assertEqual(self.dropped, ["10.0.0.2:7002"])

    def test_reply_without_header_fails(self):
        response = Response(200, HTTPHeaders(), b"", 0)
        event = self.forwarding._decode_reply(EFFECT, response)
        self.assertIsInstance(event, events.AttemptFailed)

    def test_newer_version_in_reply_is_hinted(self):
        self.decode("r1.1", Version(4, "a"))
        expected = events.VersionHinted("10.0.0.2:7002", Version(4, "a"), 1.0)
        self.assertEqual(self.handled, [expected])
