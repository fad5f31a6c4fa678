"""Tests of the platform's formats: configurations, entries, what is no entry."""

import base64
import json
import unittest

from balsamdeal.core.routes import Backend
from balsamdeal.errors import ContentError
from balsamdeal.platform.messages import (
    ItemMessage,
    decode_configuration,
    decode_target,
)


def make_rule(prefix, **action):
    """Return a rule of a listener."""
    return {
        "name": f"rule {prefix}",
        "kind": "safe",
        "target-latency-s": 0.5,
        "priority": 2,
        "match": {"path-prefix": prefix},
        "action": {"timeout-s": 1.5, "max-attempts": 2, **action},
    }


def make_configuration(version, *rules, services=("desk", "board")):
    """Return a configuration as the store holds it."""
    return {
        "version": f"{version:08x}",
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1000000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
        "listeners": [{"host": "shop.example", "route-rules": list(rules)}],
        "clusters": [{"name": name, "health-path": "/health"} for name in services],
    }


def make_entry(address, service="desk", zone="erie", **changes):
    """Return a server's entry as the store holds it."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 18,
        "state": "ready",
        "cold-remaining-s": 0,
        "sequence": 4,
        **changes,
    }


class ConfigurationTest(unittest.TestCase):
    """A configuration is taken whole or not at all."""

    def decode(self, content):
        return decode_configuration(json.dumps(content).encode())

    def test_version_is_hexadecimal(self):
        content = make_configuration(0x1C, make_rule("/a/", service="desk"))
        self.assertEqual(self.decode(content).version, 0x1C)

    def test_weighted_backends(self):
        parts = [
            {"service": "desk", "weight": 90},
            {"service": "board", "weight": 10},
        ]
        rule = make_rule("/a/", **{"weighted-backends": parts})
        route = self.decode(make_configuration(1, rule)).match("shop.example", "/a/x")
        self.assertEqual(route.backends, (Backend("desk", 90), Backend("board", 10)))

    def test_bad_configurations_are_refused_whole(self):
        good = make_rule("/a/", service="desk")
        no_weight = make_rule(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": 0}]}
        )
        below_zero = make_rule(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": -1}]}
        )
        for name, rule in (
            ("unknown service", make_rule("/b/", service="none")),
            ("no service", make_rule("/b/")),
            ("odd kind", {**good, "kind": "odd"}),
            ("no weight", no_weight),
            ("below zero", below_zero),
            ("no match", {**good, "match": {}}),
        ):
            with self.subTest(name), self.assertRaises(ContentError):
                self.decode(make_configuration(1, good, rule))

    def test_cut_short(self):
        content = json.dumps(make_configuration(1)).encode()
        with self.assertRaises(ContentError):
            decode_configuration(content[:-20])


class EntryTest(unittest.TestCase):
    """Entries of other writers name no server."""

    def decode(self, content, key="servers/i-1", revision=7):
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        value = base64.b64encode(content).decode()
        item = ItemMessage(key=key, revision=revision, value=value)
        return decode_target(item, "servers/", "8145")

    def test_target_of_an_entry(self):
        target = self.decode(make_entry("10.0.0.9:8080", born=1790000000000))
        self.assertEqual(target.identity, ("i-1", 1790000000000))
        self.assertEqual(target.node_address, "10.0.0.9:8145")
        self.assertEqual((target.revision, target.leaving), (7, False))

    def test_draining(self):
        self.assertTrue(self.decode(make_entry("10.0.0.9:1", state="draining")).leaving)

    def test_entries_that_name_no_server(self):
        good = make_entry("10.0.0.9:8080")
        for content in (
            b"\xff\xfe",
            b"[]",
            b"{",
            b"[" * 100000,
            {**good, "state": "odd"},
            {**good, "slots": "18"},
            {**good, "slots": 0},
            {**good, "address": "nowhere"},
            {**good, "service": 5},
            {name: good[name] for name in good if name != "zone"},
            {**good, "born": "yesterday"},
        ):
            with self.subTest(str(content)[:40]), self.assertRaises(ContentError):
                self.decode(content)

    def test_fields_of_no_use_may_be_of_any_type(self):
        self.decode(make_entry("10.0.0.9:8080", sequence="x", new=1))
