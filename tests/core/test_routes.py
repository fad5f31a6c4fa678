"""Tests of routes: hosts, longest prefixes, weighted backends."""

import unittest
from collections import Counter

from balsamdeal.core.routes import (
    Backend,
    Configuration,
    HostRoute,
    WeightedChoice,
)


def make_route(name, prefix, *backends, **changes):
    """Return a route; each backend is a pair of service and weight."""
    fields = {
        "idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 0.5,
        "max_attempts": 2,
        "rank": 2,
        **changes,
    }
    parts = tuple(Backend(*pair) for pair in backends or (("desk", 1.0),))
    return HostRoute(name, prefix, parts, **fields)


def make_configuration(version, *routes, host="shop.example"):
    """Return a configuration with these routes at one host."""
    services = frozenset(
        backend.service for route in routes for backend in route.backends
    )
    return Configuration(
        version, {host: {route.prefix: route for route in routes}}, services
    )


class MatchTest(unittest.TestCase):
    """A request matches the route of its host with the longest prefix."""

    def setUp(self):
        self.short = make_route("short", "/a/")
        self.long = make_route("long", "/a/b/")
        self.configuration = make_configuration(1, self.short, self.long)

    def test_longest_prefix_wins(self):
        match = self.configuration.match
        self.assertIs(match("shop.example", "/a/b/c"), self.long)
        self.assertIs(match("shop.example", "/a/bc"), self.short)
        self.assertIs(match("shop.example", "/a/"), self.short)

    def test_query_is_ignored(self):
        self.assertIs(self.configuration.match("shop.example", "/a/x?/b/"), self.short)

    def test_port_and_case_of_the_host_are_ignored(self):
        self.assertIs(self.configuration.match("Shop.example:80", "/a/x"), self.short)

    def test_no_route(self):
        self.assertIsNone(self.configuration.match("shop.example", "/b/"))
        self.assertIsNone(self.configuration.match("other.example", "/a/"))
        self.assertIsNone(self.configuration.match("shop.example", "/a"))


class WeightedChoiceTest(unittest.TestCase):
    """Backends get requests by their weights, also over few requests."""

    def test_counts_follow_the_weights(self):
        route = make_route("split", "/", ("old", 90.0), ("new", 10.0))
        choice = WeightedChoice()
        counts = Counter(choice.choose(route) for _ in range(100))
        self.assertEqual(counts, {"old": 90, "new": 10})

    def test_backend_of_weight_zero_gets_no_requests(self):
        route = make_route("split", "/", ("old", 0.0), ("new", 3.0))
        choice = WeightedChoice()
        self.assertEqual({choice.choose(route) for _ in range(20)}, {"new"})
