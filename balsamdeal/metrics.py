"""Counters and latency histograms, as JSON and in the Prometheus text format."""

import bisect

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


# Flows, pairs of workspace and class, with a histogram of their own. A histogram takes
# about 20 KB; further flows share that of OTHER_FLOW.
MAX_FLOWS = 64
OTHER_FLOW = ("other", "other")
# Upper bounds of the histograms' buckets, in seconds.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


def _make_cumulative_buckets(histogram):
    """Return the pairs of upper bound and cumulative count that Prometheus expects."""
    counts = [0] * len(BUCKET_BOUNDS_S)
    for item in histogram.get_recorded_iterator():
        index = bisect.bisect_left(BUCKET_BOUNDS_S, item.value_iterated_to / 1e6)
        if index < len(counts):
            counts[index] += item.count_added_in_this_iter_step
    pairs = []
    total = 0
    for bound_s, count in zip(BUCKET_BOUNDS_S, counts):
        total += count
        pairs.append((str(bound_s), total))
    return [*pairs, ("+Inf", histogram.get_total_count())]


class Metrics:
    """Latency histograms by workspace and class, and counters by name.

    In a node that forwards by host and path, the service and the route take the place
    of workspace and class.

    :param counters: the dictionary of counters that the reducer increments.
    """

    def __init__(self, counters):
        self.counters = counters
        self.latencies = {}

    def count(self, name, amount=1):
        """Add an amount to the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def record_latency(self, workspace, traffic_class, latency_s):
        """Record the time from a request's arrival to its answer, in seconds."""
        flow = (workspace, traffic_class)
        if flow not in self.latencies and len(self.latencies) >= MAX_FLOWS:
            flow = OTHER_FLOW
        histogram = self.latencies.get(flow)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.latencies[flow] = histogram
        histogram.record_value(max(LOWEST_US, int(latency_s * 1e6)))

    def summarize(self):
        """Return counters and latencies, in milliseconds, as a dictionary."""
        latencies = []
        for (workspace, traffic_class), histogram in sorted(self.latencies.items()):
            entry = {
                "workspace": workspace,
                "class": traffic_class,
                "count": histogram.get_total_count(),
            }
            for quantile in QUANTILES:
                value_us = histogram.get_value_at_percentile(quantile)
                entry[f"p{quantile:g}_ms"] = round(value_us / 1000, 3)
            latencies.append(entry)
        return {"counters": dict(sorted(self.counters.items())), "latencies": latencies}

    def collect(self):
        """Yield metric families for the Prometheus client library."""
        from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

        for name, value in sorted(self.counters.items()):
            metric_name = name.replace("-", "_")
            yield CounterMetricFamily(
                f"balsamdeal_{metric_name}", metric_name, value=value
            )
        family = HistogramMetricFamily(
            "balsamdeal_request_seconds",
            "Time from a request's arrival to its answer",
            labels=["workspace", "class"],
        )
        for flow, histogram in sorted(self.latencies.items()):
            count = histogram.get_total_count()
            total_s = histogram.get_mean_value() * count / 1e6
            family.add_metric(list(flow), _make_cumulative_buckets(histogram), total_s)
        yield family

    def format_prometheus(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        # Imported at first use: at the top it would delay every node's start by 30 ms.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)
