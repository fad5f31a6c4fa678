"""Tests of admission: slots, fair shares, shedding, retry times."""

import unittest

from balsamdeal.core.admission import QUEUE_PER_SLOT, Admission

COUNTER = ("counters", "lookup")
TALLY = ("tally", "history")


class AdmissionTest(unittest.TestCase):
    """One target with two slots."""

    def setUp(self):
        self.admission = Admission(2)

    def fill(self, flow, count, weight, start=0):
        """Offer work of a flow; return the results of the offers."""
        return [
            self.admission.offer(f"{flow[0]}{start + number}", flow, weight, 100.0)
            for number in range(count)
        ]

    def serve(self, count):
        """Run a number of pieces of queued work; return the names of their flows."""
        served = []
        for _ in range(count):
            self.admission.release(0.1)
            run, _ = self.admission.take_next(0.0)
            served += [name.rstrip("0123456789") for name in run]
        return served

    def test_running_work_is_limited_to_the_slots(self):
        decisions = [decision for decision, _ in self.fill(COUNTER, 5, 1.0)]
        self.assertEqual(decisions, ["run", "run", "queued", "queued", "queued"])

    def test_flows_get_weighted_shares_and_none_starves(self):
        self.fill(TALLY, 2, 1.0)
        self.fill(TALLY, 2 * QUEUE_PER_SLOT, 1.0, start=2)
        self.fill(COUNTER, 6, 8.0)
        served = self.serve(8)
        self.assertGreaterEqual(served.count("counters"), 5)
        self.assertGreaterEqual(served.count("tally"), 1)

    def test_full_queue_sheds_the_work_that_would_be_served_last(self):
        self.fill(TALLY, 2 + 2 * QUEUE_PER_SLOT, 1.0)
        [(decision, shed)] = self.fill(COUNTER, 1, 8.0)
        self.assertEqual(decision, "queued")
        self.assertEqual(shed, f"tally{1 + 2 * QUEUE_PER_SLOT}")
        [(decision, _)] = self.fill(TALLY, 1, 1.0, start=90)
        self.assertEqual(decision, "shed")

    # Guards against a flow that starves after its weight was raised, since its new work
    # queues behind finish times in units of the old weight (the cause of review/4).
    def test_flow_whose_weight_is_raised_gets_its_new_share(self):
        self.fill(COUNTER, 2, 1.0)
        self.fill(TALLY, 2, 0.01)
        self.fill(COUNTER, 2, 1.0, start=2)
        self.fill(TALLY, 2, 8.0, start=2)
        self.assertIn("tally", self.serve(2))

    def test_retry_after_follows_the_drain_rate(self):
        self.fill(COUNTER, 2, 1.0)
        short_s = self.admission.get_retry_after_s()
        self.fill(COUNTER, 8, 1.0, start=2)
        long_s = self.admission.get_retry_after_s()
        self.assertGreater(long_s, short_s * 3)

    def test_work_past_its_deadline_does_not_run(self):
        self.fill(COUNTER, 2, 1.0)
        self.admission.offer("late", COUNTER, 1.0, 1.0)
        self.admission.release(0.1)
        run, expired = self.admission.take_next(2.0)
        self.assertEqual((run, expired), ([], ["late"]))
