"""Tests of retry budgets: what all nodes together send beyond first attempts."""

import unittest
from random import Random

from balsamdeal.core.calls import BUDGET_USE, DECLINED_REPEAT_COST
from balsamdeal.core.retries import RetryBudget

# What operators of the users' deployments allow, over any span of this length.
ALLOWED_SHARE = 0.2
SPAN_S = 10.0


class FleetBudgetTest(unittest.TestCase):
    """A service whose targets decline everything after a calm time."""

    def count_extra(self, nodes, rate, calm_s, failing_s):
        """Return the most extra attempts beyond the share in any span."""
        random = Random(nodes)
        share = ALLOWED_SHARE * BUDGET_USE
        budgets = [RetryBudget(share) for _ in range(nodes)]
        extra_s = []
        count = int(rate * (calm_s + failing_s))
        for index in range(count):
            now_s = index / rate
            budget = random.choice(budgets)
            budget.note_request(now_s)
            if now_s >= calm_s and budget.spend(now_s, DECLINED_REPEAT_COST):
                extra_s.append(now_s)
        most = 0
        first = 0
        for last, at_s in enumerate(extra_s):
            while extra_s[first] <= at_s - SPAN_S:
                first += 1
            most = max(most, last - first + 1)
        return most - ALLOWED_SHARE * rate * SPAN_S

    # Guards against a budget saved up in calm times, spent at once in a bad one.
    def test_extra_attempts_after_a_calm_time_stay_within_the_share(self):
        for nodes, rate, slack in ((12, 550, 64), (74, 950, 188), (91, 1100, 222)):
            for calm_s in (0.0, 5.0, 40.0):
                with self.subTest(nodes=nodes, calm_s=calm_s):
                    beyond = self.count_extra(nodes, rate, calm_s, 15.0)
                    self.assertLessEqual(beyond, slack)


class BudgetTest(unittest.TestCase):
    """One budget."""

    def test_one_extra_attempt_is_free(self):
        budget = RetryBudget(0.1)
        budget.note_request(0.0)
        self.assertTrue(budget.spend(0.0))
        self.assertFalse(budget.spend(0.1))

    def test_share_of_recent_requests(self):
        budget = RetryBudget(0.1)
        for index in range(100):
            budget.note_request(index / 100)
        spent = sum(budget.spend(1.0) for _ in range(100))
        self.assertEqual(spent, 11)

    def test_old_requests_and_old_attempts_no_longer_count(self):
        budget = RetryBudget(0.1)
        for index in range(100):
            budget.note_request(index / 100)
        while budget.spend(1.0):
            pass
        budget.note_request(30.0)
        self.assertTrue(budget.spend(30.0))
        self.assertFalse(budget.spend(30.0))
