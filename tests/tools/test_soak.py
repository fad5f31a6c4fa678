"""Tests of the soak: a short run, and that broken promises are noticed."""

import unittest

from standins.server import Server
from tools.soak import Outcome, Soak, play_seed

SEED = 7
DURATION_S = 4.0
# Seeds that once failed, with the cause.
REGRESSIONS = ()


class SoakTest(unittest.TestCase):
    """Real nodes for some seconds; more seeds by hand, see docs/contribute.md."""

    def play(self, seed):
        broken, schedule, counts, logs = play_seed(seed, DURATION_S)
        self.assertEqual(broken, [], "\n".join(schedule) + logs[-2000:])
        self.assertGreater(counts["200"], 0)

    def test_short_run(self):
        self.play(SEED)

    def test_regressions(self):
        for seed in REGRESSIONS:
            with self.subTest(seed):
                self.play(seed)


class CheckTest(unittest.TestCase):
    """What callers and servers saw, put together by hand."""

    def setUp(self):
        self.soak = Soak(1, 1.0)
        self.soak.started_s = 0.0
        self.soak.servers = [Server("i-0"), Server("i-1")]
        self.soak.gone_servers = [Server("i-2")]
        self.soak.read_logs = lambda: ""

    def check(self, **fields):
        outcome = Outcome("r1", True, 1.0, **fields)
        self.soak.outcomes = [outcome]
        return self.soak._check_outcomes()

    def run_at(self, *servers):
        for server in servers:
            server.runs["r1"] += 1

    def test_one_run_and_its_answer_are_as_promised(self):
        self.run_at(self.soak.servers[0])
        self.assertEqual(self.check(status=200), [])
        self.assertEqual(self.check(status=502), [])
        self.assertEqual(self.check(error="read"), [])

    def test_second_run_is_noticed_also_at_a_server_that_is_gone(self):
        self.run_at(self.soak.servers[0], self.soak.gone_servers[0])
        self.assertIn("ran 2 times", self.check(status=200)[0])

    def test_untrue_refusal_is_noticed(self):
        self.run_at(self.soak.servers[1])
        for status in (408, 421, 429, 503):
            self.assertIn("but it ran", self.check(status=status)[0])

    def test_answer_without_a_run_and_wrong_answer_are_noticed(self):
        self.assertIn("did not run", self.check(status=200)[0])
        self.run_at(self.soak.servers[0])
        self.assertIn("wrong answer", self.check(status=200, wrong="other")[0])

    def test_hang_and_errors_in_logs_are_noticed(self):
        self.assertIn("no answer", self.check(error="timeout")[0])
        self.soak.read_logs = lambda: "Traceback (most recent call last)"
        self.assertEqual(len(self.check()), 1)
