"""Tests of routes: hosts, longest prefixes, weighted backends."""

import unittest
from collections import Counter
from random import Random

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

    def choose(self, choice, count, *weights, name="split"):
        """Return how many of a route's requests the services a, b and so on get."""
        route = make_route(name, "/", *zip("abcdef", weights))
        return Counter(choice.choose(route) for _ in range(count))

    # Guards against requests that go to a service of weight 0, since credits of the
    # weights before are paid off in units of the new ones (review/4).
    def test_weights_hold_at_once_after_a_change_of_their_scale(self):
        for turns in range(1, 100):
            choice = WeightedChoice(Random(turns))
            self.choose(choice, turns, 90.0, 10.0)
            self.assertEqual(self.choose(choice, 60, 1.0, 0.0), {"a": 60})
            self.choose(choice, turns, 900.0, 100.0)
            counts = self.choose(choice, 60, 1.0, 1.0)
            self.assertEqual(counts, {"a": 30, "b": 30})
            self.choose(choice, turns, 0.0, 7.0)
            self.assertEqual(self.choose(choice, 60, 3.0, 0.0), {"a": 60})

    # Guards against a backend that gets no request of a fleet whose nodes have begun at
    # the same turn, or all of them.
    def test_shares_of_a_fleet_follow_the_weights_after_few_requests_a_node(self):
        for weights in ((1.0, 1.0), (90.0, 10.0), (6.0, 3.0, 1.0), (0.7, 0.3, 0.0)):
            for requests in (1, 2, 5):
                total = Counter()
                for seed in range(195):
                    choice = WeightedChoice(Random(seed))
                    self.choose(choice, seed % 7, 3.0, 1.0)
                    total += self.choose(choice, requests, *weights)
                for name, weight in zip("abc", weights):
                    share = total[name] / total.total()
                    with self.subTest((weights, requests, name)):
                        # Operators allow a difference of 0.2.
                        expected = weight / sum(weights)
                        self.assertAlmostEqual(share, expected, delta=0.2)

    def test_weights_of_any_size_are_followed(self):
        for pair in ((1e308, 1e308), (5e-324, 5e-324), (0.1, 0.1), (1e308, 5e-324)):
            counts = self.choose(WeightedChoice(Random(2)), 100, *pair)
            expected = 50 if pair[0] == pair[1] else 100
            with self.subTest(pair):
                self.assertAlmostEqual(counts["a"], expected, delta=1)

    def test_routes_of_one_name_and_other_backends_do_not_share_turns(self):
        choice = WeightedChoice(Random(3))
        counts = Counter()
        for _ in range(40):
            self.choose(choice, 1, 1.0, 1000.0)
            counts += self.choose(choice, 1, 1.0, 1.0)
        self.assertEqual(counts, {"a": 20, "b": 20})

    # Guards against state that grows with each name that a configuration ever had.
    def test_state_of_removed_and_changed_routes_is_dropped(self):
        choice = WeightedChoice(Random(4))
        for number in range(50):
            self.choose(choice, 1, 1.0, 2.0 + number, name=f"route {number % 5}")
        kept = make_route("route 4", "/", ("a", 1.0), ("b", 51.0))
        choice.keep_routes([kept, make_route("route 3", "/", ("a", 1.0), ("b", 4.0))])
        self.assertEqual(list(choice._turns), [("route 4", kept.backends)])

    def test_counts_follow_the_weights(self):
        route = make_route("split", "/", ("old", 90.0), ("new", 10.0))
        choice = WeightedChoice(Random(1))
        counts = Counter(choice.choose(route) for _ in range(100))
        self.assertEqual(counts, {"old": 90, "new": 10})

    def test_backend_of_weight_zero_gets_no_requests(self):
        route = make_route("split", "/", ("old", 0.0), ("new", 3.0))
        choice = WeightedChoice(Random(1))
        self.assertEqual({choice.choose(route) for _ in range(20)}, {"new"})
