"""Tests of decoding the platform's configurations and server entries."""

import base64
import json
import math
import unittest

from balsamdeal.core.revisions import Revision
from balsamdeal.core.routes import Backend, HostRoute, Limits
from balsamdeal.errors import ContentError
from balsamdeal.platform.messages import (
    MAX_ROUTE_TIME_S,
    MAX_SLOTS,
    MAX_UNKNOWN_WORDS,
    ItemMessage,
    decode_configuration,
    decode_target,
)


def make_route(prefix, **action):
    """Return a route as a mapping of fields; ``action`` adds or replaces fields."""
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
    """Return the table of rows that are given as mappings of fields."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    values = [[row.get(name) for name in columns] for row in rows]
    return {"columns": columns, "rows": values}


def make_configuration(version, *raw_routes, services=("desk", "board")):
    """Return a configuration as the store holds it."""
    service_rows = [{"name": name, "health-path": "/health"} for name in services]
    return {
        "version": f"{version:08x}",
        "routes": make_table(raw_routes),
        "services": make_table(service_rows),
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
    """A configuration with any invalid part is rejected."""

    def decode(self, content):
        return decode_configuration(json.dumps(content).encode())

    def test_version_is_hexadecimal(self):
        content = make_configuration(0x1C, make_route("/a/", service="desk"))
        self.assertEqual(self.decode(content).version, 0x1C)

    def decode_routes(self, *raw_routes):
        return self.decode(make_configuration(1, *raw_routes))

    def test_invalid_versions_are_rejected(self):
        raw_route = make_route("/a/", service="desk")
        for version in (7, None, "", "no number"):
            with self.subTest(version), self.assertRaises(ContentError):
                self.decode({**make_configuration(1, raw_route), "version": version})

    def test_route_and_limits(self):
        raw_route = {**make_route("/a/", service="desk"), "host": "Shop.Example"}
        configuration = self.decode_routes(raw_route)
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
        split = make_route("/a/", **{"weighted-backends": parts})
        whole = make_route("/b/", service="board")
        configuration = self.decode_routes(split, whole)
        route = configuration.match("shop.example", "/a/x")
        self.assertEqual(route.backends, (Backend("desk", 90), Backend("board", 10)))
        route = configuration.match("shop.example", "/b/x")
        self.assertEqual(route.backends, (Backend("board", 1.0),))

    # Guards against a kind that is missing from the adapter: nobody was served.
    def test_downloads_are_idempotent(self):
        raw_routes = [
            {**make_route(f"/{kind}/", service="desk"), "kind": kind}
            for kind in ("download", "safe", "unsafe")
        ]
        configuration = self.decode_routes(*raw_routes)
        found = [
            configuration.match("shop.example", f"/{kind}/1").idempotent
            for kind in ("download", "safe", "unsafe")
        ]
        self.assertEqual(found, [True, True, False])

    # Guards against a new word in one route that makes all routes useless.
    def test_unknown_kind_is_not_idempotent_and_leaves_other_routes_as_they_are(self):
        good = make_route("/a/", service="desk")
        odd = {**make_route("/b/", service="board"), "kind": "odd"}
        for raw_routes in ((good, odd), (odd, good)):
            configuration = self.decode_routes(*raw_routes)
            route = configuration.match("shop.example", "/b/x")
            expected = HostRoute(
                "rule /b/", "/b/", (Backend("board", 1.0),), False, 1.5, 0.5, 2, 2
            )
            self.assertEqual(route, expected)
            self.assertTrue(configuration.match("shop.example", "/a/x").idempotent)
            self.assertEqual(
                configuration.unknown_words, ("kind 'odd' of route 'rule /b/'",)
            )

    def test_unknown_words_are_listed_up_to_a_bound(self):
        raw_routes = [
            {**make_route(f"/{number}/", service="desk"), "kind": "x" * 1000}
            for number in range(50)
        ]
        words = self.decode_routes(*raw_routes).unknown_words
        self.assertEqual(len(words), MAX_UNKNOWN_WORDS + 1)
        self.assertEqual(words[-1], f"{50 - MAX_UNKNOWN_WORDS} more")
        self.assertLess(max(map(len, words)), 120)

    def test_columns_in_any_order(self):
        raw_routes = [
            make_route("/a/", service="desk"),
            {**make_route("/b/", service="board"), "kind": "unsafe"},
        ]
        content = make_configuration(1, *raw_routes)
        expected = self.decode(content)
        kinds = [
            expected.match("shop.example", path).idempotent for path in ("/a/", "/b/")
        ]
        self.assertEqual(kinds, [True, False])
        for name in ("routes", "services"):
            table = content[name]
            table["columns"].reverse()
            for row in table["rows"]:
                row.reverse()
        self.assertEqual(self.decode(content), expected)

    def test_unknown_columns_are_ignored(self):
        raw_route = make_route("/a/", service="desk")
        expected = self.decode_routes(raw_route)
        for value in (None, 5, {"of": ["any", "type"]}):
            with self.subTest(value):
                self.assertEqual(
                    self.decode_routes({**raw_route, "new": value}), expected
                )

    def test_missing_columns_are_rejected(self):
        raw_route = make_route("/a/", service="desk")
        for name in ("name", "host", "path-prefix", "kind", "timeout-s"):
            rest = {field: raw_route[field] for field in raw_route if field != name}
            with self.subTest(name), self.assertRaises(ContentError):
                self.decode_routes(rest)
        content = make_configuration(1, raw_route)
        content["services"] = make_table([{"health-path": "/health"}])
        with self.assertRaises(ContentError):
            self.decode(content)

    def test_null_means_an_absent_field(self):
        raw_route = make_route("/a/", service="desk")
        for name in ("name", "host", "path-prefix", "kind", "timeout-s"):
            with self.subTest(name), self.assertRaises(ContentError):
                self.decode_routes({**raw_route, name: None})
        names = ("target-latency-s", "max-attempts", "priority", "weighted-backends")
        null = {**raw_route, **dict.fromkeys(names)}
        absent = {field: raw_route[field] for field in raw_route if field not in names}
        for name, raw_routes in (("null", null), ("no column", absent)):
            with self.subTest(name):
                route = self.decode_routes(raw_routes).match("shop.example", "/a/")
                self.assertEqual(route.backends, (Backend("desk", 1.0),))
                found = (route.objective_s, route.max_attempts, route.rank)
                self.assertEqual(found, (1.0, 1, 0))

    def test_rows_of_wrong_length_are_rejected(self):
        raw_route = make_route("/a/", service="desk")
        for name in ("routes", "services"):
            for change in (lambda row: row.pop(), lambda row: row.append(None)):
                content = make_configuration(1, raw_route)
                change(content[name]["rows"][-1])
                with self.subTest(name), self.assertRaises(ContentError):
                    self.decode(content)

    def test_invalid_tables_are_rejected(self):
        raw_route = make_route("/a/", service="desk")
        table = make_table([raw_route])
        for routes in (
            None,
            [],
            [raw_route],
            {"columns": table["columns"]},
            {"rows": table["rows"]},
            {**table, "columns": "name"},
            {**table, "columns": [5, *table["columns"][1:]]},
            {**table, "rows": {}},
            {**table, "rows": [raw_route]},
        ):
            with self.subTest(str(routes)[:40]), self.assertRaises(ContentError):
                self.decode({**make_configuration(1, raw_route), "routes": routes})

    # Guards against times that overflow once they are given in milliseconds.
    def test_times_of_a_route_are_bounded(self):
        times = {"timeout-s": 1e308, "target-latency-s": 1e308}
        raw_route = make_route("/a/", service="desk", **times)
        route = self.decode_routes(raw_route).hosts["shop.example"]["/a/"]
        self.assertEqual((route.timeout_s, route.objective_s), (MAX_ROUTE_TIME_S,) * 2)

    def test_one_invalid_route_rejects_the_configuration(self):
        good = make_route("/a/", service="desk")
        zero_weight = make_route(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": 0}]}
        )
        negative_weight = make_route(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": -1}]}
        )
        infinite_weight = make_route(
            "/b/", **{"weighted-backends": [{"service": "desk", "weight": math.inf}]}
        )
        unknown_backend = make_route(
            "/b/", **{"weighted-backends": [{"service": "none", "weight": 1}]}
        )
        for name, raw_route in (
            ("unknown service", make_route("/b/", service="none")),
            ("unknown service of a backend", unknown_backend),
            ("no service", make_route("/b/")),
            ("empty service", make_route("/b/", service="")),
            ("service of another type", make_route("/b/", service=["desk"])),
            ("no kind", {**good, "kind": None}),
            ("empty kind", {**good, "kind": ""}),
            ("kind of another type", {**good, "kind": 5}),
            ("kinds", {**good, "kind": ["safe"]}),
            ("zero weight", zero_weight),
            ("infinite timeout", {**good, "timeout-s": math.inf}),
            ("infinite objective", {**good, "target-latency-s": math.inf}),
            ("infinite weight", infinite_weight),
            ("no backends", make_route("/b/", **{"weighted-backends": []})),
            ("negative weight", negative_weight),
            ("no prefix", {**good, "path-prefix": None}),
            ("prefix without slash", {**good, "path-prefix": "b/"}),
            ("zero timeout", {**good, "timeout-s": 0}),
            ("timeout as text", {**good, "timeout-s": "1.5"}),
            ("zero attempts", {**good, "max-attempts": 0}),
            ("zero objective", {**good, "target-latency-s": 0}),
            ("fractional rank", {**good, "priority": 0.5}),
        ):
            with self.subTest(name):
                self.decode_routes(good)
                for raw_routes in ((good, raw_route), (raw_route, good)):
                    with self.assertRaises(ContentError):
                        self.decode_routes(*raw_routes)

    def test_truncated_content_is_rejected(self):
        raw_route = make_route("/a/", service="desk")
        content = json.dumps(make_configuration(1, raw_route)).encode()
        decode_configuration(content)
        with self.assertRaises(ContentError):
            decode_configuration(content[:-20])


class EntryTest(unittest.TestCase):
    """Entries that are not of the platform's format are rejected."""

    def decode(self, content, key="servers/i-1", revision=7):
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        value = base64.b64encode(content).decode()
        item = ItemMessage(key=key, revision=revision, value=value)
        return decode_target(item, "servers/", "8145", era=2)

    def test_target_of_an_entry(self):
        target = self.decode(make_entry("10.0.0.9:8080", born=1790000000000))
        self.assertEqual(target.identity, ("i-1", 1790000000000))
        self.assertEqual(target.node_address, "10.0.0.9:8145")
        self.assertEqual((target.revision, target.leaving), (Revision(2, 7), False))

    def test_draining(self):
        self.assertTrue(self.decode(make_entry("10.0.0.9:1", state="draining")).leaving)

    def test_invalid_entries_are_rejected(self):
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

    # Guards against requests that are run by another service, as an entry of another
    # writer under a server's id was taken for the server's (review/1).
    def test_entry_that_lacks_a_field_is_rejected(self):
        good = make_entry("10.0.0.9:8080")
        for missing in good:
            content = {name: good[name] for name in good if name != missing}
            with self.subTest(missing), self.assertRaises(ContentError):
                self.decode(content)

    def test_entry_with_a_field_of_another_type_is_rejected(self):
        good = make_entry("10.0.0.9:8080", born=1790000000000)
        for name in good:
            for value in ([], {}, True, None if name != "born" else [None]):
                with self.subTest((name, value)), self.assertRaises(ContentError):
                    self.decode({**good, name: value})
        for changes in ({"version": 3}, {"sequence": "x"}, {"cold-remaining-s": "0"}):
            with self.subTest(changes), self.assertRaises(ContentError):
                self.decode({**good, **changes})

    # Guards against nodes that fail on each request, or stop following the list, as
    # an entry of another writer has a value that no later step can take (review/3).
    def test_entry_with_a_value_that_nothing_can_take_is_rejected(self):
        good = json.dumps(make_entry("10.0.0.9:8080", born=1790000000000))
        long_number = "9" * 401
        for old, new in (
            ('"slots": 18', f'"slots": {long_number}'),
            ('"slots": 18', f'"slots": {MAX_SLOTS + 1}'),
            ('"slots": 18', '"slots": 1e5'),
            ('"slots": 18', f'"slots": {"9" * 5000}'),
            ('"sequence": 4', f'"sequence": {long_number}'),
            ("1790000000000", long_number),
            ("1790000000000", f"-{long_number}"),
            ('"cold-remaining-s": 0', '"cold-remaining-s": 1e400'),
            ('"cold-remaining-s": 0', f'"cold-remaining-s": {long_number}'),
            ('"cold-remaining-s": 0', '"cold-remaining-s": NaN'),
            ('"cold-remaining-s": 0', '"cold-remaining-s": Infinity'),
            ("10.0.0.9:8080", "10.0.0.9:0"),
            ("10.0.0.9:8080", "10.0.0.9:65536"),
            ("10.0.0.9:8080", "10.0.0.9:-1"),
            ("10.0.0.9:8080", "10.0.0.9:" + long_number),
            ("10.0.0.9:8080", "10.0.0.9:٣"),
            ("10.0.0.9:8080", "10.0.0.300:8080"),
            ("10.0.0.9:8080", "10.0.0.٩:8080"),
            ("10.0.0.9:8080", "10.0.0:8080"),
            ("10.0.0.9:8080", "0.0.0.0:8080"),
            ("10.0.0.9:8080", "255.255.255.255:8080"),
            ("10.0.0.9:8080", "224.0.0.1:8080"),
            ("10.0.0.9:8080", "10.0.0.9:8080\\n"),
            ('"desk"', "[" * 900 + "]" * 900),
            ('"desk"', "[" * 100000 + "]" * 100000),
            ('"desk"', '{"a":' * 900 + "1" + "}" * 900),
            ('"slots"', f'"new": {"[" * 100000 + "]" * 100000}, "slots"'),
        ):
            content = good.replace(old, new)
            self.assertNotEqual(content, good)
            with self.subTest((old, new[:40])), self.assertRaises(ContentError):
                self.decode(content.encode())

    def test_unknown_fields_may_have_any_type(self):
        self.decode(make_entry("10.0.0.9:8080", new=1, newer=[{}]))
