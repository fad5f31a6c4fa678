"""Tests of the estimate of how long callers have been retrying."""

import unittest

from balsamdeal.core.spent_time import MODE_WINDOW, SpentTimeEstimator
from tests.core.test_routes import make_route

ROUTE = make_route("r", "/r/")
OTHER = make_route("other", "/r/")


class SpentTimeTest(unittest.TestCase):
    """A route whose callers send 3 s as time left with their first attempt."""

    def setUp(self):
        self.estimator = SpentTimeEstimator()
        for _ in range(10):
            self.estimator.estimate_spent_s(ROUTE, 3.0)

    def test_caller_that_sends_less_has_spent_the_difference(self):
        self.assertAlmostEqual(self.estimator.estimate_spent_s(ROUTE, 2.2), 0.8)

    def test_caller_with_more_time_does_not_make_others_late(self):
        self.assertEqual(self.estimator.estimate_spent_s(ROUTE, 30.0), 0.0)
        self.assertEqual(self.estimator.estimate_spent_s(ROUTE, 3.0), 0.0)

    def test_caller_without_time_left_has_spent_none(self):
        self.assertEqual(self.estimator.estimate_spent_s(ROUTE, None), 0.0)

    def test_routes_with_the_same_prefix_are_separate(self):
        self.estimator.estimate_spent_s(OTHER, 1.0)
        self.assertEqual(self.estimator.estimate_spent_s(OTHER, 1.0), 0.0)

    def test_estimate_follows_a_new_most_frequent_time(self):
        for _ in range(MODE_WINDOW):
            self.estimator.estimate_spent_s(ROUTE, 5.0)
        self.assertEqual(self.estimator.estimate_spent_s(ROUTE, 5.0), 0.0)
        self.assertEqual(self.estimator.estimate_spent_s(ROUTE, 3.0), 2.0)
