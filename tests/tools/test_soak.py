"""Tests of the soak test: a short run, and detection of violated guarantees."""

import unittest

from standins.server import Server
from tools.soak import Outcome, Soak, run_seed

SEED = 7
DURATION_S = 4.0
# Seeds that failed in the past, with the cause.
REGRESSIONS = ()


class SoakTest(unittest.TestCase):
    """Runs real nodes for some seconds; docs/contribute.md describes longer runs."""

    def run_and_check(self, seed):
        violations, schedule, counts, logs = run_seed(seed, DURATION_S)
        self.assertEqual(violations, [], "\n".join(schedule) + logs[-2000:])
        self.assertGreater(counts["200"], 0)

    def test_short_run(self):
        self.run_and_check(SEED)

    def test_regressions(self):
        for seed in REGRESSIONS:
            with self.subTest(seed):
                self.run_and_check(seed)


class CheckTest(unittest.TestCase):
    """Checks of constructed outcomes of callers and executions at servers."""

    def setUp(self):
        self.soak = Soak(1, 1.0)
        self.soak.started_s = 0.0
        self.soak.servers = [Server("i-0"), Server("i-1")]
        self.soak.replaced_servers = [Server("i-2")]
        self.soak.read_logs = lambda: ""

    def check(self, **fields):
        outcome = Outcome("r1", True, 1.0, **fields)
        self.soak.outcomes = [outcome]
        return self.soak._check_outcomes()

    def run_at(self, *servers):
        for server in servers:
            server.runs["r1"] += 1

    def test_single_run_with_its_answer_is_no_violation(self):
        self.run_at(self.soak.servers[0])
        self.assertEqual(self.check(status=200), [])
        self.assertEqual(self.check(status=502), [])
        self.assertEqual(self.check(error="read"), [])

    def test_second_run_is_noticed_also_at_a_replaced_server(self):
        self.run_at(self.soak.servers[0], self.soak.replaced_servers[0])
        self.assertIn("ran 2 times", self.check(status=200)[0])

    def test_refusal_of_an_executed_request_is_noticed(self):
        self.run_at(self.soak.servers[1])
        for status in (408, 421, 429, 503):
            self.assertIn("but it ran", self.check(status=status)[0])

    def test_answer_without_a_run_and_wrong_answer_are_noticed(self):
        self.assertIn("did not run", self.check(status=200)[0])
        self.run_at(self.soak.servers[0])
        self.assertIn("wrong answer", self.check(status=200, wrong_answer="other")[0])

    def test_hang_and_errors_in_logs_are_noticed(self):
        self.assertIn("no answer", self.check(error="timeout")[0])
        self.soak.read_logs = lambda: "Traceback (most recent call last)"
        self.assertEqual(len(self.check()), 1)
