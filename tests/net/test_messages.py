"""Tests of HTTP messages that a node forwards."""

import unittest
from dataclasses import replace

from balsamdeal.net.messages import Payload, compute_digest


class DigestTest(unittest.TestCase):
    """One request, and others that differ from it in one part."""

    payload = Payload("POST", "/a/1?x=1", (("Host", "h"), ("X-Id", "r1")), b"body")

    def test_attempts_at_one_request_are_alike(self):
        headers = (("host", "h"), ("X-Id", "r2"), ("X-Left-Ms", "700"))
        again = replace(self.payload, headers=headers)
        self.assertEqual(compute_digest(again), compute_digest(self.payload))

    def test_other_requests_differ(self):
        host = self.payload.headers[0]
        others = [
            replace(self.payload, method="PUT"),
            replace(self.payload, path="/a/1?x=2"),
            replace(self.payload, body=b"bodY"),
            replace(self.payload, headers=(("Host", "i"),)),
            replace(self.payload, headers=(host, ("Authorization", "Bearer x"))),
            replace(self.payload, headers=(host, ("Cookie", "session=1"))),
        ]
        digests = {compute_digest(item) for item in [self.payload, *others]}
        self.assertEqual(len(digests), 1 + len(others))
