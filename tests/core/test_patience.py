"""Tests of how long callers have been trying."""

import unittest

from balsamdeal.core.patience import USUAL_WINDOW, Patience
from tests.core.test_routes import make_route

ROUTE = make_route("r", "/r/")
OTHER = make_route("other", "/r/")


class PatienceTest(unittest.TestCase):
    """Callers of one route who give 3 s at first."""

    def setUp(self):
        self.patience = Patience()
        for _ in range(10):
            self.patience.estimate_spent_s(ROUTE, 3.0)

    def test_caller_that_gives_less_has_spent_the_difference(self):
        self.assertAlmostEqual(self.patience.estimate_spent_s(ROUTE, 2.2), 0.8)

    def test_a_more_patient_caller_makes_nobody_late(self):
        self.assertEqual(self.patience.estimate_spent_s(ROUTE, 30.0), 0.0)
        self.assertEqual(self.patience.estimate_spent_s(ROUTE, 3.0), 0.0)

    def test_caller_without_a_time_counts_as_new(self):
        self.assertEqual(self.patience.estimate_spent_s(ROUTE, None), 0.0)

    def test_routes_of_two_hosts_are_apart(self):
        self.patience.estimate_spent_s(OTHER, 1.0)
        self.assertEqual(self.patience.estimate_spent_s(OTHER, 1.0), 0.0)

    def test_another_usual_time_is_learned(self):
        for _ in range(USUAL_WINDOW):
            self.patience.estimate_spent_s(ROUTE, 5.0)
        self.assertEqual(self.patience.estimate_spent_s(ROUTE, 5.0), 0.0)
        self.assertEqual(self.patience.estimate_spent_s(ROUTE, 3.0), 2.0)
