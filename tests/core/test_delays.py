"""Tests of the estimate of how long answers take."""

import unittest

from balsamdeal.core.delays import MAX_DELAY_S, DelayEstimator


class DelayEstimatorTest(unittest.TestCase):
    """The bound follows the delays of answers."""

    def record(self, estimator, *delays_s):
        for delay_s in delays_s:
            estimator.record(delay_s)
        return estimator.get_bound_s()

    def test_nothing_is_expected_before_the_first_answer(self):
        self.assertEqual(DelayEstimator().get_bound_s(), 0.0)

    def test_bound_lies_above_each_of_alike_delays(self):
        for delay_s in (0.004, 0.3, 1.1):
            with self.subTest(delay_s=delay_s):
                bound_s = self.record(DelayEstimator(), *[delay_s] * 20)
                self.assertGreaterEqual(bound_s, delay_s)
                self.assertLessEqual(bound_s, 2 * delay_s)

    def test_bound_rises_with_the_first_slow_answer(self):
        self.assertGreater(self.record(DelayEstimator(), *[0.004] * 20, 1.1), 1.1)

    def test_bound_falls_once_answers_are_fast_again(self):
        # Watches of 0.5 s: a node counts as undisturbed three seconds after a fault.
        bound_s = self.record(DelayEstimator(), *[1.1] * 20, *[0.004] * 6)
        self.assertLess(bound_s, 0.25)

    def test_bound_is_limited(self):
        self.assertEqual(self.record(DelayEstimator(), 30.0), MAX_DELAY_S)


if __name__ == "__main__":
    unittest.main()
