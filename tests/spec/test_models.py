"""Tests that both protocols have their properties and need each of their guards."""

import unittest

from spec import distribution, requests


class DistributionModelTest(unittest.TestCase):
    """The distribution protocol, complete and without each guard."""

    def test_protocol_holds(self):
        verdict = distribution.check_distribution()
        self.assertGreater(verdict.states, 10_000)
        self.assertEqual(set(verdict.properties.values()), {True})

    def test_each_guard_is_necessary(self):
        expected = {
            "newer": "never back",
            "valid": "no bad version",
            "digest": "whole",
            "atomic": "whole",
            "compare": "in force everywhere",
            "probe": "in force everywhere",
        }
        self.assertEqual(set(expected), set(distribution.GUARDS))
        for guard, name in expected.items():
            with self.subTest(guard=guard):
                verdict = distribution.check_distribution(guard)
                self.assertFalse(verdict.properties[name])


class RequestModelTest(unittest.TestCase):
    """The protocol of requests with keys, complete and without each guard."""

    def test_protocol_holds(self):
        verdict = requests.check_requests()
        self.assertGreater(verdict.states, 10_000)
        self.assertEqual(set(verdict.properties.values()), {True})

    def test_each_guard_is_necessary(self):
        for guard in requests.GUARDS:
            with self.subTest(guard=guard):
                if guard == "rank":
                    verdict = requests.check_calm_requests(guard)
                    self.assertEqual(list(verdict.properties.values()), [False])
                else:
                    self.assertTrue(requests.find_violation(guard))

    def test_calm_runs_answer_every_call(self):
        verdict = requests.check_calm_requests()
        self.assertEqual(list(verdict.properties.values()), [True])
