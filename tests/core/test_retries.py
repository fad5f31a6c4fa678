"""Tests of retry budgets: the retries of one node and of a fleet."""

import unittest
from random import Random

from balsamdeal.core.calls import BUDGET_SAFETY_FACTOR, DECLINED_RETRY_COST
from balsamdeal.core.retries import RetryBudget

# Retries per request that operators allow, over any span of ``SPAN_S``.
ALLOWED_SHARE = 0.2
SPAN_S = 10.0


class FleetBudgetTest(unittest.TestCase):
    """A service whose targets decline all work after a calm period."""

    def count_excess_retries(self, nodes, rate, calm_s, failing_s):
        """Return the most retries above the allowed share in any span."""
        random = Random(nodes)
        share = ALLOWED_SHARE * BUDGET_SAFETY_FACTOR
        budgets = [RetryBudget(share) for _ in range(nodes)]
        retries_s = []
        count = int(rate * (calm_s + failing_s))
        for index in range(count):
            now_s = index / rate
            budget = random.choice(budgets)
            budget.record_request(now_s)
            if now_s >= calm_s and budget.spend(now_s, DECLINED_RETRY_COST):
                retries_s.append(now_s)
        most = 0
        first = 0
        for last, at_s in enumerate(retries_s):
            while retries_s[first] <= at_s - SPAN_S:
                first += 1
            most = max(most, last - first + 1)
        return most - ALLOWED_SHARE * rate * SPAN_S

    # Guards against a budget that accumulates while nothing fails and is spent at once
    # when failures begin.
    def test_retries_after_a_calm_period_stay_within_the_share(self):
        for nodes, rate, slack in ((12, 550, 64), (74, 950, 188), (91, 1100, 222)):
            for calm_s in (0.0, 5.0, 40.0):
                with self.subTest(nodes=nodes, calm_s=calm_s):
                    excess = self.count_excess_retries(nodes, rate, calm_s, 15.0)
                    self.assertLessEqual(excess, slack)


class BudgetTest(unittest.TestCase):
    """One budget."""

    def test_one_retry_is_free(self):
        budget = RetryBudget(0.1)
        budget.record_request(0.0)
        self.assertTrue(budget.spend(0.0))
        self.assertFalse(budget.spend(0.1))

    def test_share_of_recent_requests(self):
        budget = RetryBudget(0.1)
        for index in range(100):
            budget.record_request(index / 100)
        spent = sum(budget.spend(1.0) for _ in range(100))
        self.assertEqual(spent, 11)

    def test_requests_and_retries_outside_the_window_do_not_count(self):
        budget = RetryBudget(0.1)
        for index in range(100):
            budget.record_request(index / 100)
        while budget.spend(1.0):
            pass
        budget.record_request(30.0)
        self.assertTrue(budget.spend(30.0))
        self.assertFalse(budget.spend(30.0))
