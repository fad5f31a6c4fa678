"""Tests of metrics: cumulative buckets and the bound on the number of histograms."""

import unittest

from balsamdeal.metrics import MAX_FLOWS, Metrics


class MetricsTest(unittest.TestCase):
    """Latency histograms by workspace and class."""

    def test_histogram_has_cumulative_buckets(self):
        metrics = Metrics({"calls": 2})
        for latency_s in (0.003, 0.2, 0.2, 30.0):
            metrics.record_latency("desk", "lookup", latency_s)
        text = metrics.format_prometheus().decode()
        name = 'balsamdeal_request_seconds_bucket{class="lookup",le="%s",'
        for bound, count in (("0.005", 1), ("0.1", 1), ("0.25", 3), ("+Inf", 4)):
            self.assertIn(name % bound + f'workspace="desk"}} {count}.0', text)
        self.assertIn("balsamdeal_calls_total 2.0", text)

    def test_number_of_histograms_is_bounded(self):
        metrics = Metrics({})
        for number in range(MAX_FLOWS + 50):
            metrics.record_latency("desk", f"route {number}", 0.1)
        self.assertLessEqual(len(metrics.latencies), MAX_FLOWS + 1)
