"""Tests of the platform's formats: configurations, entries, what is no entry."""

import base64
import json
import unittest

from balsamdeal.core.routes import Backend, HostRoute, Limits
from balsamdeal.errors import ContentError
from balsamdeal.platform.messages import (
    ItemMessage,
    decode_configuration,
    decode_target,
)


def make_rule(prefix, **action):
    """Return a route, by names of fields."""
    return {
        "name": f"rule {prefix}",
        "host": "shop.example",
        "path-prefix": prefix,
        "kind": "safe",
        "timeout-s": 1.5,
        "target-latency-s": 0.5,
        "priority": 2,
        "max-attempts": 2,
        **action,
    }


def make_table(rows):
    """Return a table of rows that are given by names of fields."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    values = [[row.get(name) for name in columns] for row in rows]
    return {"columns": columns, "rows": values}


def make_configuration(version, *rules, services=("desk", "board")):
    """Return a configuration as the store holds it."""
    clusters = [{"name": name, "health-path": "/health"} for name in services]
    return {
        "version": f"{version:08x}",
        "routes": make_table(rules),
        "services": make_table(clusters),
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1000000,
            "header-timeout-s": 3,
            "idle-timeout-s": 15,
        },
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

    def decode_rules(self, *rules):
        return self.decode(make_configuration(1, *rules))

    def test_version_that_is_no_text(self):
        rule = make_rule("/a/", service="desk")
        for version in (7, None, "", "no number"):
            with self.subTest(version), self.assertRaises(ContentError):
                self.decode({**make_configuration(1, rule), "version": version})

    def test_route_and_limits(self):
        rule = {**make_rule("/a/", service="desk"), "host": "Shop.Example"}
        configuration = self.decode_rules(rule)
        route = HostRoute(
            "rule /a/", "/a/", (Backend("desk", 1.0),), True, 1.5, 0.5, 2, 2
        )
        self.assertEqual(configuration.hosts, {"shop.example": {"/a/": route}})
        self.assertEqual(configuration.services, {"desk", "board"})
        self.assertEqual(configuration.limits, Limits(16384, 1000000, 3, 15))

    def test_weighted_backends(self):
        parts = [
            {"service": "desk", "weight": 90},
            {"service": "board", "weight": 10},
        ]
        split = make_rule("/a/", **{"weighted-backends": parts})
        whole = make_rule("/b/", service="board")
        configuration = self.decode_rules(split, whole)
        route = configuration.match("shop.example", "/a/x")
        self.assertEqual(route.backends, (Backend("desk", 90), Backend("board", 10)))
        route = configuration.match("shop.example", "/b/x")
        self.assertEqual(route.backends, (Backend("board", 1.0),))

    def test_columns_in_any_order(self):
        rules = [
            make_rule("/a/", service="desk"),
            {**make_rule("/b/", service="board"), "kind": "unsafe"},
        ]
        content = make_configuration(1, *rules)
        usual = self.decode(content)
        kinds = [
            usual.match("shop.example", path).idempotent for path in ("/a/", "/b/")
        ]
        self.assertEqual(kinds, [True, False])
        for name in ("routes", "services"):
            table = content[name]
            table["columns"].reverse()
            for row in table["rows"]:
                row.reverse()
        self.assertEqual(self.decode(content), usual)

    def test_unknown_columns_are_ignored(self):
        rule = make_rule("/a/", service="desk")
        usual = self.decode_rules(rule)
        for value in (None, 5, {"of": ["any", "type"]}):
            with self.subTest(value):
                self.assertEqual(self.decode_rules({**rule, "new": value}), usual)

    def test_missing_columns(self):
        rule = make_rule("/a/", service="desk")
        for name in ("name", "host", "path-prefix", "kind", "timeout-s"):
            rest = {field: rule[field] for field in rule if field != name}
            with self.subTest(name), self.assertRaises(ContentError):
                self.decode_rules(rest)
        content = make_configuration(1, rule)
        content["services"] = make_table([{"health-path": "/health"}])
        with self.assertRaises(ContentError):
            self.decode(content)

    def test_null_is_a_field_that_is_absent(self):
        rule = make_rule("/a/", service="desk")
        for name in ("name", "host", "path-prefix", "kind", "timeout-s"):
            with self.subTest(name), self.assertRaises(ContentError):
                self.decode_rules({**rule, name: None})
        names = ("target-latency-s", "max-attempts", "priority", "weighted-backends")
        null = {**rule, **dict.fromkeys(names)}
        absent = {field: rule[field] for field in rule if field not in names}
        for name, rules in (("null", null), ("no column", absent)):
            with self.subTest(name):
                route = self.decode_rules(rules).match("shop.example", "/a/")
                self.assertEqual(route.backends, (Backend("desk", 1.0),))
                found = (route.objective_s, route.max_attempts, route.rank)
                self.assertEqual(found, (1.0, 1, 0))

    def test_rows_of_another_length(self):
        rule = make_rule("/a/", service="desk")
        for name in ("routes", "services"):
            for change in (lambda row: row.pop(), lambda row: row.append(None)):
                content = make_configuration(1, rule)
                change(content[name]["rows"][-1])
                with self.subTest(name), self.assertRaises(ContentError):
                    self.decode(content)

    def test_what_is_no_table(self):
        rule = make_rule("/a/", service="desk")
        table = make_table([rule])
        for routes in (
            None,
            [],
            [rule],
            {"columns": table["columns"]},
            {"rows": table["rows"]},
            {**table, "columns": "name"},
            {**table, "columns": [5, *table["columns"][1:]]},
            {**table, "rows": {}},
            {**table, "rows": [rule]},
        ):
            with self.subTest(str(routes)[:40]), self.assertRaises(ContentError):
                self.decode({**make_configuration(1, rule), "routes": routes})

    def test_one_bad_route_makes_the_whole_bad(self):
        good = make_rule("/a/", service="desk")
        no_weight = make_rule(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": 0}]}
        )
        below_zero = make_rule(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": -1}]}
        )
        unknown_part = make_rule(
            "/b/", **{"weighted-backends": [{"service": "none", "weight": 1}]}
        )
        for name, rule in (
            ("unknown service", make_rule("/b/", service="none")),
            ("unknown service of a part", unknown_part),
            ("no service", make_rule("/b/")),
            ("empty service", make_rule("/b/", service="")),
            ("service that is no text", make_rule("/b/", service=["desk"])),
            ("odd kind", {**good, "kind": "odd"}),
            ("no weight", no_weight),
            ("no parts", make_rule("/b/", **{"weighted-backends": []})),
            ("below zero", below_zero),
            ("no prefix", {**good, "path-prefix": None}),
            ("odd prefix", {**good, "path-prefix": "b/"}),
            ("no time", {**good, "timeout-s": 0}),
            ("time as text", {**good, "timeout-s": "1.5"}),
            ("no attempts", {**good, "max-attempts": 0}),
            ("no objective", {**good, "target-latency-s": 0}),
            ("odd rank", {**good, "priority": 0.5}),
        ):
            with self.subTest(name):
                self.decode_rules(good)
                for rules in ((good, rule), (rule, good)):
                    with self.assertRaises(ContentError):
                        self.decode_rules(*rules)

    def test_cut_short(self):
        rule = make_rule("/a/", service="desk")
        content = json.dumps(make_configuration(1, rule)).encode()
        decode_configuration(content)
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
